"""Claims that wait where slots are shared, in the order of their shares.

Priorities share the slots of a service by start-time fair queueing with
weights that differ by a large factor, and so do the workspaces within a
priority, by their own weights. A slot goes to the first flow that has a claim
which fits its upstream.
"""

from collections.abc import Iterator

from radishstile.fair_queue import FairClock, FairFlow
from radishstile.slot.claim import Claim
from radishstile.slot.upstream import UpstreamState

# Slot-seconds that a priority gets for each one of the next less urgent
# priority while both wait. The less urgent one keeps a fifth: enough that each
# is served a quarter as often as all at 1.7 times the load.
PRIORITY_WEIGHT_RATIO = 4.0

# Position from which weights don't shrink any more, as they would vanish.
MAX_WEIGHTED_POSITION = 12

# Mean slot time of a priority's runs before the first, in seconds, and the
# weight of a new one.
INITIAL_MEAN_S = 0.1
MEAN_SMOOTHING = 0.1

# Lane of the claims that may run on any upstream; no object has this key.
ANYWHERE = ""


class PriorityFlow(FairFlow):
    """One priority of a service, shared fairly among its workspaces."""

    __slots__ = (
        "priority",
        "clock",
        "waiting",
        "last_start_tag",
        "mean_s",
        "allowance",
        "finish_tag",
        "allowance_tag",
    )

    def __init__(self, priority: int):
        super().__init__(1.0)
        self.priority = priority
        self.clock = FairClock()
        # Number of claims that wait and are expected to be on time.
        self.waiting = 0
        # Start tag of the run that started last.
        self.last_start_tag = 0.0
        # Mean slot time of its runs, in seconds.
        self.mean_s = INITIAL_MEAN_S
        # What a workspace may use ahead of others, in virtual time.
        self.allowance = 0.0
        # The virtual time at which its next run would be done, by which the
        # priorities are ordered: when one becomes active, a more urgent one
        # still has the next turn.
        self.finish_tag = 0.0
        # The tag up to which workspaces are served by arrival.
        self.allowance_tag = 0.0
        self.update_keys()

    def set_position(self, position: int) -> None:
        """Set its weight by its position among the priorities in use."""
        steps = min(position, MAX_WEIGHTED_POSITION)
        self.weight = PRIORITY_WEIGHT_RATIO**-steps
        self.update_keys()

    def update_keys(self) -> None:
        """Set what claims are ordered by, after a change of the tags."""
        self.finish_tag = self.start_tag + self.mean_s / self.weight
        self.allowance_tag = self.clock.virtual_time + self.allowance

    def record_run(self, work_s: float) -> None:
        """Charge a run that starts."""
        self.last_start_tag = max(self.last_start_tag, self.start_tag)
        self.mean_s += MEAN_SMOOTHING * (work_s - self.mean_s)
        self.correct(work_s)


class WorkspaceFlow(FairFlow):
    """The claims of one workspace in one priority."""

    __slots__ = ("workspace", "rank", "is_first")

    def __init__(
        self,
        workspace: str,
        rank: PriorityFlow,
        weight: float,
        is_first: bool,
    ):
        super().__init__(weight)
        self.workspace = workspace
        self.rank = rank
        # Whether its claims come first in their priority.
        self.is_first = is_first

    @property
    def order(self) -> tuple[float, int, bool, float]:
        """Return the key that orders the flows of a service."""
        rank = self.rank
        return (
            rank.finish_tag,
            rank.priority,
            not self.is_first,
            max(self.start_tag, rank.allowance_tag),
        )


class SharedClaim:
    """A claim in the queue.

    `preferred` is the upstream that has cached its object and is expected to
    be free first, or None if it may run anywhere. `has_warm` is whether any
    upstream had cached it when the claim was placed. `is_timely` is
    whether it is expected to start by `start_by`, the time until which it
    keeps its place in the order; later it comes after all others.
    """

    __slots__ = (
        "claim",
        "flow",
        "preferred",
        "expected_s",
        "has_warm",
        "is_timely",
        "start_by",
    )

    def __init__(
        self,
        claim: Claim,
        flow: WorkspaceFlow,
        preferred: UpstreamState | None,
        expected_s: float,
        has_warm: bool,
        is_timely: bool,
        start_by: float,
    ):
        self.claim = claim
        self.flow = flow
        self.preferred = preferred
        self.expected_s = expected_s
        self.has_warm = has_warm
        self.is_timely = is_timely
        self.start_by = start_by

    def is_before(self, other: "SharedClaim") -> bool:
        """Return whether it arrived before another claim."""
        return self.claim.arrived_at < other.claim.arrived_at

    @property
    def lane(self) -> str:
        """Return the key of the lane that it waits in."""
        return ANYWHERE if self.preferred is None else self.claim.object_key

    @property
    def upstream_id(self) -> str:
        """Return the id of the preferred upstream, or an empty one."""
        return "" if self.preferred is None else self.preferred.upstream_id


