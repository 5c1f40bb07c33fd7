"""Plans when refused callers come back.

Where slots are not shared, callers come back after the expected wait. Where
they are, they are invited only to a time for which a slot is reserved.
"""

from radishstile.slot.calendar import (
    BUCKET_S,
    BUCKETS,
    Need,
    SlotCalendar,
)
from radishstile.slot.claim import Claim
from radishstile.slot.demand import DemandForecast
from radishstile.slot.repeats import RefusalRegister
from radishstile.slot.reservations import (
    LATE_S,
    ExpiryQueue,
    Reservation,
    ReservationBook,
    has_same_deadline,
    make_key,
)
from radishstile.slot.settings import SlotSettings
from radishstile.slot.trust import TrustRegister
from radishstile.slot.wait import HOLD_TIME_FACTOR

# Bounds of the retry delay of a denied claim, in seconds. An earlier retry
# meets the same queue; a later one is past most deadlines.
RETRY_MIN_S = 0.2
RETRY_MAX_S = 2.0
# Part of the time left until its deadline that a caller waits at most: callers
# honour Retry-After up to a third, and the network takes some of it.
MAX_WAIT_PART = 0.3
# Time that a return takes to reach the leader, in seconds.
ARRIVAL_S = 0.1
# Part of a bucket that each next lower priority may use of what the one above
# may: what remains is for refusals of a higher priority that come later.
LOWER_PRIORITY_PART = 0.7
# Limit of the reservations and redeemed claims that are remembered until they
# expire: 500 refusals a second for the 9 s of a return and the longest
# deadline (6.8 s), with a reserve. A reservation takes 1.2 kB.
MAX_ENTRIES = 8192


def bound_retry_delay(wait_s: float) -> float:
    """Return the Retry-After for an expected wait, both in seconds."""
    return min(max(wait_s, RETRY_MIN_S), RETRY_MAX_S)


class ReturnCounts:
    """Numbers of reservations since the start.

    `made` is the sum of the others and of those that are still held. `broken`
    are those whose callers came in time and were refused, and `unused` those
    whose callers didn't come in time or left.
    """

    __slots__ = ("made", "kept", "broken", "unused")

    def __init__(self):
        self.made = 0
        self.kept = 0
        self.broken = 0
        self.unused = 0


class ReturnPlanner:
    """Gives refused claims a time to come back; times are in seconds.

    This one is for slots that are not shared: it reserves nothing.
    """

    __slots__ = ("counts",)

    def __init__(self):
        self.counts = ReturnCounts()

    def plan(
        self, claim: Claim, wait_s: float, expected_s: float, now: float
    ) -> float | None:
        """Return the Retry-After of a refused claim, or None.

        `wait_s` is the wait that the claim would have had, and `expected_s`
        the slot time that it needs.
        """
        return bound_retry_delay(wait_s)

    def redeem(self, claim: Claim, now: float) -> bool:
        """Return whether a claim comes back as it was told to."""
        return False

    def detect_repeat(self, claim: Claim, now: float) -> bool:
        """Return whether a claim that isn't redeemed repeats a refused one.

        Called once for each such claim. Its caller has missed its objective,
        which counts from the first attempt, so it must not displace claims
        that can meet theirs.
        """
        return False

    def record_arrival(self, claim: Claim, work_s: float, now: float) -> None:
        """Count the expected slot-seconds of a claim's first attempt.

        Called for claims that are neither redeemed nor repeats.
        """

    def record_grant(self, claim_id: str, now: float) -> None:
        """Note that a claim got its slot."""

    def is_capacity_due(self, service: str, now: float) -> bool:
        """Return whether `record_capacity` should be called."""
        return False

    def record_capacity(
        self, service: str, slots: float, queued_s: float, now: float
    ) -> None:
        """Apply the slots that may be granted and the work that waits.

        `queued_s` is in expected slot-seconds.
        """


class _ServicePlan:
    """The forecast and the calendar of one service."""

    __slots__ = ("demand", "calendar", "priorities", "updated_at")

    def __init__(self, now: float):
        self.demand = DemandForecast(now)
        self.calendar = SlotCalendar(now)
        # The priorities of the claims so far.
        self.priorities: set[int] = set()
        self.updated_at = float("-inf")

    def get_part(self, priority: int) -> float:
        """Return the part of a bucket that a priority may use."""
        position = sum(other < priority for other in self.priorities)
        return LOWER_PRIORITY_PART**position


