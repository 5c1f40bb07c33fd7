"""Versions of the roster: registered members and each resource's owner."""

from collections import Counter
from collections.abc import Iterable
from enum import IntEnum

import xxhash

from radishstile.fleet.statement import Release
from radishstile.member import Member


class PreviousOwnerState(IntEnum):
    """What a resource's previous owner may still use, in increasing order.

    RELEASED: nothing. CLOSED: work that upstreams have yet to stop, since
    the owner's kernel has closed its connections. LOST: all requests that it
    started, each until its deadline.
    """

    RELEASED = 0
    CLOSED = 1
    LOST = 2


class OwnerEntry:
    """The incarnation that owns a resource's whole limit.

    `epoch` is the roster version that assigned it; `previous_state` tells
    what the owners before it may still use. `predecessor` is the identity of
    an owner that keeps working until this one asks for the handover, or None.
    """

    __slots__ = (
        "host",
        "incarnation",
        "epoch",
        "previous_state",
        "predecessor",
    )

    def __init__(
        self,
        host: str,
        incarnation: int,
        epoch: int,
        previous_state: PreviousOwnerState = PreviousOwnerState.RELEASED,
        predecessor: Iterable | None = None,
    ):
        self.host = host
        self.incarnation = incarnation
        self.epoch = epoch
        self.previous_state = PreviousOwnerState(previous_state)
        self.predecessor = None if predecessor is None else tuple(predecessor)

    @property
    def identity(self) -> tuple[str, int]:
        """Return the owner's host and incarnation."""
        return self.host, self.incarnation

    def matches(self, release: Release) -> bool:
        """Return whether `release` is of exactly this entry."""
        named = (release.host, release.incarnation, release.epoch)
        return named == (self.host, self.incarnation, self.epoch)

    def to_record(self) -> list:
        """Return the entry as a JSON array."""
        return [
            self.host,
            self.incarnation,
            self.epoch,
            self.previous_state.value,
            self.predecessor,
        ]


class Roster:
    """One version of the roster; immutable.

    `members` is by host, `owners` by resource; `identities` are those of all
    members. `unowned` maps a resource without an owner to what its previous
    owners may still use, unless that is nothing.
    """

    __slots__ = ("version", "members", "owners", "unowned", "identities")

    def __init__(
        self,
        version: int = 0,
        members: dict[str, Member] | None = None,
        owners: dict[str, OwnerEntry] | None = None,
        unowned: dict[str, PreviousOwnerState] | None = None,
    ):
        self.version = version
        self.members = members or {}
        self.owners = owners or {}
        self.unowned = unowned or {}
        self.identities = frozenset(m.identity for m in self.members.values())

    def to_record(self) -> dict:
        """Return the roster as a JSON object."""
        return {
            "version": self.version,
            "members": [
                member.to_record()
                for _, member in sorted(self.members.items())
            ],
            "homes": {
                resource: entry.to_record()
                for resource, entry in sorted(self.owners.items())
            },
            "unclean": {
                resource: state.value
                for resource, state in sorted(self.unowned.items())
            },
        }

    @classmethod
    def from_record(cls, record: dict) -> "Roster":
        """Return the roster that a JSON object describes."""
        members = [Member.from_record(row) for row in record["members"]]
        return cls(
            record["version"],
            {member.host: member for member in members},
            {
                resource: OwnerEntry(*row)
                for resource, row in record["homes"].items()
            },
            {
                resource: PreviousOwnerState(value)
                for resource, value in record["unclean"].items()
            },
        )

    def find_owner(self, resource: str) -> Member | None:
        """Return the member that owns `resource`, if registered."""
        entry = self.owners.get(resource)
        if entry is None:
            return None
        member = self.members.get(entry.host)
        if member is None or member.identity != entry.identity:
            return None
        return member

    def is_registered(self, identity: tuple[str, int]) -> bool:
        """Return whether exactly this incarnation is registered."""
        return identity in self.identities