class Load:
    """A number of waiting claims and their expected slot-seconds."""

    __slots__ = ("count", "work_s")

    def __init__(self):
        self.count = 0
        self.work_s = 0.0

    def add(self, work_s: float) -> None:
        """Add a claim."""
        self.count += 1
        self.work_s += work_s

    def remove(self, work_s: float) -> bool:
        """Remove a claim, and return whether any is left."""
        self.count -= 1
        self.work_s -= work_s
        return self.count > 0


class Lanes:
    """Waiting claims by the object whose caches they wait for, and by flow.

    `warm` and `cold` are the loads of the flows: claims that wait for a cached
    object, and those that may run anywhere. `loads_at` are the loads that
    wait for each upstream, by its id, and `totals` those of the priorities,
    of which `cold_totals` may run anywhere.
    """

    __slots__ = (
        "warm",
        "cold",
        "loads_at",
        "totals",
        "cold_totals",
        "_lanes",
        "_by_id",
    )

    def __init__(self):
        self.warm: dict[WorkspaceFlow, Load] = {}
        self.cold: dict[WorkspaceFlow, Load] = {}
        self.loads_at: dict[str, dict[WorkspaceFlow, Load]] = {}
        self.totals: dict[PriorityFlow, Load] = {}
        self.cold_totals: dict[PriorityFlow, Load] = {}
        self._lanes: dict[str, dict[WorkspaceFlow, dict]] = {}
        self._by_id: dict[str, SharedClaim] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[SharedClaim]:
        return iter(list(self._by_id.values()))

    def add(self, waiting: SharedClaim) -> None:
        """Add a claim behind the others of its flow."""
        flow = waiting.flow
        claim_id = waiting.claim.claim_id
        lane = self._lanes.setdefault(waiting.lane, {})
        lane.setdefault(flow, {})[claim_id] = waiting
        self._by_id[claim_id] = waiting
        for loads in self._list_loads(waiting):
            load = loads.get(flow)
            if load is None:
                load = loads[flow] = Load()
            load.add(waiting.expected_s)
        for totals in self._list_totals(waiting):
            total = totals.setdefault(flow.rank, Load())
            total.add(waiting.expected_s)

    def has_flow(self, flow: WorkspaceFlow) -> bool:
        """Return whether claims of a flow wait."""
        return flow in self.warm or flow in self.cold

    def _list_totals(self, waiting: SharedClaim) -> list[dict]:
        """Return the loads by priority in which a claim counts."""
        if waiting.preferred is None:
            return [self.totals, self.cold_totals]
        return [self.totals]

    def _list_loads(self, waiting: SharedClaim) -> list[dict]:
        """Return the loads by flow in which a claim counts."""
        upstream_id = waiting.upstream_id
        if not upstream_id:
            return [self.cold]
        return [self.warm, self.loads_at.setdefault(upstream_id, {})]

    def remove(self, claim_id: str) -> SharedClaim | None:
        """Remove and return a claim, or return None if it isn't queued."""
        waiting = self._by_id.pop(claim_id, None)
        if waiting is None:
            return None
        flow = waiting.flow
        lane = self._lanes[waiting.lane]
        del lane[flow][claim_id]
        if not lane[flow]:
            del lane[flow]
        if not lane:
            del self._lanes[waiting.lane]
        for loads in self._list_loads(waiting):
            if not loads[flow].remove(waiting.expected_s):
                del loads[flow]
        if not self.loads_at.get(waiting.upstream_id, True):
            del self.loads_at[waiting.upstream_id]
        for totals in self._list_totals(waiting):
            if not totals[flow.rank].remove(waiting.expected_s):
                del totals[flow.rank]
        return waiting

    def find(
        self, upstream: UpstreamState, is_cold_allowed: bool
    ) -> SharedClaim | None:
        """Return the first claim that fits an upstream.

        Its object is cached there or, if `is_cold_allowed`, it may run
        anywhere. A cold run takes the time of three warm ones, so within a
        priority it gets a slot only if no claim waits for what is cached
        there.
        """
        lanes = self._lanes
        if not lanes:
            return None
        keys = [key for key in upstream.list_warm() if key in lanes]
        warm = self._find(keys, upstream) if keys else None
        if not is_cold_allowed or ANYWHERE not in lanes:
            return warm
        cold = self._find([ANYWHERE], upstream)
        if warm is None or cold is None:
            return warm or cold
        is_first = cold.flow.order[:2] < warm.flow.order[:2]
        return cold if is_first else warm

    def find_all(self, upstream: UpstreamState) -> SharedClaim | None:
        """Return the first claim, wherever its object is cached."""
        return self._find(list(self._lanes), upstream)

    def _find(
        self, keys: list[str], upstream: UpstreamState
    ) -> SharedClaim | None:
        best = None
        best_order = ()
        for key in keys:
            for flow, claims in self._lanes.get(key, {}).items():
                order = flow.order
                if best is not None and order > best_order:
                    continue
                waiting = _find_accepted(claims, upstream)
                if waiting is None:
                    continue
                if order == best_order and not waiting.is_before(best):
                    continue
                best, best_order = waiting, order
        return best


def _find_accepted(
    claims: dict[str, SharedClaim], upstream: UpstreamState
) -> SharedClaim | None:
    """Return the first claim that allows an upstream."""
    for waiting in claims.values():
        if upstream.accepts(waiting.claim):
            return waiting
    return None
