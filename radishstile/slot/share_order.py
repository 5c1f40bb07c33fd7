"""The order of waiting claims by shares: who is ahead of whom."""

from collections.abc import Iterator

from radishstile.slot.share_queue import (
    Lanes,
    Load,
    PriorityFlow,
    SharedClaim,
    WorkspaceFlow,
)

# Weight of a workspace without a contracted rate, and the mean of the others.
DEFAULT_WEIGHT = 1.0
# Time for which the minimum of less urgent priorities is measured, in seconds
# of all slots: what they got beyond it while a more urgent one was idle counts
# for that long. The priority that waits is without a slot for no longer.
LEAD_S = 1.0
# Time whose share a workspace may use at once, in seconds: up to that, claims
# are served by arrival. Without it, the order of shares at a single busy
# upstream made 2% of the feeds late at the load of the slots.
ALLOWANCE_S = 1.0
# Flows without waiting claims that are kept for their tags. Beyond that, those
# whose tags the virtual time has passed are dropped.
MAX_IDLE_FLOWS = 1024


class Place:
    """A claim's place in the order of a service.

    `ahead_s` are the expected slot-seconds ahead of it, of which `urgent_s`
    belong to more urgent priorities, and `position` the number of claims.
    """

    __slots__ = (
        "ahead_s",
        "urgent_s",
        "position",
        "_flow",
        "_tag",
        "_shares",
    )

    def __init__(self, flow: WorkspaceFlow, tag: float):
        self.ahead_s = 0.0
        self.urgent_s = 0.0
        self.position = 0.0
        self._flow = flow
        self._tag = tag
        # The parts of the other priorities' claims that are ahead.
        self._shares: dict[PriorityFlow, float] = {}

    def add(self, loads: dict[WorkspaceFlow, Load]) -> None:
        """Count the claims of the same priority that are ahead by share."""
        rank = self._flow.rank
        tag = self._tag
        ahead_s = 0.0
        position = 0.0
        for flow, load in loads.items():
            if flow.rank is not rank:
                continue
            gap_s = (tag - flow.start_tag) * flow.weight
            if gap_s >= load.work_s or flow is self._flow or flow.is_first:
                ahead_s += load.work_s
                position += load.count
            elif gap_s > 0:
                ahead_s += gap_s
                position += load.count * gap_s / load.work_s
        self.ahead_s += ahead_s
        self.position += position

    def add_all(self, loads: dict[WorkspaceFlow, Load]) -> None:
        """Count all claims of the same priority as ahead."""
        rank = self._flow.rank
        for flow, load in loads.items():
            if flow.rank is rank:
                self.ahead_s += load.work_s
                self.position += load.count

    def add_ranks(self, totals: dict[PriorityFlow, Load]) -> None:
        """Count the claims of other priorities that are ahead by share."""
        rank = self._flow.rank
        turn = rank.finish_tag + self.ahead_s / rank.weight
        for other, total in totals.items():
            if other is rank:
                continue
            gap_s = (turn - other.finish_tag) * other.weight
            part = _clip(gap_s, total.work_s)
            self._shares[other] = part
            self.ahead_s += total.work_s * part
            self.position += total.count * part
            if other.priority < rank.priority:
                self.urgent_s += total.work_s * part

    def sum_ahead(self, lanes: Lanes, upstream_id: str) -> tuple[float, float]:
        """Return the slot-seconds ahead of it that wait for an upstream.

        The first number is of the more urgent priorities, the second of all.
        """
        urgent_s = 0.0
        ahead_s = 0.0
        rank = self._flow.rank
        for flow, load in lanes.loads_at.get(upstream_id, {}).items():
            if flow.rank is rank:
                part = self._measure_part(flow, lanes.warm[flow])
                ahead_s += load.work_s * part
                continue
            work_s = load.work_s * self._shares[flow.rank]
            ahead_s += work_s
            if flow.rank.priority < rank.priority:
                urgent_s += work_s
        return urgent_s, ahead_s

    def sum_cold(self, lanes: Lanes) -> tuple[float, float]:
        """Return the same of claims of other priorities that run anywhere."""
        urgent_s = 0.0
        ahead_s = 0.0
        rank = self._flow.rank
        for other, total in lanes.cold_totals.items():
            if other is not rank:
                work_s = total.work_s * self._shares[other]
                ahead_s += work_s
                if other.priority < rank.priority:
                    urgent_s += work_s
        return urgent_s, ahead_s

    def _measure_part(self, flow: WorkspaceFlow, load: Load) -> float:
        """Return the part of a flow's waiting claims that is ahead."""
        if flow is self._flow or flow.is_first:
            return 1.0
        gap_s = (self._tag - flow.start_tag) * flow.weight
        return _clip(gap_s, load.work_s)


