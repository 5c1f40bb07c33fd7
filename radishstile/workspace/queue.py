"""Fair queues that share an upstream group's slots among workspaces."""

import math
from collections import OrderedDict

from radishstile.errors import RefusalError
from radishstile.fair_queue import FairClock, FairFlow
from radishstile.outcome import Outcome, Reason
from radishstile.upstream.settings import QueueSettings

# Weight of the newest sample in moving averages of service times.
COST_SMOOTHING = 0.2
LOAD_WINDOW_S = 10.0
# Average number of occupied slots up to which a workspace counts as idle.
IDLE_LOAD = 0.002
MIN_RETRY_AFTER_S = 0.1
# Multiple of a workspace's mean cost from which another's request is long.
LONG_COST_RATIO = 4.0


class SlotCapacity:
    """The slots that a queue may use now.

    `slots` counts all usable slots, occupied ones included, `free` those
    that are not occupied. `opens_in_s` is the time until a slot becomes
    usable without a request ending, or None.
    """

    __slots__ = ("slots", "free", "opens_in_s")

    def __init__(self, slots: int, free: int, opens_in_s: float | None):
        self.slots = slots
        self.free = free
        self.opens_in_s = opens_in_s


class QueuedRequest:
    """A request that waits for a slot or runs on one.

    `deadline` is in seconds of the loop's clock, `cost_s` the expected
    service time, and `excluded` names upstreams not to use.
    """

    __slots__ = (
        "number",
        "workspace",
        "route",
        "deadline",
        "excluded",
        "cost_s",
    )

    def __init__(
        self,
        number: int,
        workspace: str,
        route: str,
        deadline: float,
        excluded: frozenset[str],
        cost_s: float,
    ):
        self.number = number
        self.workspace = workspace
        self.route = route
        self.deadline = deadline
        self.excluded = excluded
        self.cost_s = cost_s


class RouteQueue(FairFlow):
    """FIFO queue of one workspace's requests for one route."""

    __slots__ = ("waiting",)

    def __init__(self):
        super().__init__()
        self.waiting: OrderedDict[int, QueuedRequest] = OrderedDict()

    @property
    def head(self) -> QueuedRequest:
        """Return the request that has waited longest."""
        return next(iter(self.waiting.values()))


class WorkspaceQueue(FairFlow):
    """Requests of one workspace, shared fairly among its routes.

    `running` counts its occupied slots.
    """

    __slots__ = (
        "running",
        "routes",
        "queued",
        "queued_cost_s",
        "mean_cost_s",
        "_clock",
        "_load",
        "_load_at",
    )

    def __init__(self):
        super().__init__()
        self.running = 0
        self.routes: dict[str, RouteQueue] = {}
        self.queued = 0
        self.queued_cost_s = 0.0
        self.mean_cost_s = 0.0
        self._clock = FairClock()
        self._load = 0.0
        self._load_at = 0.0

    def append(self, request: QueuedRequest, now: float) -> None:
        """Append a request to its route's queue."""
        queue = self.routes.setdefault(request.route, RouteQueue())
        if not queue.waiting:
            self._clock.activate(queue)
        queue.waiting[request.number] = request
        self.queued += 1
        self.queued_cost_s += request.cost_s
        if not self.mean_cost_s:
            self.mean_cost_s = request.cost_s
        self.mean_cost_s += COST_SMOOTHING * (
            request.cost_s - self.mean_cost_s
        )
        self._load = self.measure_load(now) + request.cost_s / LOAD_WINDOW_S
        self._load_at = now

    def remove(self, request: QueuedRequest) -> bool:
        """Remove a waiting request; return False if it was not waiting."""
        queue = self.routes.get(request.route)
        if queue is None or request.number not in queue.waiting:
            return False
        del queue.waiting[request.number]
        self.queued -= 1
        self.queued_cost_s -= request.cost_s
        return True

    def start(self, request: QueuedRequest) -> None:
        """Count a waiting request as running."""
        self.remove(request)
        self._clock.charge(self.routes[request.route], request.cost_s)
        self.running += 1

    def list_heads(self) -> list[QueuedRequest]:
        """Return the first request of each route, in the order to serve."""
        queues = [queue for queue in self.routes.values() if queue.waiting]
        queues.sort(key=lambda queue: (queue.start_tag, queue.head.number))
        return [queue.head for queue in queues]

    def measure_load(self, now: float) -> float:
        """Return the average number of slots its recent requests needed."""
        return self._load * math.exp((self._load_at - now) / LOAD_WINDOW_S)

    def is_active(self, now: float) -> bool:
        """Return whether the workspace has or recently had requests."""
        if self.queued or self.running:
            return True
        return self.measure_load(now) > IDLE_LOAD


