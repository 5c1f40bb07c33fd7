"""The fleet as one host knows it: the root of this aggregate."""

from collections.abc import Iterable

from radishstile.fleet.directory import Directory
from radishstile.fleet.end import judge_end, judge_ends, list_leaving
from radishstile.fleet.event import BecameCurrent, BecameOutdated
from radishstile.fleet.freshness import Freshness
from radishstile.fleet.membership import EndRecord, Membership
from radishstile.fleet.release import Releases
from radishstile.fleet.roster import FormerHome, Plan, Roster, plan_roster
from radishstile.fleet.settings import FleetSettings
from radishstile.fleet.state import Evidence, MachineReport, State
from radishstile.fleet.statement import (
    MS_PER_S,
    Statement,
    pick_turn,
    to_age_ms,
)
from radishstile.fleet.topology import list_neighbours, list_watchers
from radishstile.member import Member

EVIDENCE_KEPT_S = 86_400.0
REMARKS_LIMIT = 24
MEMBERS_LIMIT = 8
ENDED_LIMIT = 16
RELEASES_LIMIT = 32
HINTS_LIMIT = 32
# A tick that comes this many heartbeats late shows that this host was
# paused: what it did not hear meanwhile says nothing of others.
PAUSE_HEARTBEATS = 2


class Fleet:
    """Members, their homes, and whether this host may honour keys.

    All moments are seconds of this host's own clock.
    """

    __slots__ = (
        "me",
        "settings",
        "roster",
        "directory",
        "freshness",
        "is_leaving",
        "_heard_roster_version",
        "_releases",
        "_ticked_at",
        "_awake_since",
        "_was_current",
    )

    def __init__(self, me: Member, settings: FleetSettings):
        self.me = me
        self.settings = settings
        self.roster = Roster()
        self.directory = Directory(me, settings)
        self.freshness = Freshness(me.zone, settings)
        self.is_leaving = False
        self._heard_roster_version = 0
        self._releases = Releases()
        self._ticked_at: float | None = None
        self._awake_since = float("-inf")
        self._was_current = False

    def make_statement(
        self, now: float, hints: dict[str, int] | None = None
    ) -> Statement:
        """Return the reply to a heartbeat that arrives at `now`."""
        # Long lists go out in parts, so that each item gets its turn.
        turn = int(now / self.settings.heartbeat_s)
        freshness = self.freshness
        directory = self.directory
        registered = self.roster.identities
        return Statement(
            self.me,
            State.LEAVING if self.is_leaving else State.LIVE,
            freshness.version,
            freshness.known_version,
            self.roster.version,
            to_age_ms(freshness.store_reached_at, now),
            to_age_ms(freshness.store_failed_at, now),
            freshness.list_reports(now),
            dict(list((hints or {}).items())[:HINTS_LIMIT]),
            pick_turn(
                directory.list_unregistered(registered), MEMBERS_LIMIT, turn
            ),
            pick_turn(directory.list_remarks(now), REMARKS_LIMIT, turn),
            pick_turn(
                directory.list_notices(now, registered), ENDED_LIMIT, turn
            ),
            pick_turn(self._releases.list_all(), RELEASES_LIMIT, turn),
        )

    def hear(self, statement: Statement, asked_at: float, now: float) -> None:
        """Take in a peer's reply to the heartbeat sent at `asked_at`."""
        known = self.directory.learn(statement.member, now)
        if known is None:
            return
        self._hear_member(known, statement, asked_at, now)
        self._hear_freshness(statement, asked_at, now)
        for member in statement.provisional:
            provisional = self.directory.learn(member, now)
            if provisional and provisional.state is State.STARTING:
                provisional.vouch()
        for remark in statement.remarks:
            moment = asked_at - remark.age_ms / MS_PER_S
            self.directory.note_remark(remark, moment, self.settings)
        for notice in statement.ended:
            identity = (notice.host, notice.incarnation)
            learnt_at = now - notice.age_ms / MS_PER_S
            self.directory.end(
                identity, notice.evidence, learnt_at, notice.is_closed
            )
        self._releases.keep(statement.releases, self.roster)

    def _hear_member(
        self,
        known: Membership,
        statement: Statement,
        asked_at: float,
        now: float,
    ) -> None:
        known.hints = statement.hints
        if now - asked_at <= self.settings.suspect_after_s:
            known.note_heard(asked_at)
        if statement.state is State.LEAVING:
            known.tell_leaving()

    def _hear_freshness(
        self, statement: Statement, asked_at: float, now: float
    ) -> None:
        heard = max(self._heard_roster_version, statement.roster_version)
        self._heard_roster_version = heard
        self.freshness.note_version(statement.known_version)
        for report in statement.zones:
            self.freshness.note_report(report, asked_at, now)
        self.freshness.note_peer_failed(
            statement.member.zone, asked_at, statement.store_failed_age_ms
        )

    def note_connected(self, member: Member, now: float) -> None:
        """Record that `member` completed a handshake."""
        known = self.directory.learn(member, now)
        if known is not None:
            known.note_heard(now)

    def note_refused(self, identity: tuple[str, int], now: float) -> None:
        """Record that the kernel refused a connection to a peer address.

        It says nothing of a member that has not been heard yet.
        """
        known = self.directory.find(identity)
        if known is not None and known.heard_at is not None:
            is_closed = self.directory.was_just_heard(identity, now)
            self.directory.end(identity, Evidence.REFUSED, now, is_closed)

    def note_replaced(self, member: Member, now: float) -> None:
        """Record that `member` was registered: older incarnations ended."""
        self.directory.learn(member, now)

    def note_machines(
        self, reports: Iterable[MachineReport], now: float
    ) -> None:
        """Record what the platform's list shows; absence shows nothing."""
        for report in reports:
            if report.is_gone:
                identity = (report.host, report.incarnation)
                self.directory.end(identity, Evidence.DELISTED, now)

    def note_roster(self, roster: Roster, now: float) -> bool:
        """Take `roster` if it is newer; return whether it was taken."""
        if roster.version <= self.roster.version:
            return False
        previous = self.roster
        self.roster = roster
        for member in roster.members.values():
            known = self.directory.learn(member, now)
            if known and known.state is State.STARTING:
                known.vouch()
        for member in previous.members.values():
            if member.host not in roster.members:
                identity = member.identity
                self.directory.end(identity, Evidence.DROPPED, now)
        self._releases.follow(roster)
        return True

    def note_configuration(self, version: int, now: float) -> None:
        """Record that this host has put configuration `version` in force."""
        self.freshness.note_configuration(version)

    def note_store_reached(
        self, started_at: float, now: float, configuration_version: int
    ) -> None:
        """Record the answer to a call of the store made at `started_at`."""
        self.freshness.note_store_reached(
            started_at, now, configuration_version
        )

    def note_store_failed(self, now: float) -> None:
        """Record that this host's attempt at the store has failed."""
        self.freshness.note_store_failed(now)

    def tick(self, now: float) -> list:
        """Apply what time brings and return typed events; see `event`."""
        self._note_pause(now)
        self.list_heartbeat_peers(now)
        self.directory.judge_silence(now, self._awake_since, self.settings)
        self.freshness.drop_old(now)
        oldest = now - EVIDENCE_KEPT_S
        self.directory.forget_ends(oldest, self.roster.identities)
        return self.directory.take_events() + self._judge_current(now)

    def _note_pause(self, now: float) -> None:
        bound_s = PAUSE_HEARTBEATS * self.settings.heartbeat_s
        if self._ticked_at is None or now - self._ticked_at > bound_s:
            self._awake_since = now
        self._ticked_at = now

    def _judge_current(self, now: float) -> list:
        reason = self.find_outdated_reason(now)
        is_current = reason is None
        if is_current == self._was_current:
            return []
        self._was_current = is_current
        return [BecameCurrent() if is_current else BecameOutdated(reason)]

    def find_outdated_reason(self, now: float) -> str | None:
        """Return why keys may not be honoured, or None if they may."""
        evidence = self.directory.find_evidence(self.me.identity)
        if evidence is not None:
            return f"this incarnation has ended: {evidence.name.lower()}"
        if self.freshness.is_confirmed(now):
            return None
        if not self.roster.version:
            return "no roster known"
        if self.roster.version < self._heard_roster_version:
            return (
                f"has roster {self.roster.version}, "
                f"roster {self._heard_roster_version} exists"
            )
        zones, is_alone = self._list_running_zones()
        return self.freshness.find_reason(now, zones, is_alone)

    def _list_running_zones(self) -> tuple[set[str], bool]:
        running = [
            member
            for member in self.roster.members.values()
            if self.directory.find_evidence(member.identity) is None
        ]
        is_alone = all(
            member.zone != self.me.zone or member.host == self.me.host
            for member in running
        )
        return {member.zone for member in running}, is_alone

    def is_current(self, now: float) -> bool:
        """Return whether this host may honour keys at `now`."""
        return self.find_outdated_reason(now) is None

    def may_accept_patches(self, now: float) -> bool:
        """Return whether a patch accepted here would reach the fleet.

        This host must have reached the store within the bound and hear at
        least half of the neighbours that it watches, those in its own zone
        if it has any there. Without that, others could take the store for
        unavailable and go on with the version before the patch.
        """
        if not self.roster.is_registered(self.me.identity):
            return False
        reached_at = self.freshness.store_reached_at
        is_reached = self.freshness.store_failed_at is None
        if not is_reached or not self.freshness.is_recent(reached_at, now):
            return False
        oldest = now - self.settings.suspect_after_s
        is_heard = self.directory.hears_neighbours(oldest)
        return is_heard and self.is_current(now)

    def list_heartbeat_peers(self, now: float) -> list[Member]:
        """Return the members to send heartbeats to, and expect them."""
        present = self.directory.list_present()
        live = {known.member.host for known in present if known.is_live}
        members = [known.member for known in present]
        peers = list_neighbours(self.me, members, live, self.settings)
        hosts = {member.host for member in peers}
        for known in present:
            if known.member.host in hosts:
                known.watch(now)
            else:
                known.stop_watching()
        return peers

    def list_entry_members(self, now: float) -> list[Member]:
        """Return the members that look-ups may answer with."""
        present = self.directory.list_present()
        members = [known.member for known in present if known.is_live]
        if self.is_serving:
            members.append(self.me)
        return members

    @property
    def is_serving(self) -> bool:
        """Return whether this incarnation takes new work."""
        ended = self.directory.find_evidence(self.me.identity)
        return ended is None and not self.is_leaving

    def is_watcher(self, now: float) -> bool:
        """Return whether this host watches the store for its zone."""
        return self.me in self._list_watchers(now)

    def is_planner(self, now: float) -> bool:
        """Return whether this host works out rosters.

        One host of each zone does, so that a zone cut from the store does
        not hold up the rest; the conditional update decides.
        """
        return self._list_watchers(now)[:1] == [self.me]

    def _list_watchers(self, now: float) -> list[Member]:
        members = self.list_entry_members(now)
        live = {member.host for member in members}
        count = self.settings.watchers_per_zone
        return list_watchers(self.me.zone, members, live, count)

    def find_home(self, resource: str) -> Member | None:
        """Return the home of `resource` unless it released it or ended."""
        member = self.roster.find_home(resource)
        if member is None or self.find_evidence(member.identity):
            return None
        entry = self.roster.homes[resource]
        is_released = self._releases.covers(resource, entry)
        return None if is_released else member

    def is_home(self, resource: str) -> bool:
        """Return whether this incarnation is home of `resource`."""
        return self.find_home(resource) == self.me

    def find_evidence(self, identity: tuple[str, int]) -> Evidence | None:
        """Return the evidence of an incarnation's end, if there is any."""
        return self.directory.find_evidence(identity)

    def find_member(self, identity: tuple[str, int]) -> Member | None:
        """Return the member with exactly this identity, if known."""
        if identity == self.me.identity:
            return self.me
        known = self.directory.find(identity)
        return None if known is None else known.member

    def list_unregistered(self) -> list[Member]:
        """Return the members that are heard but not in the roster."""
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
        leaving home hands over. A record of a host that nobody hears
        is not taken in, since nobody could learn of its end.
        """
        registered = list(registered)
        for member in registered:
            self.directory.learn(member, now)
        candidates = {m.identity for m in self.list_entry_members(now)}
        ended = judge_ends(self.directory, self.roster, registered)
        heard = [m for m in registered if m.identity in candidates]
        releases = set(self._releases.list_all())
        regions = self.directory.find_regions()
        plan = Plan(
            wanted,
            heard,
            candidates,
            ended,
            releases,
            regions,
            self._list_leaving(),
            movable,
        )
        return plan_roster(self.roster, plan)

    def judge_end(self, identity: tuple[str, int]) -> FormerHome:
        """Return what an incarnation that has ended may still occupy."""
        return judge_end(self.directory, identity)

    def _list_leaving(self) -> frozenset[tuple[str, int]]:
        own = {self.me.identity} if self.is_leaving else set()
        return frozenset(list_leaving(self.directory) | own)

    def leave(self) -> None:
        """Take no new work from now on."""
        self.is_leaving = True

    def release(self, resource: str) -> None:
        """Give up the home of `resource`, of which nothing is owed."""
        if self.is_home(resource):
            self._releases.add(resource, self.roster.homes[resource])

    def finish(self, now: float) -> None:
        """Say the last word: all that this incarnation held is released."""
        self.is_leaving = True
        self.directory.end(self.me.identity, Evidence.RELEASED, now)