class RosterInputs:
    """What the planner knows when it computes the next roster.

    `wanted` maps a resource to its preferred zone or None; `candidates` are
    live members, by identity; `ended` maps the identities with evidence of
    their end to what they may still use; `releases` are those announced by
    owners; `regions` maps a zone to its region, also if all members of the
    zone have ended. `leaving` are the identities of leaving members, `movable`
    the resources that their owners hand over on request.
    """

    __slots__ = (
        "wanted",
        "registered",
        "candidates",
        "ended",
        "releases",
        "regions",
        "leaving",
        "movable",
    )

    def __init__(
        self,
        wanted: dict[str, str | None],
        registered: list[Member],
        candidates: set[tuple[str, int]],
        ended: dict[tuple[str, int], PreviousOwnerState],
        releases: set[Release],
        regions: dict[str, str],
        leaving: frozenset[tuple[str, int]] = frozenset(),
        movable: frozenset[str] = frozenset(),
    ):
        self.wanted = wanted
        self.registered = registered
        self.candidates = candidates
        self.ended = ended
        self.releases = releases
        self.regions = regions
        self.leaving = leaving
        self.movable = movable


def plan_roster(roster: Roster, plan: RosterInputs) -> Roster | None:
    """Return the next roster, or None if nothing changes."""
    version = roster.version + 1
    members = _register(roster, plan)
    owners = _keep_owners(roster, members, plan)
    unreleased = roster.unowned | _find_unreleased(roster, owners, plan)
    eligible = [m for m in members.values() if m.identity in plan.candidates]
    _assign_owners(roster, owners, eligible, plan, version, unreleased)
    _assign_successors(roster, owners, eligible, plan, version)
    if owners == roster.owners and members == roster.members:
        return None
    still_unowned = {
        resource: state
        for resource, state in unreleased.items()
        if resource not in owners
    }
    return Roster(version, members, owners, still_unowned)


