"""The members that this host knows, one incarnation per host."""

from radishstile.fleet.event import (
    MemberEnded,
    MemberLeaving,
    MemberLive,
    MemberSuspected,
)
from radishstile.fleet.membership import EndRecord, Membership
from radishstile.fleet.settings import FleetSettings
from radishstile.fleet.state import EndEvidence, MemberState, build_machine
from radishstile.fleet.statement import EndNotice, Remark, to_age_ms
from radishstile.member import Member

EVIDENCE_SPREAD_S = 60.0

_EVENTS = {
    MemberState.LIVE: MemberLive,
    MemberState.SUSPECTED: MemberSuspected,
    MemberState.LEAVING: MemberLeaving,
}


class MemberDirectory:
    """The newest incarnation of each host and the evidence of ends.

    Evidence is final: an identity with evidence never becomes live again.
    """

    __slots__ = (
        "local_member",
        "_settings",
        "_machine",
        "_memberships",
        "_ends",
        "_reported_states",
        "_new_ends",
    )

    def __init__(self, local_member: Member, settings: FleetSettings):
        self.local_member = local_member
        self._settings = settings
        self._machine = build_machine()
        self._memberships: dict[str, Membership] = {}
        self._ends: dict[tuple[str, int], EndRecord] = {}
        self._reported_states: dict[tuple[str, int], MemberState] = {}
        self._new_ends: list[MemberEnded] = []

    def add_member(self, member: Member, now: float) -> Membership | None:
        """Add a member and return its membership, or None if it has ended.

        A newer incarnation is evidence of the end of older ones.
        """
        membership = self._memberships.get(member.host)
        newest = (
            self.local_member
            if member.host == self.local_member.host
            else None
        )
        newest = membership.member if membership else newest
        if newest and member.incarnation < newest.incarnation:
            self.record_end(member.identity, EndEvidence.REPLACED, now)
        if newest and member.incarnation > newest.incarnation:
            # Same machine, unless another one has taken over its address.
            is_closed = (
                newest.address == member.address
                and self.has_just_answered(newest.identity, now)
            )
            self.record_end(
                newest.identity, EndEvidence.REPLACED, now, is_closed
            )
        if (
            member.identity in self._ends
            or member.host == self.local_member.host
        ):
            return None
        if membership and membership.member == member:
            return membership
        if membership:
            self._machine.remove_model(membership)
        self._memberships[member.host] = Membership(member, self._machine)
        return self._memberships[member.host]

    def record_end(
        self,
        identity: tuple[str, int],
        evidence: EndEvidence,
        now: float,
        is_closed: bool = False,
    ) -> None:
        """Record final evidence of an incarnation's end."""
        if identity in self._ends:
            self._ends[identity].is_closed |= is_closed
            return
        record = EndRecord(*identity, evidence, now, is_closed)
        self._ends[identity] = record
        self._new_ends.append(MemberEnded(*identity, evidence))
        membership = self.find(identity)
        if membership is not None:
            membership.mark_gone()

    def has_just_answered(self, identity: tuple[str, int], now: float) -> bool:
        """Return whether a member answered too recently for a reboot.

        If its port now refuses connections, the kernel it ran under is still
        up and has closed its connections.
        """
        membership = self.find(identity)
        if membership is None:
            return False
        return membership.has_answered_since(
            now - self._settings.suspect_after_s
        )

    def find_end(self, identity: tuple[str, int]) -> EndRecord | None:
        """Return the record of an incarnation's end, if there is one."""
        return self._ends.get(identity)

    def find(self, identity: tuple[str, int]) -> Membership | None:
        """Return the membership of exactly this incarnation, if known."""
        membership = self._memberships.get(identity[0])
        if membership is None or membership.identity != identity:
            return None
        return membership

    def find_end_evidence(
        self, identity: tuple[str, int]
    ) -> EndEvidence | None:
        """Return the evidence of an incarnation's end, if there is any."""
        record = self._ends.get(identity)
        if record is not None:
            return record.evidence
        membership = self._memberships.get(identity[0])
        if (
            membership is not None
            and membership.member.incarnation > identity[1]
        ):
            return EndEvidence.REPLACED
        return None

    def list_present(self) -> list[Membership]:
        """Return the other hosts' memberships without evidence of an end."""
        gone = MemberState.GONE
        return [k for k in self._memberships.values() if k.state is not gone]

    def map_zones_to_regions(self) -> dict[str, str]:
        """Return the region of each zone that has or had a known member."""
        members = [
            membership.member for membership in self._memberships.values()
        ]
        return {m.zone: m.region for m in [*members, self.local_member]}

    def list_ends(self) -> list[EndRecord]:
        """Return the evidence of ends, oldest first."""
        return list(self._ends.values())

    def drop_ends(
        self, before: float, kept: frozenset[tuple[str, int]]
    ) -> None:
        """Drop evidence older than `before` of incarnations not in `kept`."""
        for identity, record in list(self._ends.items()):
            is_local = identity == self.local_member.identity
            if record.at >= before or identity in kept or is_local:
                continue
            del self._ends[identity]
            membership = self.find(identity)
            if membership is not None:
                self._machine.remove_model(membership)
                del self._memberships[identity[0]]

    def record_remark(
        self, remark: Remark, moment: float, settings: FleetSettings
    ) -> None:
        """Apply a peer's remark on a member's state as of `moment`."""
        membership = self.find((remark.host, remark.incarnation))
        if membership is None:
            return
        if remark.state is MemberState.LEAVING:
            membership.mark_leaving()
        if remark.state is MemberState.SUSPECTED:
            membership.record_remark(moment, settings.suspect_after_s)

    def suspect_silent_members(
        self, now: float, since: float, settings: FleetSettings
    ) -> None:
        """Suspect watched members whose answers are overdue.

        This host has run without a pause from `since` to `now`.
        """
        for membership in self.list_present():
            if membership.is_leaving:
                continue
            if membership.is_silent(now, since, settings.suspect_after_s):
                membership.suspect(now)
            elif membership.state is MemberState.SUSPECTED:
                _clear_suspicion(membership, now, settings)

    def hears_most_neighbours(self, oldest: float) -> bool:
        """Return whether half of the watched members answered since `oldest`.

        Only those of the local zone count, if any are watched.
        """
        watched = [k for k in self.list_present() if k.is_watched]
        local = [k for k in watched if k.member.zone == self.local_member.zone]
        neighbours = local or watched
        answered = sum(
            membership.has_answered_since(oldest) for membership in neighbours
        )
        return 2 * answered >= len(neighbours)

    def list_unregistered(
        self, registered: frozenset[tuple[str, int]]
    ) -> list[Member]:
        """Return the known members that are not in the roster."""
        return [
            membership.member
            for membership in self.list_present()
            if membership.identity not in registered
        ]

    def list_remarks(self, now: float) -> list[Remark]:
        """Return the leaving and suspected members, to pass on to peers."""
        remarks = []
        notable = (MemberState.LEAVING, MemberState.SUSPECTED)
        for membership in self._memberships.values():
            if membership.state not in notable:
                continue
            moment = now if membership.is_leaving else membership.suspected_at
            age_ms = to_age_ms(moment, now)
            remarks.append(
                Remark(*membership.identity, membership.state, age_ms)
            )
        return remarks

    def list_end_notices(
        self, now: float, registered: frozenset[tuple[str, int]]
    ) -> list[EndNotice]:
        """Return evidence that is recent or not yet in the roster."""
        return [
            EndNotice(
                *end.identity,
                end.evidence,
                to_age_ms(end.at, now),
                end.is_closed,
            )
            for end in self.list_ends()
            if now - end.at <= EVIDENCE_SPREAD_S or end.identity in registered
        ]

    def drain_events(self) -> list:
        """Return the changes since the last call as events."""
        events = [*self._new_ends]
        self._new_ends = []
        reported = {}
        for membership in self.list_present():
            identity = membership.identity
            reported[identity] = membership.state
            kind = _EVENTS.get(membership.state)
            if (
                kind
                and self._reported_states.get(identity) is not membership.state
            ):
                events.append(kind(membership.member))
        self._reported_states = reported
        return events


def _clear_suspicion(
    membership: Membership, now: float, settings: FleetSettings
) -> None:
    # Its watchers repeat their remarks while it does not answer.
    if now - membership.suspected_at > settings.isolated_after_s:
        membership.confirm_live()
