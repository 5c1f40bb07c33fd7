"""The registered members and the home of each resource, by version."""

from collections import Counter
from collections.abc import Iterable
from enum import IntEnum

import xxhash

from radishstile.fleet.statement import Release
from radishstile.member import Member


class FormerHome(IntEnum):
    """What a resource's former home may still use, the least first.

    RELEASED: nothing. CLOSED: what the other side has yet to stop, since
    the former home's kernel has closed its connections. LOST: all that it
    began, until the deadline of each.
    """

    RELEASED = 0
    CLOSED = 1
    LOST = 2


class HomeEntry:
    """The incarnation that owns a resource's whole limit.

    `epoch` is the roster version that assigned it; `former` tells what the
    homes before it may still use. `predecessor` is the identity of a home
    that goes on until this one asks it to hand over, or None.
    """

    __slots__ = ("host", "incarnation", "epoch", "former", "predecessor")

    def __init__(
        self,
        host: str,
        incarnation: int,
        epoch: int,
        former: FormerHome = FormerHome.RELEASED,
        predecessor: Iterable | None = None,
    ):
        self.host = host
        self.incarnation = incarnation
        self.epoch = epoch
        self.former = FormerHome(former)
        self.predecessor = None if predecessor is None else tuple(predecessor)

    @property
    def identity(self) -> tuple[str, int]:
        """Return the home's host and incarnation."""
        return self.host, self.incarnation

    def matches(self, release: Release) -> bool:
        """Return whether `release` gives up exactly this entry."""
        named = (release.host, release.incarnation, release.epoch)
        return named == (self.host, self.incarnation, self.epoch)

    def to_record(self) -> list:
        """Return the entry as a JSON array."""
        return [
            self.host,
            self.incarnation,
            self.epoch,
            self.former.value,
            self.predecessor,
        ]


class Roster:
    """One version of the roster; never changed after it was made.

    `members` is by host, `homes` by resource; `identities` are those of all
    members. `unclean` maps a resource without a home to what its last ones
    may still use, unless that is nothing.
    """

    __slots__ = ("version", "members", "homes", "unclean", "identities")

    def __init__(
        self,
        version: int = 0,
        members: dict[str, Member] | None = None,
        homes: dict[str, HomeEntry] | None = None,
        unclean: dict[str, FormerHome] | None = None,
    ):
        self.version = version
        self.members = members or {}
        self.homes = homes or {}
        self.unclean = unclean or {}
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
                for resource, entry in sorted(self.homes.items())
            },
            "unclean": {
                resource: former.value
                for resource, former in sorted(self.unclean.items())
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
                resource: HomeEntry(*row)
                for resource, row in record["homes"].items()
            },
            {
                resource: FormerHome(value)
                for resource, value in record["unclean"].items()
            },
        )

    def find_home(self, resource: str) -> Member | None:
        """Return the member that is home of `resource`, if registered."""
        entry = self.homes.get(resource)
        if entry is None:
            return None
        member = self.members.get(entry.host)
        if member is None or member.identity != entry.identity:
            return None
        return member

    def is_registered(self, identity: tuple[str, int]) -> bool:
        """Return whether exactly this incarnation is registered."""
        return identity in self.identities


class Plan:
    """What a planner knows when it works out the next roster.

    `wanted` maps a resource to its preferred zone or None; `candidates` are
    live members, by identity; `ended` maps the identities with evidence of
    their end to what they may still use; `releases` are what homes said that
    they gave up; `regions` maps a zone to its region, also where all members
    of the zone have ended. `leaving` are identities that leave, `movable`
    the resources that their homes hand over when they are asked.
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
        ended: dict[tuple[str, int], FormerHome],
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


def plan_roster(roster: Roster, plan: Plan) -> Roster | None:
    """Return the roster that should follow, or None if nothing changes."""
    version = roster.version + 1
    members = _register(roster, plan)
    homes = _keep_homes(roster, members, plan)
    unclean = roster.unclean | _find_unclean(roster, homes, plan)
    pool = [m for m in members.values() if m.identity in plan.candidates]
    _assign_homes(roster, homes, pool, plan, version, unclean)
    _name_successors(roster, homes, pool, plan, version)
    if homes == roster.homes and members == roster.members:
        return None
    homeless = {
        resource: former
        for resource, former in unclean.items()
        if resource not in homes
    }
    return Roster(version, members, homes, homeless)


def rank(key: str, host: str) -> int:
    """Return the rendezvous weight of `host` for `key`."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{host}".encode())


def _register(roster: Roster, plan: Plan) -> dict[str, Member]:
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


