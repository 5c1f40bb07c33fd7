"""Decides on claims by priority and arrival, where slots are not shared."""

from collections.abc import Callable

from radishstile.outcome import Reason
from radishstile.slot.claim import Claim, Decision, Denial, Grant
from radishstile.slot.claim import Queued as QueuedClaim
from radishstile.slot.estimate import HoldTimeEstimate
from radishstile.slot.queue import ClaimQueue, WaitingClaim
from radishstile.slot.returns import (
    RETRY_MAX_S,
    RETRY_MIN_S,
    bound_retry_delay,
)
from radishstile.slot.selector import UpstreamSelector
from radishstile.slot.service import ServiceState
from radishstile.slot.settings import SlotSettings
from radishstile.slot.share_report import ShareReport
from radishstile.slot.upstream import UpstreamState
from radishstile.slot.wait import HOLD_TIME_FACTOR

# Occupies a slot of an upstream with a claim.
Starter = Callable[[ServiceState, UpstreamState, Claim, float], Grant]


class ArrivalPolicy:
    """The queue of one service, ordered by priority and arrival."""

    __slots__ = ("_state", "_settings", "_start_run", "_queue")

    def __init__(
        self, state: ServiceState, settings: SlotSettings, start_run: Starter
    ):
        self._state = state
        self._settings = settings
        self._start_run = start_run
        self._queue = ClaimQueue()

    def __len__(self) -> int:
        return len(self._queue)

    def set_weights(self, weights: dict[str, float]) -> None:
        """Ignore the workspaces' weights: the order does not use them."""

    def report(self) -> ShareReport:
        """Return an empty report: work is not counted by workspace."""
        return ShareReport()

    def decide(
        self, claim: Claim, estimate: HoldTimeEstimate, now: float
    ) -> Decision:
        """Grant, queue or deny a new claim."""
        selector = self._state.select(claim, now)
        expected_s = estimate.get_expected_s(selector.has_warm)
        self._state.record_claim(expected_s * selector.usual_pace)
        upstream = selector.find_start(estimate)
        if upstream is not None:
            return self._start(upstream, claim, now)
        return self._queue_or_deny(selector, estimate, now)

    def deny_without_upstreams(self, claim: Claim, now: float) -> Denial:
        """Deny a claim of a service that has no upstreams."""
        return Denial(claim.claim_id, Reason.NO_UPSTREAM, RETRY_MAX_S)

    def cancel(self, claim_id: str) -> None:
        """Remove a claim if it is still waiting."""
        self._queue.remove(claim_id)

    def fill(self, upstream: UpstreamState, now: float) -> list[Decision]:
        """Grant an upstream's free slots to the first claims that fit."""
        decisions: list[Decision] = []
        for waiting in self._queue:
            if not upstream.has_free_slot(now):
                break
            if _can_start(waiting, upstream, now):
                self._queue.remove(waiting.claim.claim_id)
                decisions.append(self._start(upstream, waiting.claim, now))
        return decisions

    def check(self, now: float) -> list[Decision]:
        """Deny waiting claims that are too late and fill free slots."""
        decisions: list[Decision] = []
        for waiting in self._queue:
            decision = self._check_waiting(waiting, now)
            if decision is not None:
                decisions.append(decision)
        return decisions

    def _start(
        self, upstream: UpstreamState, claim: Claim, now: float
    ) -> Grant:
        return self._start_run(self._state, upstream, claim, now)

    def _queue_or_deny(
        self,
        selector: UpstreamSelector,
        estimate: HoldTimeEstimate,
        now: float,
    ) -> Decision:
        """Queue a claim, start it on idle slots, or deny it.

        A cold run holds a slot three times as long as a warm one, so a claim
        whose object is cached somewhere runs cold only on idle slots.
        """
        claim = selector.claim
        preferred = selector.find_earliest_warm(estimate)
        expected_s = estimate.get_expected_s(preferred is not None)
        if preferred is None:
            wait_s = self._estimate_wait(claim, now)
        else:
            wait_s = preferred.estimate_wait(claim.priority, now)
        is_timely = now + wait_s + expected_s <= claim.objective_at
        if preferred is not None and not is_timely:
            idle = selector.find_idle() or selector.find_copy()
            if idle is not None:
                return self._start(idle, claim, now)
        latest_end_at = now + wait_s + expected_s * HOLD_TIME_FACTOR
        if latest_end_at > claim.deadline_at or not (
            is_timely or self._is_wait_acceptable(claim, wait_s)
        ):
            return _deny_overloaded(claim, wait_s)
        preferred_until = now
        if preferred is not None:
            preferred_until = claim.objective_at - expected_s
        self._queue.add(
            WaitingClaim(
                claim, preferred, preferred_until, expected_s, is_timely
            )
        )
        return QueuedClaim(claim.claim_id, wait_s)

    def _estimate_wait(self, claim: Claim, now: float) -> float:
        """Return the expected wait for a slot of any upstream, in seconds."""
        usable = [
            u
            for u in self._state.ranking.upstreams
            if u.accepts(claim) and u.capacity
        ]
        slots = sum(u.capacity * u.usable_share for u in usable)
        if slots == 0:
            return RETRY_MAX_S
        running_s = sum(
            run.estimate_remaining(now)
            for u in usable
            for run in u.runs.values()
        )
        ahead_s = self._queue.sum_work_ahead(claim.priority)
        return (running_s + ahead_s) / slots

    def _is_wait_acceptable(self, claim: Claim, wait_s: float) -> bool:
        """Return whether a claim that will miss its objective may wait."""
        objective_s = claim.objective_at - claim.arrived_at
        return wait_s <= self._settings.queue_objectives * objective_s

    def _check_waiting(
        self, waiting: WaitingClaim, now: float
    ) -> Decision | None:
        claim = waiting.claim
        needed_s = waiting.expected_s * HOLD_TIME_FACTOR
        if now + needed_s > claim.deadline_at:
            self._queue.remove(claim.claim_id)
            return Denial(claim.claim_id, Reason.DEADLINE, RETRY_MIN_S)
        if self._is_overdue(waiting, now):
            self._queue.remove(claim.claim_id)
            return _deny_overloaded(claim, self._estimate_wait(claim, now))
        selector = self._state.select(claim, now)
        if not selector.has_warm:
            upstream = selector.find_any()
        elif now < waiting.preferred_until:
            upstream = selector.find_warm()
        else:
            upstream = (
                selector.find_warm()
                or selector.find_idle()
                or selector.find_copy()
            )
        if upstream is None:
            return None
        self._queue.remove(claim.claim_id)
        return self._start(upstream, claim, now)

    def _is_overdue(self, waiting: WaitingClaim, now: float) -> bool:
        """Return whether a claim must give way to other waiting claims.

        More urgent claims arrived after it, so it would now miss its
        objective. Serving it anyway would make each claim behind it late as
        well, without reducing the number of refused claims.
        """
        if not waiting.is_timely or len(self._queue) < 2:
            return False
        needed_s = waiting.expected_s * HOLD_TIME_FACTOR
        return now + needed_s > waiting.claim.objective_at


def _can_start(
    waiting: WaitingClaim, upstream: UpstreamState, now: float
) -> bool:
    claim = waiting.claim
    if not upstream.accepts(claim):
        return False
    if claim.object_key and upstream.has_cached(claim.object_key):
        return True
    if upstream.pace.is_slow_moment(now):
        # Left to claims whose object is cached there until the next tick.
        return False
    if upstream.is_avoided() and not upstream.is_probe_due(now):
        return False
    if waiting.preferred is None:
        return True
    return now >= waiting.preferred_until and upstream.has_idle_slots()


def _deny_overloaded(claim: Claim, wait_s: float) -> Denial:
    """Deny a claim, with a retry delay of about the expected wait."""
    retry_s = bound_retry_delay(wait_s)
    return Denial(claim.claim_id, Reason.OVERLOADED, retry_s)