class ShareOrder:
    """The waiting claims of one service, their flows and their order.

    Claims that are not expected to meet their objective come after all others.
    """

    __slots__ = ("weights", "on_time", "late", "_slots", "_ranks", "_flows")

    def __init__(self):
        # Claims that are expected to meet their objective, and the others.
        self.on_time = Lanes()
        self.late = Lanes()
        # Relative weights of the workspaces with a contracted rate.
        self.weights: dict[str, float] = {}
        self._slots = 0
        self._ranks: dict[int, PriorityFlow] = {}
        self._flows: dict[tuple[int, str, bool], WorkspaceFlow] = {}

    def set_weights(self, weights: dict[str, float]) -> None:
        """Replace the workspaces' weights."""
        self.weights = weights
        for flow in self._flows.values():
            flow.weight = weights.get(flow.workspace, DEFAULT_WEIGHT)

    def resize(self, slots: int) -> None:
        """Set the number of the slots that the claims wait for."""
        self._slots = slots
        weights = dict.fromkeys(self._ranks.values(), 0.0)
        for flow in self._flows.values():
            weights[flow.rank] += flow.weight
        for rank, weight in weights.items():
            rank.allowance = ALLOWANCE_S * slots / max(1.0, weight)
            rank.update_keys()

    def find_flow(
        self, priority: int, workspace: str, is_first: bool = False
    ) -> WorkspaceFlow:
        """Return the flow of a workspace's claims, up to date if it is idle.

        Claims that are `is_first` come first in their priority.
        """
        key = (priority, workspace, is_first)
        flow = self._flows.get(key)
        if flow is None:
            self._drop_idle()
            rank = self._ranks.get(priority) or self._add_rank(priority)
            weight = self.weights.get(workspace, DEFAULT_WEIGHT)
            flow = WorkspaceFlow(workspace, rank, weight, is_first)
            self._flows[key] = flow
        if not flow.rank.waiting:
            self._activate_rank(flow.rank)
        if not self.on_time.has_flow(flow):
            flow.rank.clock.activate(flow)
        return flow

    def _add_rank(self, priority: int) -> PriorityFlow:
        """Add a priority; the weights follow from the order of all."""
        rank = self._ranks[priority] = PriorityFlow(priority)
        for position, each in enumerate(sorted(self._ranks)):
            self._ranks[each].set_position(position)
        return rank

    def _activate_rank(self, rank: PriorityFlow) -> None:
        """Count a priority that had no waiting claims as active.

        Idle time is no credit, but what less urgent ones got meanwhile counts
        for their minimum: without that, each short burst of a more urgent
        priority would start by serving them as often as itself.
        """
        lead = LEAD_S * self._slots / rank.weight
        for other in self._ranks.values():
            tag = other.last_start_tag
            if other.priority > rank.priority:
                tag -= lead
            rank.start_tag = max(rank.start_tag, tag)
        rank.update_keys()

    def add(self, waiting: SharedClaim) -> None:
        """Add a claim behind the others of its flow."""
        if waiting.is_timely:
            waiting.flow.rank.waiting += 1
            self.on_time.add(waiting)
        else:
            self.late.add(waiting)

    def remove(self, claim_id: str) -> SharedClaim | None:
        """Remove and return a claim, or return None if it isn't queued."""
        waiting = self.on_time.remove(claim_id)
        if waiting is None:
            return self.late.remove(claim_id)
        waiting.flow.rank.waiting -= 1
        return waiting

    def sum_work(self) -> float:
        """Return the expected slot-seconds of all waiting claims."""
        return sum(
            total.work_s
            for lanes in (self.on_time, self.late)
            for total in lanes.totals.values()
        )

    def charge(self, flow: WorkspaceFlow, work_s: float) -> None:
        """Charge a started run to its workspace and its priority."""
        if flow.is_first:
            flow = self.find_flow(flow.rank.priority, flow.workspace)
        rank = flow.rank
        rank.record_run(work_s)
        waiting = self._iterate_waiting(rank)
        rank.clock.charge(flow, work_s, waiting)
        rank.update_keys()

    def has_less_urgent(self, priority: int) -> bool:
        """Return whether claims of a less urgent priority wait."""
        return any(
            rank.waiting and rank.priority > priority
            for rank in self._ranks.values()
        )

    def _iterate_waiting(self, rank: PriorityFlow) -> Iterator[WorkspaceFlow]:
        """Iterate over the flows of a priority with waiting claims.

        Those that come first are left out: their runs are charged to another
        flow of the workspace, so their tags would hold the virtual time back.
        """
        for loads in (self.on_time.warm, self.on_time.cold):
            for flow in loads:
                if flow.rank is rank and not flow.is_first:
                    yield flow

    def find_place(
        self, flow: WorkspaceFlow, lanes: Lanes, is_cold: bool
    ) -> Place:
        """Return the place of a new claim behind the others of its flow."""
        tag = flow.start_tag
        for loads in (lanes.warm, lanes.cold) if is_cold else (lanes.warm,):
            if flow in loads:
                tag += loads[flow].work_s / flow.weight
        place = Place(flow, max(tag, flow.rank.allowance_tag))
        if is_cold:
            place.add_all(lanes.warm)
            place.add(lanes.cold)
        else:
            place.add(lanes.warm)
        place.add_ranks(lanes.totals)
        return place

    def sort(self, waiting: list[SharedClaim]) -> list[SharedClaim]:
        """Return claims in the order in which they are served."""
        queued: dict[WorkspaceFlow, float] = {}
        tagged: dict[PriorityFlow, list] = {}
        for number, each in enumerate(waiting):
            flow = each.flow
            work_s = queued.get(flow, 0.0)
            queued[flow] = work_s + each.expected_s
            tag = flow.start_tag + work_s / flow.weight
            tag = max(tag, flow.rank.allowance_tag)
            if flow.is_first:
                tag = float("-inf")
            is_cold = each.preferred is None
            tagged.setdefault(flow.rank, []).append(
                (is_cold, tag, number, each)
            )
        ordered = []
        for rank, claims in tagged.items():
            claims.sort()
            tag = rank.finish_tag
            for _, _, number, each in claims:
                ordered.append((tag, rank.priority, number, each))
                tag += each.expected_s / rank.weight
        ordered.sort()
        return [each for *_, each in ordered]

    def measure_share(self, flow: WorkspaceFlow) -> float:
        """Return a workspace's share among those that wait beside it."""
        lanes = self.on_time
        weights = flow.weight
        for other in lanes.warm:
            if other.rank is flow.rank and other is not flow:
                weights += other.weight
        for other in lanes.cold:
            if other.rank is flow.rank and other not in lanes.warm:
                weights += other.weight if other is not flow else 0.0
        return flow.weight / weights

    def _drop_idle(self) -> None:
        if len(self._flows) < MAX_IDLE_FLOWS:
            return
        self._flows = {
            key: flow
            for key, flow in self._flows.items()
            if self.on_time.has_flow(flow)
            or self.late.has_flow(flow)
            or flow.start_tag > flow.rank.clock.virtual_time
        }


def _clip(gap_s: float, work_s: float) -> float:
    """Return which part of some work lies within a gap, from 0 to 1."""
    if gap_s <= 0:
        return 0.0
    return 1.0 if gap_s >= work_s else gap_s / work_s
