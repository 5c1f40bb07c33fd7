"""Decides on claims by priority and share, where slots are shared."""

from radishstile.outcome import Reason
from radishstile.slot.arrival_policy import Starter
from radishstile.slot.claim import (
    Claim,
    Decision,
    Denial,
    Grant,
)
from radishstile.slot.claim import Queued as QueuedClaim
from radishstile.slot.estimate import HoldTimeEstimate
from radishstile.slot.forecast import Forecast
from radishstile.slot.returns import RETRY_MAX_S, ReturnPlanner
from radishstile.slot.selector import UpstreamSelector
from radishstile.slot.service import ServiceState
from radishstile.slot.settings import SlotSettings
from radishstile.slot.share_order import ShareOrder
from radishstile.slot.share_queue import SharedClaim, WorkspaceFlow
from radishstile.slot.share_report import ShareReport
from radishstile.slot.share_wait import Prospect, WaitEstimator
from radishstile.slot.upstream import UpstreamState
from radishstile.slot.wait import HOLD_TIME_FACTOR

# Least time between two forecasts for each claim that waits, in seconds. A
# forecast takes up to 7 us for each, so it uses 7% of a core at most.
FORECAST_INTERVAL_S = 0.0001
# Multiple of a claim's time left beyond which a forecast start is late. With
# 1.0 claims are refused that would have been in time, as others ahead of them
# are refused or end early.
FORECAST_TOLERANCE = 1.2


