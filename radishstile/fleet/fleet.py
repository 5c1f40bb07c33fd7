"""The fleet as one host knows it: the aggregate's root."""

from collections.abc import Iterable

from radishstile.fleet.directory import MemberDirectory
from radishstile.fleet.event import BecameCurrent, BecameOutdated
from radishstile.fleet.freshness import FreshnessEvidence
from radishstile.fleet.membership import EndRecord, Membership
from radishstile.fleet.previous_owner import (
    find_previous_state,
    list_leaving,
    map_previous_states,
)
from radishstile.fleet.release import Releases
from radishstile.fleet.roster import (
    PreviousOwnerState,
    Roster,
    RosterInputs,
    plan_roster,
)
from radishstile.fleet.settings import FleetSettings
from radishstile.fleet.state import EndEvidence, MachineReport, MemberState
from radishstile.fleet.statement import (
    MS_PER_S,
    Statement,
    pick_page,
    to_age_ms,
)
from radishstile.fleet.topology import list_neighbours, list_watchers
from radishstile.member import Member

EVIDENCE_RETENTION_S = 86_400.0
REMARKS_LIMIT = 24
MEMBERS_LIMIT = 8
ENDED_LIMIT = 16
RELEASES_LIMIT = 32
HINTS_LIMIT = 32
# Heartbeat intervals between two ticks beyond which this host was paused, so
# that missing answers in between are no evidence against other members.
PAUSE_HEARTBEATS = 2


