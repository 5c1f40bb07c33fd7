"""State of one incarnation of another host, as this host knows it."""

from transitions import Machine

from radishstile.fleet.state import EndEvidence, MemberState
from radishstile.member import Member


class EndRecord:
    """Evidence of one incarnation's end and when this host learned of it.

    `is_closed` tells that the kernel outlived the process, so it has closed
    the incarnation's connections.
    """

    __slots__ = ("host", "incarnation", "evidence", "at", "is_closed")

    def __init__(
        self,
        host: str,
        incarnation: int,
        evidence: EndEvidence,
        at: float,
        is_closed: bool = False,
    ):
        self.host = host
        self.incarnation = incarnation
        self.evidence = evidence
        self.at = at
        self.is_closed = is_closed

    @property
    def identity(self) -> tuple[str, int]:
        """Return the host's name and the ended incarnation."""
        return self.host, self.incarnation


class Membership:
    """One incarnation's state and the times that determine it.

    `answered_at` is the send time of the last answered heartbeat;
    `watched_at` since when this host sends it heartbeats; `suspected_at` the
    latest time at which this host or another got no answer; `hints` its free
    units by resource.
    """

    # `transitions` sets its triggers as attributes of the model.
    __slots__ = (
        "member",
        "identity",
        "answered_at",
        "watched_at",
        "suspected_at",
        "hints",
        "__dict__",
    )

    def __init__(self, member: Member, machine: Machine):
        self.member = member
        self.identity = member.identity
        self.answered_at: float | None = None
        self.watched_at: float | None = None
        self.suspected_at: float | None = None
        self.hints: dict[str, int] = {}
        machine.add_model(self)

    @property
    def is_live(self) -> bool:
        """Return whether the member can take new work."""
        return self.state is MemberState.LIVE

    @property
    def is_gone(self) -> bool:
        """Return whether there is evidence of the incarnation's end."""
        return self.state is MemberState.GONE

    @property
    def is_leaving(self) -> bool:
        """Return whether the member has announced that it leaves."""
        return self.state is MemberState.LEAVING

    @property
    def is_watched(self) -> bool:
        """Return whether this host sends heartbeats to the member."""
        return self.watched_at is not None

    def record_answer(self, asked_at: float) -> None:
        """Record an answer to a heartbeat that was sent at `asked_at`."""
        if self.answered_at is None or asked_at > self.answered_at:
            self.answered_at = asked_at
        self.confirm_live()

    def confirm_live(self) -> None:
        """Mark the member live unless it leaves or has ended."""
        if self.state in (MemberState.STARTING, MemberState.SUSPECTED):
            self.mark_live()

    def record_remark(self, moment: float, bound_s: float) -> None:
        """Record that another host got no answer from it at `moment`.

        Ignored if this host got an answer at most `bound_s` before.
        """
        if (
            self.answered_at is not None
            and moment - self.answered_at < bound_s
        ):
            return
        self.suspect(moment)

    def suspect(self, moment: float) -> None:
        """Suspect the member, which did not answer at `moment`."""
        if self.suspected_at is None or moment > self.suspected_at:
            self.suspected_at = moment
        self.mark_suspected()

    def is_silent(self, now: float, since: float, bound_s: float) -> bool:
        """Return whether a watched member has not answered for `bound_s`.

        Time before `since`, when this host was paused, does not count.
        """
        if self.watched_at is None:
            return False
        last = max(self.watched_at, since)
        if self.answered_at is not None:
            last = max(last, self.answered_at)
        return now - last > bound_s

    def has_answered_since(self, oldest: float) -> bool:
        """Return whether a heartbeat sent since `oldest` was answered."""
        return self.answered_at is not None and self.answered_at >= oldest

    def stop_watching(self) -> None:
        """Expect no more heartbeat answers from the member."""
        self.watched_at = None

    def start_watching(self, now: float) -> None:
        """Expect heartbeat answers from the member from `now` on."""
        if self.watched_at is None:
            self.watched_at = now