def compute_weight(key: str, host: str) -> int:
    """Return the rendezvous weight of `host` for `key`."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{host}".encode())


def _register(roster: Roster, plan: RosterInputs) -> dict[str, Member]:
    members = dict(roster.members)
    for member in plan.registered:
        known = members.get(member.host)
        if known is None or known.incarnation < member.incarnation:
            members[member.host] = member
    return {
        host: member
        for host, member in members.items()
        if member.identity not in plan.ended
    }


def _keep_owners(
    roster: Roster, members: dict[str, Member], plan: RosterInputs
) -> dict[str, OwnerEntry]:
    return {
        resource: entry
        for resource, entry in roster.owners.items()
        if resource in plan.wanted
        and entry.host in members
        and members[entry.host].identity == entry.identity
        and not _is_released(resource, entry, plan)
    }


def _is_released(resource: str, entry: OwnerEntry, plan: RosterInputs) -> bool:
    release = Release(*entry.identity, resource, entry.epoch)
    return release in plan.releases


def _find_unreleased(
    roster: Roster, kept: dict[str, OwnerEntry], plan: RosterInputs
) -> dict[str, PreviousOwnerState]:
    """Return what the owners removed now may still use, by resource."""
    removed = {
        resource: _find_owner_state(roster, entry, plan)
        for resource, entry in roster.owners.items()
        if resource not in kept and not _is_released(resource, entry, plan)
    }
    return {
        resource: state
        for resource, state in removed.items()
        if state is not PreviousOwnerState.RELEASED
    }


def _find_owner_state(
    roster: Roster, entry: OwnerEntry, plan: RosterInputs
) -> PreviousOwnerState:
    """Return what an owner that did not release its resource may still use.

    It may have ended while its own previous owner still used some of it.
    """
    ended = plan.ended.get(entry.identity, PreviousOwnerState.LOST)
    if ended is PreviousOwnerState.RELEASED:
        return ended
    if _is_running(roster, entry.predecessor, plan):
        return max(ended, entry.previous_state)
    return max(
        ended, entry.previous_state, _find_predecessor_state(entry, plan)
    )


def _assign_owners(
    roster: Roster,
    owners: dict[str, OwnerEntry],
    candidates: list[Member],
    plan: RosterInputs,
    version: int,
    unreleased: dict[str, PreviousOwnerState],
) -> None:
    counts = Counter(entry.host for entry in owners.values())
    for resource in sorted(plan.wanted.keys() - owners.keys()):
        owner = _choose_owner(resource, candidates, plan, counts)
        if owner is None:
            continue
        previous_state = unreleased.get(resource, PreviousOwnerState.RELEASED)
        predecessor = _find_predecessor(roster, resource, plan)
        owners[resource] = OwnerEntry(
            owner.host, owner.incarnation, version, previous_state, predecessor
        )


def _assign_successors(
    roster: Roster,
    owners: dict[str, OwnerEntry],
    candidates: list[Member],
    plan: RosterInputs,
    version: int,
) -> None:
    """Assign successors to the movable resources of leaving members.

    An owner whose predecessors may still use the resource keeps it, and
    releases it once they no longer do.
    """
    counts = Counter(entry.host for entry in owners.values())
    for resource in sorted(plan.movable & owners.keys()):
        entry = owners[resource]
        is_leaving = entry.identity in plan.leaving
        if not is_leaving or not _is_sole_user(roster, entry, plan):
            continue
        owner = _choose_owner(resource, candidates, plan, counts)
        if owner is None:
            continue
        owners[resource] = OwnerEntry(
            owner.host,
            owner.incarnation,
            version,
            PreviousOwnerState.RELEASED,
            entry.identity,
        )


def _choose_owner(
    resource: str,
    candidates: list[Member],
    plan: RosterInputs,
    counts: Counter,
) -> Member | None:
    zone = plan.wanted[resource]
    nearby = _prefer_near(candidates, zone, plan.regions.get(zone))
    if not nearby:
        return None
    owner = min(
        nearby,
        key=lambda member: _make_preference_key(member, resource, counts),
    )
    counts[owner.host] += 1
    return owner


def _is_sole_user(
    roster: Roster, entry: OwnerEntry, plan: RosterInputs
) -> bool:
    """Return whether no previous owner may still use the resource."""
    if _is_running(roster, entry.predecessor, plan):
        return False
    return max(entry.previous_state, _find_predecessor_state(entry, plan)) == 0


def _is_running(
    roster: Roster, identity: tuple[str, int] | None, plan: RosterInputs
) -> bool:
    return roster.is_registered(identity) and identity not in plan.ended


def _find_predecessor_state(
    entry: OwnerEntry, plan: RosterInputs
) -> PreviousOwnerState:
    """Return what a predecessor that has ended may still use."""
    if entry.predecessor is None:
        return PreviousOwnerState.RELEASED
    return plan.ended.get(entry.predecessor, PreviousOwnerState.LOST)


def _find_predecessor(
    roster: Roster, resource: str, plan: RosterInputs
) -> tuple[str, int] | None:
    """Return the running owner that an ended successor may not have asked."""
    entry = roster.owners.get(resource)
    if entry is None or _is_released(resource, entry, plan):
        return None
    if plan.ended.get(entry.identity) is PreviousOwnerState.RELEASED:
        return None
    is_running = _is_running(roster, entry.predecessor, plan)
    return entry.predecessor if is_running else None


def _make_preference_key(
    member: Member, resource: str, counts: Counter
) -> tuple[int, int]:
    return counts[member.host], -compute_weight(resource, member.host)


def _prefer_near(
    candidates: list[Member], zone: str | None, region: str | None
) -> list[Member]:
    in_zone = [member for member in candidates if member.zone == zone]
    in_region = [member for member in candidates if member.region == region]
    return in_zone or in_region or candidates