class ReservingPlanner(ReturnPlanner):
    """Reserves a slot for each caller that it invites to come back.

    A reservation is held until its caller comes (`redeem`) or is late. What
    follows is told by `record_grant`, or by `plan` for a refusal; a redeemed
    claim of which neither is told has left by its deadline.
    """

    __slots__ = (
        "_plans",
        "_book",
        "_redeemed",
        "_invited",
        "_visits",
        "_trust",
        "_refusals",
    )

    def __init__(self):
        super().__init__()
        self._plans: dict[str, _ServicePlan] = {}
        self._book = ReservationBook()
        # Reservations whose callers have come and wait, by claim id.
        self._redeemed: dict[str, Reservation] = {}
        # Reservations by the last time at which their callers may come.
        self._invited = ExpiryQueue()
        # Ids of redeemed claims by their deadlines.
        self._visits = ExpiryQueue()
        self._trust = TrustRegister()
        self._refusals = RefusalRegister()

    def __len__(self) -> int:
        """Return the number of reservations that are held."""
        return len(self._book) + len(self._redeemed)

    def plan(
        self, claim: Claim, wait_s: float, expected_s: float, now: float
    ) -> float | None:
        """Return the Retry-After of a refused claim, or None.

        A caller comes back once, so a redeemed claim and a repeat get no other
        time. One that comes too early is told again the time that it had.
        """
        self._expire(now)
        if self._redeemed.pop(claim.claim_id, None) is not None:
            self.counts.broken += 1
            return None
        if not claim.fingerprint:
            return None
        is_repeat = self._refusals.close(claim.claim_id)
        self._refusals.add(claim, now)
        known = self._book.find_repeated(claim)
        if known is not None:
            retry_s = known.booking.starts_at - now
            return retry_s if retry_s > 0 else None
        if is_repeat or not self._has_room(claim):
            return None
        return self._reserve(claim, wait_s, expected_s, now)

    def redeem(self, claim: Claim, now: float) -> bool:
        """Return whether a claim comes back as it was told to.

        A claim that comes too early leaves its reservation as it is.
        """
        self._expire(now)
        reservation = self._book.find_due(claim, now)
        if reservation is None or claim.claim_id in self._redeemed:
            return False
        self._remove(reservation, now)
        self._refusals.record_return(has_same_deadline(reservation, claim))
        self._refusals.take(claim, now)
        self._redeemed[claim.claim_id] = reservation
        self._visits.add(claim.claim_id, max(now, claim.deadline_at))
        return True

    def detect_repeat(self, claim: Claim, now: float) -> bool:
        """Return whether a claim that isn't redeemed repeats a refused one."""
        if not self._refusals.take(claim, now):
            return False
        self._refusals.open(claim.claim_id)
        return True

    def record_arrival(self, claim: Claim, work_s: float, now: float) -> None:
        """Count the expected slot-seconds of a claim's first attempt."""
        plan = self._get_plan(claim.service, now)
        plan.demand.record(work_s, now)
        plan.priorities.add(claim.priority)

    def record_grant(self, claim_id: str, now: float) -> None:
        """Note that a claim got its slot."""
        self._refusals.close(claim_id)
        reservation = self._redeemed.pop(claim_id, None)
        if reservation is None:
            return
        self.counts.kept += 1
        self._trust.record(reservation.workspace, True, now)

    def is_capacity_due(self, service: str, now: float) -> bool:
        """Return whether `record_capacity` should be called."""
        return now - self._get_plan(service, now).updated_at >= BUCKET_S

    def record_capacity(
        self, service: str, slots: float, queued_s: float, now: float
    ) -> None:
        """Apply the slots that may be granted and the work that waits.

        `queued_s` is in expected slot-seconds.
        """
        plan = self._get_plan(service, now)
        plan.updated_at = now
        times_s = [n * BUCKET_S for n in range(BUCKETS)]
        demand = plan.demand.predict(times_s, now)
        plan.calendar.allow(slots, queued_s, demand, now)

    def _get_plan(self, service: str, now: float) -> _ServicePlan:
        plan = self._plans.get(service)
        if plan is None:
            plan = self._plans[service] = _ServicePlan(now)
        return plan

    def _reserve(
        self, claim: Claim, wait_s: float, expected_s: float, now: float
    ) -> float | None:
        need = self._make_need(claim, wait_s, expected_s, now)
        if need.earliest_at > need.latest_at:
            return None
        booking = self._get_plan(claim.service, now).calendar.book(need, now)
        if booking is None:
            return None
        reservation = Reservation(make_key(claim), booking, claim.deadline_at)
        self._book.add(reservation)
        self._invited.add(reservation, booking.starts_at + LATE_S)
        self.counts.made += 1
        return booking.starts_at - now

    def _make_need(
        self, claim: Claim, wait_s: float, expected_s: float, now: float
    ) -> Need:
        longest_s = MAX_WAIT_PART * (claim.deadline_at - now)
        run_s = ARRIVAL_S + expected_s * HOLD_TIME_FACTOR
        return Need(
            claim.workspace,
            expected_s,
            now + max(wait_s, RETRY_MIN_S),
            min(now + longest_s, claim.deadline_at - run_s),
            self._get_plan(claim.service, now).get_part(claim.priority),
            self._trust.measure(claim.workspace, now),
        )

    def _remove(self, reservation: Reservation, now: float) -> bool:
        """Remove a reservation and free what it holds, if it is held."""
        if not self._book.remove(reservation):
            return False
        plan = self._get_plan(reservation.service, now)
        plan.calendar.release(reservation.booking, now)
        return True

    def _has_room(self, claim: Claim) -> bool:
        """Return whether one more reservation may be held for a claim."""
        entries = len(self._invited) + len(self._visits)
        return entries < MAX_ENTRIES and self._book.has_room(claim)

    def _expire(self, now: float) -> None:
        """Free reservations whose callers didn't come, or left."""
        while (reservation := self._invited.take(now)) is not None:
            if self._remove(reservation, now):
                self._record_unused(reservation, now)
        while (claim_id := self._visits.take(now)) is not None:
            reservation = self._redeemed.pop(claim_id, None)
            if reservation is not None:
                self._record_unused(reservation, now)

    def _record_unused(self, reservation: Reservation, now: float) -> None:
        self.counts.unused += 1
        self._trust.record(reservation.workspace, False, now)


def make_planner(settings: SlotSettings) -> ReturnPlanner:
    """Return the planner that a deployment's settings call for."""
    if settings.is_shared:
        return ReservingPlanner()
    return ReturnPlanner()