class Fleet:
    """The members, the resources they own, and configuration freshness.

    All times are in seconds of the local clock.
    """

    __slots__ = (
        "local_member",
        "settings",
        "roster",
        "directory",
        "freshness",
        "is_leaving",
        "_known_roster_version",
        "_releases",
        "_ticked_at",
        "_running_since",
        "_was_current",
    )

    def __init__(self, local_member: Member, settings: FleetSettings):
        self.local_member = local_member
        self.settings = settings
        self.roster = Roster()
        self.directory = MemberDirectory(local_member, settings)
        self.freshness = FreshnessEvidence(local_member.zone, settings)
        self.is_leaving = False
        self._known_roster_version = 0
        self._releases = Releases()
        self._ticked_at: float | None = None
        self._running_since = float("-inf")
        self._was_current = False

    def make_statement(
        self, now: float, hints: dict[str, int] | None = None
    ) -> Statement:
        """Return the reply to a heartbeat that arrives at `now`."""
        # Long lists are sent in parts, in turn.
        turn = int(now / self.settings.heartbeat_s)
        freshness = self.freshness
        directory = self.directory
        registered = self.roster.identities
        return Statement(
            self.local_member,
            MemberState.LEAVING if self.is_leaving else MemberState.LIVE,
            freshness.version,
            freshness.known_version,
            self.roster.version,
            to_age_ms(freshness.store_reached_at, now),
            to_age_ms(freshness.store_failed_at, now),
            freshness.list_reports(now),
            dict(list((hints or {}).items())[:HINTS_LIMIT]),
            pick_page(
                directory.list_unregistered(registered), MEMBERS_LIMIT, turn
            ),
            pick_page(directory.list_remarks(now), REMARKS_LIMIT, turn),
            pick_page(
                directory.list_end_notices(now, registered), ENDED_LIMIT, turn
            ),
            pick_page(self._releases.list_all(), RELEASES_LIMIT, turn),
        )

    def record_heartbeat(
        self, statement: Statement, asked_at: float, now: float
    ) -> None:
        """Apply a peer's reply to the heartbeat sent at `asked_at`."""
        membership = self.directory.add_member(statement.member, now)
        if membership is None:
            return
        self._record_answer(membership, statement, asked_at, now)
        self._record_freshness(statement, asked_at, now)
        for member in statement.provisional:
            provisional = self.directory.add_member(member, now)
            if provisional and provisional.state is MemberState.STARTING:
                provisional.confirm_live()
        for remark in statement.remarks:
            moment = asked_at - remark.age_ms / MS_PER_S
            self.directory.record_remark(remark, moment, self.settings)
        for notice in statement.ended:
            identity = (notice.host, notice.incarnation)
            learned_at = now - notice.age_ms / MS_PER_S
            self.directory.record_end(
                identity, notice.evidence, learned_at, notice.is_closed
            )
        self._releases.merge(statement.releases, self.roster)

    def _record_answer(
        self,
        membership: Membership,
        statement: Statement,
        asked_at: float,
        now: float,
    ) -> None:
        membership.hints = statement.hints
        if now - asked_at <= self.settings.suspect_after_s:
            membership.record_answer(asked_at)
        if statement.state is MemberState.LEAVING:
            membership.mark_leaving()

    def _record_freshness(
        self, statement: Statement, asked_at: float, now: float
    ) -> None:
        newest = max(self._known_roster_version, statement.roster_version)
        self._known_roster_version = newest
        self.freshness.record_version(statement.known_version)
        for report in statement.zones:
            self.freshness.record_report(report, asked_at, now)
        self.freshness.record_peer_failed(
            statement.member.zone, asked_at, statement.store_failed_age_ms
        )

    def record_connected(self, member: Member, now: float) -> None:
        """Record that `member` completed a handshake."""
        membership = self.directory.add_member(member, now)
        if membership is not None:
            membership.record_answer(now)

    def record_refused(self, identity: tuple[str, int], now: float) -> None:
        """Record that the kernel refused a connection to a peer address.

        This is no evidence against a member that has never answered.
        """
        membership = self.directory.find(identity)
        if membership is not None and membership.answered_at is not None:
            is_closed = self.directory.has_just_answered(identity, now)
            self.directory.record_end(
                identity, EndEvidence.REFUSED, now, is_closed
            )

    def record_replaced(self, member: Member, now: float) -> None:
        """Record that `member` registered, so older incarnations ended."""
        self.directory.add_member(member, now)

    def record_machines(
        self, reports: Iterable[MachineReport], now: float
    ) -> None:
        """Apply the platform's list; absence from it is no evidence."""
        for report in reports:
            if report.is_gone:
                identity = (report.host, report.incarnation)
                self.directory.record_end(identity, EndEvidence.DELISTED, now)

    def apply_roster(self, roster: Roster, now: float) -> bool:
        """Apply `roster` if it is newer; return whether it was applied."""
        if roster.version <= self.roster.version:
            return False
        previous = self.roster
        self.roster = roster
        for member in roster.members.values():
            membership = self.directory.add_member(member, now)
            if membership and membership.state is MemberState.STARTING:
                membership.confirm_live()
        for member in previous.members.values():
            if member.host not in roster.members:
                identity = member.identity
                self.directory.record_end(identity, EndEvidence.DROPPED, now)
        self._releases.drop_applied(roster)
        return True

    def record_configuration(self, version: int, now: float) -> None:
        """Record that this host has applied configuration `version`."""
        self.freshness.record_configuration(version)

    def record_store_reached(
        self, started_at: float, now: float, configuration_version: int
    ) -> None:
        """Record the answer to a call of the store made at `started_at`."""
        self.freshness.record_store_reached(
            started_at, now, configuration_version
        )

    def record_store_failed(self, now: float) -> None:
        """Record that this host's call of the store has failed."""
        self.freshness.record_store_failed(now)

    def tick(self, now: float) -> list:
        """Apply timeouts and return events; see `event`."""
        self._detect_pause(now)
        self.list_heartbeat_peers(now)
        self.directory.suspect_silent_members(
            now, self._running_since, self.settings
        )
        self.freshness.drop_old(now)
        oldest = now - EVIDENCE_RETENTION_S
        self.directory.drop_ends(oldest, self.roster.identities)
        return self.directory.drain_events() + self._check_current(now)

    def _detect_pause(self, now: float) -> None:
        bound_s = PAUSE_HEARTBEATS * self.settings.heartbeat_s
        if self._ticked_at is None or now - self._ticked_at > bound_s:
            self._running_since = now
        self._ticked_at = now

    def _check_current(self, now: float) -> list:
        reason = self.find_outdated_reason(now)
        is_current = reason is None
        if is_current == self._was_current:
            return []
        self._was_current = is_current
        return [BecameCurrent() if is_current else BecameOutdated(reason)]

    def find_outdated_reason(self, now: float) -> str | None:
        """Return why keys may not be accepted, or None if they may."""
        evidence = self.directory.find_end_evidence(self.local_member.identity)
        if evidence is not None:
            return f"this incarnation has ended: {evidence.name.lower()}"
        if self.freshness.is_confirmed(now):
            return None
        if not self.roster.version:
            return "no roster known"
        if self.roster.version < self._known_roster_version:
            return (
                f"has roster {self.roster.version}, "
                f"roster {self._known_roster_version} exists"
            )
        zones, is_alone = self._list_running_zones()
        return self.freshness.find_outdated_reason(now, zones, is_alone)

    def _list_running_zones(self) -> tuple[set[str], bool]:
        running = [
            member
            for member in self.roster.members.values()
            if self.directory.find_end_evidence(member.identity) is None
        ]
        is_alone = all(
            member.zone != self.local_member.zone
            or member.host == self.local_member.host
            for member in running
        )
        return {member.zone for member in running}, is_alone

    def is_current(self, now: float) -> bool:
        """Return whether this host may accept keys at `now`."""
        return self.find_outdated_reason(now) is None

    def may_accept_patches(self, now: float) -> bool:
        """Return whether a patch accepted here would reach the fleet.

        This host must have reached the store recently and get answers from
        at least half of the neighbours that it watches, only those of its own
        zone if it has any there. Otherwise other hosts could consider the
        store unavailable and keep using the version before the patch.
        """
        reached_at = self.freshness.store_reached_at
        is_reached = self.freshness.store_failed_at is None
        if not is_reached or not self.freshness.is_recent(reached_at, now):
            return False
        return self.has_joined(now) and self.is_current(now)

    def has_joined(self, now: float) -> bool:
        """Return whether this host is registered and hears its neighbours.

        At least half of those that it watches must have answered lately.
        """
        if not self.roster.is_registered(self.local_member.identity):
            return False
        oldest = now - self.settings.suspect_after_s
        return self.directory.hears_most_neighbours(oldest)

    def list_heartbeat_peers(self, now: float) -> list[Member]:
        """Return the members to send heartbeats to, and expect answers."""
        present = self.directory.list_present()
        live = {
            membership.member.host
            for membership in present
            if membership.is_live
        }
        members = [membership.member for membership in present]
        peers = list_neighbours(
            self.local_member, members, live, self.settings
        )
        hosts = {member.host for member in peers}
        for membership in present:
            if membership.member.host in hosts:
                membership.start_watching(now)
            else:
                membership.stop_watching()
        return peers

    def list_entry_members(self, now: float) -> list[Member]:
        """Return the members that look-ups may return."""
        present = self.directory.list_present()
        members = [
            membership.member for membership in present if membership.is_live
        ]
        if self.is_serving:
            members.append(self.local_member)
        return members

    @property
    def is_serving(self) -> bool:
        """Return whether this incarnation accepts new work."""
        ended = self.directory.find_end_evidence(self.local_member.identity)
        return ended is None and not self.is_leaving

    def is_watcher(self, now: float) -> bool:
        """Return whether this host watches the store for its zone."""
        return self.local_member in self._list_watchers(now)

    def is_planner(self, now: float) -> bool:
        """Return whether this host plans rosters.

        One host of each zone does, so that a zone cut off from the store does
        not delay the others; the store's conditional update decides.
        """
        return self._list_watchers(now)[:1] == [self.local_member]

    def _list_watchers(self, now: float) -> list[Member]:
        members = self.list_entry_members(now)
        live = {member.host for member in members}
        count = self.settings.watchers_per_zone
        return list_watchers(self.local_member.zone, members, live, count)

    def find_owner(self, resource: str) -> Member | None:
        """Return the owner of `resource` unless it released it or ended."""
        member = self.roster.find_owner(resource)
        if member is None or self.find_end_evidence(member.identity):
            return None
        entry = self.roster.owners[resource]
        is_released = self._releases.has_release(resource, entry)
        return None if is_released else member

    def is_owner(self, resource: str) -> bool:
        """Return whether this incarnation owns `resource`."""
        return self.find_owner(resource) == self.local_member

    def find_end_evidence(
        self, identity: tuple[str, int]
    ) -> EndEvidence | None:
        """Return the evidence of an incarnation's end, if there is any."""
        return self.directory.find_end_evidence(identity)

    def find_member(self, identity: tuple[str, int]) -> Member | None:
        """Return the member with exactly this identity, if known."""
        if identity == self.local_member.identity:
            return self.local_member
        membership = self.directory.find(identity)
        return None if membership is None else membership.member

    def list_unregistered(self) -> list[Member]:
        """Return the known members that are not in the roster."""
        return self.directory.list_unregistered(self.roster.identities)

    def list_ended(self) -> list[EndRecord]:
        """Return the evidence of ends that this host knows."""
        return self.directory.list_ends()

    def plan_roster(
        self,
        wanted: dict[str, str | None],
        registered: Iterable[Member],
        now: float,
        movable: frozenset[str] = frozenset(),
    ) -> Roster | None:
        """Return the next roster, or None if nothing has to change.

        `wanted` maps a resource to its preferred zone or None; `registered`
        are the store's host records; `movable` are the resources that a
        leaving owner hands over. A host that has never answered is not added,
        since its end could not be detected.
        """
        registered = list(registered)
        for member in registered:
            self.directory.add_member(member, now)
        candidates = {m.identity for m in self.list_entry_members(now)}
        ended = map_previous_states(self.directory, self.roster, registered)
        answering = [m for m in registered if m.identity in candidates]
        releases = set(self._releases.list_all())
        regions = self.directory.map_zones_to_regions()
        plan = RosterInputs(
            wanted,
            answering,
            candidates,
            ended,
            releases,
            regions,
            self._list_leaving(),
            movable,
        )
        return plan_roster(self.roster, plan)

    def find_previous_state(
        self, identity: tuple[str, int]
    ) -> PreviousOwnerState:
        """Return what an ended incarnation may still use."""
        return find_previous_state(self.directory, identity)

    def _list_leaving(self) -> frozenset[tuple[str, int]]:
        local = {self.local_member.identity} if self.is_leaving else set()
        return frozenset(list_leaving(self.directory) | local)

    def leave(self) -> None:
        """Accept no new work from now on."""
        self.is_leaving = True

    def release(self, resource: str) -> None:
        """Release `resource`, none of which is in use."""
        if self.is_owner(resource):
            self._releases.add(resource, self.roster.owners[resource])

    def record_own_release(self, now: float) -> None:
        """Record that this incarnation released all and ends."""
        self.is_leaving = True
        self.directory.record_end(
            self.local_member.identity, EndEvidence.RELEASED, now
        )