def _keep_homes(
    roster: Roster, members: dict[str, Member], plan: Plan
) -> dict[str, HomeEntry]:
    return {
        resource: entry
        for resource, entry in roster.homes.items()
        if resource in plan.wanted
        and entry.host in members
        and members[entry.host].identity == entry.identity
        and not _is_released(resource, entry, plan)
    }


def _is_released(resource: str, entry: HomeEntry, plan: Plan) -> bool:
    release = Release(*entry.identity, resource, entry.epoch)
    return release in plan.releases


def _find_unclean(
    roster: Roster, kept: dict[str, HomeEntry], plan: Plan
) -> dict[str, FormerHome]:
    """Return what the homes that are lost now may still use, by resource."""
    lost = {
        resource: _judge_former(roster, entry, plan)
        for resource, entry in roster.homes.items()
        if resource not in kept and not _is_released(resource, entry, plan)
    }
    return {
        resource: former
        for resource, former in lost.items()
        if former is not FormerHome.RELEASED
    }


def _judge_former(roster: Roster, entry: HomeEntry, plan: Plan) -> FormerHome:
    """Return what a home that did not release its resource may still use.

    It may have ended before what its own former home used was over.
    """
    ended = plan.ended.get(entry.identity, FormerHome.LOST)
    if ended is FormerHome.RELEASED:
        return ended
    if _is_at_work(roster, entry.predecessor, plan):
        return max(ended, entry.former)
    return max(ended, entry.former, _judge_before(entry, plan))


def _assign_homes(
    roster: Roster,
    homes: dict[str, HomeEntry],
    pool: list[Member],
    plan: Plan,
    version: int,
    unclean: dict[str, FormerHome],
) -> None:
    counts = Counter(entry.host for entry in homes.values())
    for resource in sorted(plan.wanted.keys() - homes.keys()):
        home = _choose_home(resource, pool, plan, counts)
        if home is None:
            continue
        former = unclean.get(resource, FormerHome.RELEASED)
        predecessor = _find_predecessor(roster, resource, plan)
        homes[resource] = HomeEntry(
            home.host, home.incarnation, version, former, predecessor
        )


def _name_successors(
    roster: Roster,
    homes: dict[str, HomeEntry],
    pool: list[Member],
    plan: Plan,
    version: int,
) -> None:
    """Give what leaving members hand over to others, while they go on.

    A home that may still count what others before it left keeps its part:
    it releases that once all of it is over.
    """
    counts = Counter(entry.host for entry in homes.values())
    for resource in sorted(plan.movable & homes.keys()):
        entry = homes[resource]
        is_leaving = entry.identity in plan.leaving
        if not is_leaving or not _is_alone(roster, entry, plan):
            continue
        home = _choose_home(resource, pool, plan, counts)
        if home is None:
            continue
        homes[resource] = HomeEntry(
            home.host,
            home.incarnation,
            version,
            FormerHome.RELEASED,
            entry.identity,
        )


def _choose_home(
    resource: str, pool: list[Member], plan: Plan, counts: Counter
) -> Member | None:
    zone = plan.wanted[resource]
    near = _narrow(pool, zone, plan.regions.get(zone))
    if not near:
        return None
    home = min(near, key=lambda member: _weigh(member, resource, counts))
    counts[home.host] += 1
    return home


def _is_alone(roster: Roster, entry: HomeEntry, plan: Plan) -> bool:
    """Return whether no home before this one may use the resource."""
    if _is_at_work(roster, entry.predecessor, plan):
        return False
    return max(entry.former, _judge_before(entry, plan)) == 0


def _is_at_work(
    roster: Roster, identity: tuple[str, int] | None, plan: Plan
) -> bool:
    return roster.is_registered(identity) and identity not in plan.ended


def _judge_before(entry: HomeEntry, plan: Plan) -> FormerHome:
    """Return what a predecessor that has ended may still use."""
    if entry.predecessor is None:
        return FormerHome.RELEASED
    return plan.ended.get(entry.predecessor, FormerHome.LOST)


def _find_predecessor(
    roster: Roster, resource: str, plan: Plan
) -> tuple[str, int] | None:
    """Return the home that one which ended may not have asked, if any."""
    entry = roster.homes.get(resource)
    if entry is None or _is_released(resource, entry, plan):
        return None
    if plan.ended.get(entry.identity) is FormerHome.RELEASED:
        return None
    is_at_work = _is_at_work(roster, entry.predecessor, plan)
    return entry.predecessor if is_at_work else None


def _weigh(member: Member, resource: str, counts: Counter) -> tuple[int, int]:
    return counts[member.host], -rank(resource, member.host)


def _narrow(
    pool: list[Member], zone: str | None, region: str | None
) -> list[Member]:
    in_zone = [member for member in pool if member.zone == zone]
    in_region = [member for member in pool if member.region == region]
    return in_zone or in_region or pool