class FairQueue:
    """Decides which waiting request gets the next slot.

    Uses weighted start-time fair queueing among workspaces; the cost of a
    request is the expected service time of its route. Workspaces that
    occupy less than their fair share of slots go first. The others leave
    some slots free of long requests if recently active workspaces have
    short ones: a running request can't be preempted, so a long one would
    block a slot that many short ones need.
    """

    __slots__ = (
        "_settings",
        "_queues",
        "_costs_s",
        "_clock",
        "_number",
        "_running_cost_s",
    )

    def __init__(self, settings: QueueSettings):
        self._settings = settings
        self._queues: dict[str, WorkspaceQueue] = {}
        self._costs_s: dict[str, float] = {}
        self._clock = FairClock()
        self._number = 0
        self._running_cost_s = 0.0

    @property
    def queued(self) -> int:
        """Return the number of waiting requests."""
        return sum(queue.queued for queue in self._queues.values())

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        return sum(queue.running for queue in self._queues.values())

    def expected_cost(self, route: str) -> float:
        """Return the expected service time of a route, in seconds."""
        return self._costs_s.get(route, self._settings.default_cost_s)

    def admit(
        self,
        workspace: str,
        weight: float,
        route: str,
        deadline: float,
        excluded: frozenset[str],
        capacity: SlotCapacity,
        now: float,
    ) -> QueuedRequest:
        """Append a request if it can be served before its deadline.

        Otherwise raises `RefusalError` with outcome `NOT_RUN` and, unless
        the deadline has passed, the time after which a retry may succeed.
        """
        cost_s = self.expected_cost(route)
        self._check_admission(
            workspace, weight, deadline, capacity, cost_s, now
        )
        queue = self._find_queue(workspace, now)
        queue.weight = weight
        if not queue.queued:
            self._clock.activate(queue)
        self._number += 1
        request = QueuedRequest(
            self._number, workspace, route, deadline, excluded, cost_s
        )
        queue.append(request, now)
        return request

    def _check_admission(
        self,
        workspace: str,
        weight: float,
        deadline: float,
        capacity: SlotCapacity,
        cost_s: float,
        now: float,
    ) -> None:
        if deadline <= now:
            raise RefusalError(Reason.DEADLINE, Outcome.NOT_RUN)
        wait_s = self.estimate_wait(workspace, weight, capacity)
        queue = self._queues.get(workspace)
        limit = self._settings.workspace_limit
        is_full = queue is not None and queue.queued >= limit
        if is_full or (wait_s > 0 and now + wait_s + cost_s > deadline):
            retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)
            raise RefusalError(
                Reason.OVERLOADED, Outcome.NOT_RUN, retry_after_s
            )

    def _find_queue(self, workspace: str, now: float) -> WorkspaceQueue:
        queue = self._queues.get(workspace)
        if queue is not None:
            return queue
        for name, other_queue in list(self._queues.items()):
            if not other_queue.is_active(now):
                del self._queues[name]
        queue = WorkspaceQueue()
        self._queues[workspace] = queue
        return queue

    def estimate_wait(
        self, workspace: str, weight: float, capacity: SlotCapacity
    ) -> float:
        """Return the expected wait of a new request, in seconds."""
        queue = self._queues.get(workspace)
        has_queued = queue is not None and queue.queued > 0
        if capacity.free > 0 and not has_queued:
            return 0.0
        if capacity.slots == 0:
            return capacity.opens_in_s or 0.0
        others = sum(
            other_queue.weight
            for name, other_queue in self._queues.items()
            if other_queue.queued and name != workspace
        )
        share = capacity.slots * weight / (weight + others)
        residual_s = self._running_cost_s / max(1, self.running)
        own_cost_s = queue.queued_cost_s if has_queued else 0.0
        return own_cost_s / share + residual_s / capacity.slots

    def list_startable(
        self, capacity: SlotCapacity, now: float
    ) -> list[QueuedRequest]:
        """Return the requests that may start now, in the order to try them.

        Lists at most one request for each workspace and route.
        """
        if capacity.free <= 0:
            return []
        active = {
            name: queue
            for name, queue in self._queues.items()
            if queue.is_active(now)
        }
        weights = sum(queue.weight for queue in active.values())
        ranked = []
        for name, queue in active.items():
            if not queue.queued:
                continue
            share = capacity.slots * queue.weight / weights
            is_over = queue.running >= share
            ranked.append((is_over, queue.start_tag, name))
        ranked.sort()
        return [
            request
            for is_over, _, name in ranked
            for request in active[name].list_heads()
            if not is_over
            or capacity.free
            > self._count_reserved(request, active, capacity, now)
        ]

    def _count_reserved(
        self,
        request: QueuedRequest,
        active: dict[str, WorkspaceQueue],
        capacity: SlotCapacity,
        now: float,
    ) -> int:
        weights = sum(queue.weight for queue in active.values())
        reserved = 0
        for name, queue in active.items():
            is_same_workspace = name == request.workspace
            if (
                is_same_workspace
                or request.cost_s < LONG_COST_RATIO * queue.mean_cost_s
            ):
                continue
            load = queue.measure_load(now)
            share = capacity.slots * queue.weight / weights
            needed = min(share, math.ceil(load + math.sqrt(load)))
            reserved += max(0, math.ceil(needed) - queue.running)
        limit = math.ceil(capacity.slots * self._settings.reserved_share)
        return min(reserved, limit)

    def start(self, request: QueuedRequest) -> None:
        """Count a request as running once it has got a slot."""
        queue = self._queues[request.workspace]
        self._clock.charge(queue, request.cost_s)
        queue.start(request)
        self._running_cost_s += request.cost_s

    def finish(
        self, request: QueuedRequest, service_s: float, is_measured: bool
    ) -> None:
        """Record the end of a running request after `service_s` seconds.

        `is_measured` is True if it ran to completion, so that its service
        time updates the expected cost of its route.
        """
        queue = self._queues[request.workspace]
        queue.running -= 1
        queue.correct(service_s - request.cost_s)
        self._running_cost_s -= request.cost_s
        if not is_measured:
            return
        average_s = self._costs_s.get(request.route, service_s)
        change_s = COST_SMOOTHING * (service_s - average_s)
        self._costs_s[request.route] = average_s + change_s

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request that no longer waits."""
        queue = self._queues.get(request.workspace)
        if queue is not None:
            queue.remove(request)
