"""Expected waits and finish times where slots are shared."""

from radishstile.slot.claim import Claim, Contention, DenialCause
from radishstile.slot.returns import RETRY_MAX_S
from radishstile.slot.selector import UpstreamSelector
from radishstile.slot.service import ServiceState
from radishstile.slot.share_order import Place, ShareOrder
from radishstile.slot.share_queue import WorkspaceFlow
from radishstile.slot.upstream import MIN_REMAINING_S, UpstreamState
from radishstile.slot.wait import estimate_start


class Prospect:
    """What a claim may expect at its place in the queue.

    `preferred` is the upstream that it waits for, or None if it may run
    anywhere; `remaining_s` are the times until the slots that it may use are
    free, and `urgent_s` and `ahead_s` the work ahead of it on these: of more
    urgent priorities, and of all.
    """

    __slots__ = (
        "preferred",
        "expected_s",
        "remaining_s",
        "urgent_s",
        "ahead_s",
        "wait_s",
        "place",
    )

    def __init__(
        self,
        preferred: UpstreamState | None,
        expected_s: float,
        remaining_s: list[float],
        urgent_s: float,
        ahead_s: float,
        place: Place,
    ):
        self.preferred = preferred
        self.expected_s = expected_s
        self.remaining_s = remaining_s
        self.urgent_s = urgent_s
        self.ahead_s = ahead_s
        self.place = place
        self.wait_s = min(RETRY_MAX_S, estimate_start(remaining_s, ahead_s))

    def meets_objective(self, claim: Claim, now: float) -> bool:
        """Return whether the claim would finish within its objective."""
        return now + self.wait_s + self.expected_s <= claim.objective_at


class WaitEstimator:
    """Estimates waits at a claim's place in the order of one service."""

    __slots__ = ("_state", "_order")

    def __init__(self, state: ServiceState, order: ShareOrder):
        self._state = state
        self._order = order

    def estimate(
        self, selector: UpstreamSelector, flow: WorkspaceFlow, now: float
    ) -> Prospect:
        """Return the better of waiting for a cached object and a cold run.

        A cold run takes three times the slot time. It is chosen only if it is
        in time, the other is not, and less urgent claims wait, which give way.
        """
        claim = selector.claim
        estimate = self._state.estimates[claim.route]
        cold_s = estimate.get_expected_s(False)
        if not selector.has_warm:
            return self._estimate_anywhere(claim, flow, cold_s, now)
        place = self._order.find_place(flow, self._order.on_time, False)
        warm_s = estimate.get_expected_s(True)
        prospects = [
            self._estimate_at(upstream, warm_s, place, now)
            for upstream in selector.warm
        ]
        warm = min(prospects, key=lambda prospect: prospect.wait_s)
        if warm.meets_objective(claim, now):
            return warm
        may_run_cold = self._order.has_less_urgent(claim.priority)
        if now + cold_s > claim.objective_at or not may_run_cold:
            return warm
        cold = self._estimate_anywhere(claim, flow, cold_s, now)
        return cold if cold.meets_objective(claim, now) else warm

    def measure_late(self, prospect: Prospect) -> float:
        """Return the further wait of a claim that comes after on-time ones."""
        behind_s = -prospect.ahead_s
        for lanes in (self._order.on_time, self._order.late):
            loads = lanes.totals
            if prospect.preferred is not None:
                upstream_id = prospect.preferred.upstream_id
                loads = lanes.loads_at.get(upstream_id, {})
            behind_s += sum(load.work_s for load in loads.values())
        return max(0.0, behind_s) / max(1, len(prospect.remaining_s))

    def explain(
        self,
        claim: Claim,
        flow: WorkspaceFlow,
        prospect: Prospect,
    ) -> DenialCause:
        """Return why a claim gets no slot."""
        objective_s = claim.objective_at - claim.arrived_at
        left_s = objective_s - prospect.expected_s
        contention = Contention.SHARE
        if min(prospect.remaining_s, default=RETRY_MAX_S) > left_s:
            contention = Contention.CAPACITY
        elif estimate_start(prospect.remaining_s, prospect.urgent_s) > left_s:
            contention = Contention.PRIORITY
        return DenialCause(
            contention,
            round(prospect.place.position),
            prospect.ahead_s,
            prospect.wait_s,
            prospect.expected_s,
            self._order.measure_share(flow),
        )

    def _estimate_at(
        self,
        upstream: UpstreamState,
        expected_s: float,
        place: Place,
        now: float,
    ) -> Prospect:
        """Return the prospect of a run on one upstream."""
        lanes = self._order.on_time
        part = upstream.capacity / max(1, self._state.count_slots())
        urgent_s, ahead_s = place.sum_ahead(lanes, upstream.upstream_id)
        cold_urgent_s, cold_s = place.sum_cold(lanes)
        prospect = Prospect(
            upstream,
            expected_s,
            upstream.list_remaining(now),
            urgent_s + part * cold_urgent_s,
            ahead_s + part * cold_s,
            place,
        )
        if upstream.rate.is_limited:
            ahead = ahead_s / max(expected_s, MIN_REMAINING_S)
            limited_s = upstream.rate.estimate_wait(ahead, now)
            prospect.wait_s = max(prospect.wait_s, limited_s)
        return prospect

    def _estimate_anywhere(
        self,
        claim: Claim,
        flow: WorkspaceFlow,
        expected_s: float,
        now: float,
    ) -> Prospect:
        """Return the prospect of a run on any upstream."""
        place = self._order.find_place(flow, self._order.on_time, True)
        remaining_s: list[float] = []
        for upstream in self._state.ranking.upstreams:
            if not upstream.capacity or not upstream.accepts(claim):
                continue
            free_s = upstream.list_remaining(now)
            if upstream.rate.is_limited:
                free_s = _limit_slots(upstream, free_s, now)
            remaining_s += free_s
        return Prospect(
            None,
            expected_s,
            remaining_s,
            place.urgent_s,
            place.ahead_s,
            place,
        )


def _limit_slots(
    upstream: UpstreamState, free_s: list[float], now: float
) -> list[float]:
    """Return when the slots that a rate limit can keep busy may be used."""
    usable = max(1, round(len(free_s) * upstream.usable_share))
    return [
        max(slot_s, upstream.rate.estimate_wait(ahead, now))
        for ahead, slot_s in enumerate(sorted(free_s)[:usable])
    ]