class SharePolicy:
    """The queue of one service whose slots priorities and workspaces share."""

    __slots__ = (
        "_state",
        "_settings",
        "_start_run",
        "_order",
        "_waits",
        "_returns",
        "_report",
        "_forecast_at",
    )

    def __init__(
        self,
        state: ServiceState,
        settings: SlotSettings,
        start_run: Starter,
        returns: ReturnPlanner,
    ):
        self._state = state
        self._settings = settings
        self._start_run = start_run
        self._returns = returns
        self._order = ShareOrder()
        self._waits = WaitEstimator(state, self._order)
        self._report = ShareReport()
        # The loop's time from which the next forecast may be made.
        self._forecast_at = float("-inf")

    def __len__(self) -> int:
        return len(self._order.on_time) + len(self._order.late)

    def set_weights(self, weights: dict[str, float]) -> None:
        """Set the relative weights of the workspaces."""
        self._order.set_weights(weights)

    def report(self) -> ShareReport:
        """Return the counts, with what waits now."""
        report = self._report
        report.waiting_s.clear()
        for lanes in (self._order.on_time, self._order.late):
            for loads in (lanes.warm, lanes.cold):
                for flow, load in loads.items():
                    report.waiting_s[flow.workspace] += load.work_s
        return report

    def decide(
        self, claim: Claim, estimate: HoldTimeEstimate, now: float
    ) -> Decision:
        """Grant, queue or deny a new claim.

        A repeat of a refused claim may have a free slot, but doesn't wait.
        """
        selector = self._state.select(claim, now)
        expected_s = estimate.get_expected_s(selector.has_warm)
        self._state.record_claim(expected_s * selector.usual_pace)
        is_return = self._returns.redeem(claim, now)
        is_repeat = not is_return and self._returns.detect_repeat(claim, now)
        if not is_return and not is_repeat:
            self._returns.record_arrival(claim, expected_s, now)
        flow = self._order.find_flow(
            claim.priority, claim.workspace, is_return
        )
        upstream = selector.find_start(estimate)
        if upstream is not None:
            return self._start(upstream, claim, flow, now)
        if is_repeat:
            prospect = self._waits.estimate(selector, flow, now)
            return self._deny(claim, flow, prospect, now)
        return self._place(selector, flow, now)

    def deny_without_upstreams(self, claim: Claim, now: float) -> Denial:
        """Deny a claim of a service that has no upstreams."""
        self._returns.redeem(claim, now)
        retry_s = self._returns.plan(claim, RETRY_MAX_S, 0.0, now)
        return Denial(claim.claim_id, Reason.NO_UPSTREAM, retry_s)

    def cancel(self, claim_id: str) -> None:
        """Remove a claim if it is still waiting."""
        self._order.remove(claim_id)

    def fill(self, upstream: UpstreamState, now: float) -> list[Decision]:
        """Grant an upstream's free slots to the first claims that fit."""
        return self._fill(upstream, False, now)

    def check(self, now: float) -> list[Decision]:
        """Deny waiting claims that are too late and fill free slots."""
        self._order.resize(self._state.count_slots())
        if not len(self):
            return []
        decisions = self._deny_overdue(now)
        free = [
            upstream
            for upstream in self._state.ranking.upstreams
            if upstream.has_free_slot(now)
        ]
        free.sort(key=UpstreamState.is_avoided)
        for upstream in free:
            decisions += self._fill(upstream, True, now)
        if now >= self._forecast_at:
            self._forecast_at = now + len(self) * FORECAST_INTERVAL_S
            decisions += self._check_forecast(now)
        return decisions

    def _start(
        self,
        upstream: UpstreamState,
        claim: Claim,
        flow: WorkspaceFlow,
        now: float,
    ) -> Grant:
        grant = self._start_run(self._state, upstream, claim, now)
        self._returns.record_grant(claim.claim_id, now)
        self._order.charge(flow, grant.expected_s)
        self._report.record_grant(claim.workspace, grant.expected_s)
        return grant

    def _fill(
        self, upstream: UpstreamState, is_last_resort: bool, now: float
    ) -> list[Decision]:
        """Grant free slots; an avoided upstream gets probes of cold runs.

        At a check it may get any, since no other upstream has a free slot.
        """
        decisions: list[Decision] = []
        while upstream.has_free_slot(now):
            is_cold_allowed = (
                is_last_resort
                or not upstream.is_avoided()
                or upstream.is_probe_due(now)
            )
            waiting = self._find_next(upstream, is_cold_allowed)
            if waiting is None:
                break
            self._order.remove(waiting.claim.claim_id)
            decision = self._start_or_place(waiting, upstream, now)
            if type(decision) is not QueuedClaim:
                decisions.append(decision)
        return decisions

    def _find_next(
        self, upstream: UpstreamState, is_cold_allowed: bool
    ) -> SharedClaim | None:
        """Return the first claim that fits an upstream, late ones last."""
        on_time, late = self._order.on_time, self._order.late
        if upstream.is_untried:
            return on_time.find_all(upstream) or late.find_all(upstream)
        waiting = on_time.find(upstream, is_cold_allowed)
        if waiting is not None or not len(late):
            return waiting
        if upstream.has_idle_slots():
            return late.find_all(upstream)
        return late.find(upstream, is_cold_allowed)

    def _start_or_place(
        self, waiting: SharedClaim, upstream: UpstreamState, now: float
    ) -> Decision:
        """Start a waiting claim, or place it anew.

        Another run may have cached its object since it was placed.
        """
        claim = waiting.claim
        key = claim.object_key
        if waiting.has_warm or not key or upstream.has_cached(key):
            return self._start(upstream, claim, waiting.flow, now)
        selector = self._state.select(claim, now)
        if not selector.has_warm:
            return self._start(upstream, claim, waiting.flow, now)
        return self._place(selector, waiting.flow, now)

    def _place(
        self, selector: UpstreamSelector, flow: WorkspaceFlow, now: float
    ) -> Decision:
        """Queue a claim, start it on idle slots, or deny it."""
        claim = selector.claim
        prospect = self._waits.estimate(selector, flow, now)
        start_by = self._find_start_by(claim, prospect, selector.has_warm)
        is_timely = flow.is_first or now + prospect.wait_s <= start_by
        if not is_timely and selector.has_warm:
            idle = selector.find_idle()
            if idle is not None:
                return self._start(idle, claim, flow, now)
        if not is_timely:
            prospect.wait_s += self._waits.measure_late(prospect)
        latest_end_at = (
            now + prospect.wait_s + prospect.expected_s * HOLD_TIME_FACTOR
        )
        late_until = self._find_late_start(claim)
        if latest_end_at > claim.deadline_at or not (
            is_timely or now + prospect.wait_s <= late_until
        ):
            return self._deny(claim, flow, prospect, now)
        self._order.add(
            SharedClaim(
                claim,
                flow,
                prospect.preferred,
                prospect.expected_s,
                selector.has_warm,
                is_timely,
                start_by if is_timely else late_until,
            )
        )
        return QueuedClaim(claim.claim_id, prospect.wait_s)

    def _find_start_by(
        self, claim: Claim, prospect: Prospect, has_warm: bool
    ) -> float:
        """Return until when a claim has to start to keep its place.

        The first run for an object serves the later ones as well, which take
        a third of its time, so it keeps its place for as long as a late claim
        may wait, even if a cold run takes longer than the objective.
        """
        start_by = claim.objective_at - prospect.expected_s
        if has_warm:
            return start_by
        return max(start_by, self._find_late_start(claim))

    def _find_late_start(self, claim: Claim) -> float:
        """Return until when a claim that will be late may wait."""
        objective_s = claim.objective_at - claim.arrived_at
        return claim.arrived_at + self._settings.queue_objectives * objective_s

    def _deny(
        self,
        claim: Claim,
        flow: WorkspaceFlow,
        prospect: Prospect,
        now: float,
        reason: Reason = Reason.OVERLOADED,
    ) -> Denial:
        cause = self._waits.explain(claim, flow, prospect)
        self._report.refused[claim.priority, cause.contention] += 1
        self._record_capacity(claim.service, now)
        retry_s = self._returns.plan(
            claim, prospect.wait_s, prospect.expected_s, now
        )
        return Denial(claim.claim_id, reason, retry_s, cause)

    def _record_capacity(self, service: str, now: float) -> None:
        """Tell the planner of returns, from time to time, what is free."""
        if not self._returns.is_capacity_due(service, now):
            return
        slots = sum(
            upstream.capacity * upstream.usable_share
            for upstream in self._state.ranking.upstreams
        )
        queued_s = self._order.sum_work()
        self._returns.record_capacity(service, slots, queued_s, now)

    def _deny_overdue(self, now: float) -> list[Decision]:
        """Deny the claims that can't be served in time any more.

        A claim that misses its objective gives way to others that wait:
        serving it would make those late as well.
        """
        decisions: list[Decision] = []
        for lanes in (self._order.on_time, self._order.late):
            for waiting in lanes:
                reason = self._find_overdue(waiting, now)
                if reason is not None:
                    decisions.append(self._withdraw(waiting, reason, now))
        return decisions

    def _find_overdue(self, waiting: SharedClaim, now: float) -> Reason | None:
        claim = waiting.claim
        end_at = now + waiting.expected_s * HOLD_TIME_FACTOR
        if end_at > claim.deadline_at:
            return Reason.DEADLINE
        if waiting.flow.is_first or len(self) < 2:
            return None
        return Reason.OVERLOADED if now > waiting.start_by else None

    def _withdraw(
        self, waiting: SharedClaim, reason: Reason, now: float
    ) -> Denial:
        claim = waiting.claim
        self._order.remove(claim.claim_id)
        selector = self._state.select(claim, now)
        prospect = self._waits.estimate(selector, waiting.flow, now)
        return self._deny(claim, waiting.flow, prospect, now, reason)

    def _check_forecast(self, now: float) -> list[Decision]:
        """Place claims anew that lost their upstream, or are made late.

        Better placed claims have made them late since they were placed.
        """
        forecast = Forecast(self._state.ranking.upstreams, now)
        moved = [
            waiting
            for waiting in self._order.late
            if waiting.preferred is not None
            and not _find_upstream(waiting, forecast)
        ]
        for waiting in self._order.sort(list(self._order.on_time)):
            upstream_id = _find_upstream(waiting, forecast)
            left_s = (waiting.start_by - now) * FORECAST_TOLERANCE
            if upstream_id and (
                waiting.flow.is_first
                or forecast.get_start(upstream_id) <= left_s
            ):
                forecast.occupy(upstream_id, waiting.expected_s)
            else:
                moved.append(waiting)
        decisions = [self._place_anew(waiting, now) for waiting in moved]
        return [d for d in decisions if type(d) is not QueuedClaim]

    def _place_anew(self, waiting: SharedClaim, now: float) -> Decision:
        claim = waiting.claim
        self._order.remove(claim.claim_id)
        selector = self._state.select(claim, now)
        return self._place(selector, waiting.flow, now)


def _find_upstream(waiting: SharedClaim, forecast: Forecast) -> str:
    """Return the id of the upstream that a claim gets, or an empty one."""
    preferred = waiting.preferred
    if preferred is None:
        return forecast.find_first(waiting.claim)
    is_cached = preferred.has_cached(waiting.claim.object_key)
    if forecast.has(preferred) and is_cached:
        return preferred.upstream_id
    return ""
