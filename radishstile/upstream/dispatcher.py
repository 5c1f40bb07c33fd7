"""Dispatches queued requests to the slots of one group in one zone."""

import asyncio
import logging
from collections.abc import Mapping
from functools import singledispatch

from radishstile.configuration.document import ConfiguredUpstream
from radishstile.errors import RefusalError
from radishstile.outcome import Outcome, Reason
from radishstile.upstream.health import HealthReport, LoadReport
from radishstile.upstream.pool import NO_HOLDS, SlotPool
from radishstile.upstream.settings import PROBE_INTERVAL_S
from radishstile.upstream.slot import (
    Completed,
    SlotLease,
    SlotResult,
    Unused,
)
from radishstile.workspace.queue import FairQueue, QueuedRequest, SlotCapacity

TIMER_SLACK_S = 0.001

_LOG = logging.getLogger("radishstile.dispatcher")


@singledispatch
def has_completed(result: SlotResult) -> bool:
    """Return whether the request completed, so that its time counts."""
    return False


@has_completed.register
def _(result: Completed) -> bool:
    return True


class DispatcherHints:
    """Load of a dispatcher, which its owner reports to entry hosts.

    `wait_s` is the expected wait of a workspace without queued requests, in
    seconds.
    """

    __slots__ = ("slots", "free", "queued", "wait_s")

    def __init__(self, slots: int, free: int, queued: int, wait_s: float):
        self.slots = slots
        self.free = free
        self.queued = queued
        self.wait_s = wait_s


class RunningRequest:
    """A request that occupies a slot since `started_at`."""

    __slots__ = ("request", "started_at")

    def __init__(self, request: QueuedRequest, started_at: float):
        self.request = request
        self.started_at = started_at


class Dispatcher:
    """Assigns slots of one resource `slots/GROUP/ZONE` to queued requests.

    `completed` counts answered requests. The task of `run` dispatches waiting
    requests when a slot becomes free by the passing of time; all other work
    is done in the tasks of the callers.
    """

    __slots__ = (
        "_name",
        "_pool",
        "_queue",
        "_waiting",
        "_running",
        "_limit",
        "_awaits_handover",
        "_is_closed",
        "_changed",
        "_became_empty",
        "completed",
    )

    def __init__(self, name: str, pool: SlotPool, queue: FairQueue):
        self._name = name
        self._pool = pool
        self._queue = queue
        self._waiting: dict[int, asyncio.Future] = {}
        self._running: dict[int, RunningRequest] = {}
        self._limit: int | None = None
        self._awaits_handover = False
        self._is_closed = False
        self._changed = asyncio.Event()
        self._became_empty = asyncio.Event()
        self.completed = 0

    async def run(self) -> None:
        """Dispatch waiting requests to slots that become free with time."""
        loop = asyncio.get_running_loop()
        while True:
            opening = self._pool.find_next_opening(loop.time())
            if not self._waiting:
                opening = None
            self._changed.clear()
            try:
                async with asyncio.timeout_at(opening):
                    await self._changed.wait()
            except TimeoutError:
                # A timer may fire early by the clock's resolution.
                if loop.time() < opening:
                    await asyncio.sleep(TIMER_SLACK_S)
                self._dispatch_waiting()

    async def acquire(
        self,
        workspace: str,
        weight: float,
        route: str,
        deadline: float,
        excluded: frozenset[str] = frozenset(),
    ) -> SlotLease:
        """Wait for a slot and return its lease, which must be released.

        Raises `RefusalError` with the outcome `NOT_RUN` and the reason
        `STOPPING`, `NO_UPSTREAM`, `OVERLOADED` (the expected wait is too
        long) or `DEADLINE`.
        """
        now = asyncio.get_running_loop().time()
        self._check_available(excluded)
        request = self._queue.admit(
            workspace,
            weight,
            route,
            deadline,
            excluded,
            self._measure_supply(),
            now,
        )
        future = asyncio.get_running_loop().create_future()
        self._waiting[request.number] = future
        self._dispatch_waiting()
        self._signal_change()
        try:
            async with asyncio.timeout_at(deadline):
                return await future
        except TimeoutError:
            self._return_lease(future)
            raise self._make_refusal(Reason.DEADLINE) from None
        except asyncio.CancelledError:
            self._return_lease(future)
            raise
        finally:
            self._queue.remove(request)
            self._waiting.pop(request.number, None)
            self._signal_change()

    def _check_available(self, excluded: frozenset[str]) -> None:
        if self._is_closed:
            raise self._make_refusal(Reason.STOPPING)
        if not self._pool.has_working(excluded):
            raise self._make_refusal(Reason.NO_UPSTREAM)

    def _make_refusal(self, reason: Reason) -> RefusalError:
        return RefusalError(reason, Outcome.NOT_RUN, PROBE_INTERVAL_S)

    def _return_lease(self, future: asyncio.Future) -> None:
        # The lease may have been granted just before the task was cancelled.
        if not future.done() or future.cancelled():
            return
        if future.exception() is None:
            self.release(future.result(), Unused())

    def _measure_supply(self) -> SlotCapacity:
        now = asyncio.get_running_loop().time()
        slots = self._pool.count_open(now)
        free = self._pool.count_free(now)
        if self._limit is not None:
            slots = min(slots, self._limit)
            occupied = self._pool.count_occupied(now)
            free = max(0, min(free, self._limit - occupied))
        opens_in_s = None if slots else self._measure_time_to_opening(now)
        return SlotCapacity(slots, free, opens_in_s)

    def _measure_time_to_opening(self, now: float) -> float | None:
        opening = self._pool.find_next_opening(now)
        if opening is None or self._awaits_handover:
            return None
        return opening - now

    def _dispatch_waiting(self) -> None:
        while self._waiting and self._dispatch_one():
            pass
        if self._waiting and not self._pool.has_working():
            _LOG.warning(
                "dispatcher: %s: no upstream is available", self._name
            )
            self._refuse_waiting(Reason.NO_UPSTREAM)

    def _dispatch_one(self) -> bool:
        now = asyncio.get_running_loop().time()
        for request in self._queue.list_startable(self._measure_supply(), now):
            if self._waiting[request.number].done():
                continue
            lease = self._pool.acquire(
                now, request.deadline, request.excluded, request.cost_s
            )
            if lease is None:
                continue
            self._queue.start(request)
            self._running[lease.number] = RunningRequest(request, now)
            self._waiting.pop(request.number).set_result(lease)
            return True
        return False

    def _refuse_waiting(self, reason: Reason) -> None:
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(self._make_refusal(reason))

    def release(self, lease: SlotLease, result: SlotResult) -> None:
        """Return a lease with its result; a repeated call has no effect."""
        running = self._running.pop(lease.number, None)
        if running is None:
            return
        now = asyncio.get_running_loop().time()
        self._pool.release(lease, result, now)
        service_s = now - running.started_at
        self._queue.finish(running.request, service_s, has_completed(result))
        self._signal_change()
        self._dispatch_waiting()

    def apply_upstreams(
        self,
        entries: list[ConfiguredUpstream],
        held_until: Mapping[tuple[str, int], float] = NO_HOLDS,
    ) -> None:
        """Apply a configuration; see `SlotPool.apply_upstreams`."""
        now = asyncio.get_running_loop().time()
        self._pool.apply_upstreams(entries, now, held_until)
        self._signal_change()
        self._dispatch_waiting()

    def apply_leaving(self, names: frozenset[str]) -> None:
        """Apply the platform's list of upstreams that are leaving."""
        self._pool.apply_leaving(names, asyncio.get_running_loop().time())
        self._signal_change()
        self._dispatch_waiting()

    def apply_limit(self, limit: int | None) -> None:
        """Limit the requests in flight to a share of the region's capacity.

        None removes the limit.
        """
        self._limit = limit
        self._signal_change()
        self._dispatch_waiting()

    def take_over(self, max_deadline_s: float) -> None:
        """Block all slots until the previous owner's requests have ended."""
        self._awaits_handover = False
        now = asyncio.get_running_loop().time()
        self._pool.take_over(now, max_deadline_s)
        self._signal_change()

    def take_over_after_close(self) -> None:
        """Block all slots until upstreams have stopped the owner's requests.

        The previous owner's process has ended, so its connections are closed,
        and upstreams stop the requests that came over them.
        """
        self._awaits_handover = False
        now = asyncio.get_running_loop().time()
        self._pool.take_over_after_close(now)
        self._signal_change()

    def await_handover(self, max_deadline_s: float) -> None:
        """Block all slots until the previous owner has been asked.

        Unlike after `take_over`, the remaining time doesn't count as an
        expected wait, so no request is refused because of it.
        """
        self.take_over(max_deadline_s)
        self._awaits_handover = True

    def record_clean_release(self) -> None:
        """Unblock the slots: the previous owner had nothing in flight."""
        self._awaits_handover = False
        self._pool.record_clean_release()
        self._signal_change()
        self._dispatch_waiting()

    def apply_handover(self, deadlines: dict[str, list[float]]) -> None:
        """Block only the slots that the previous owner has in use."""
        self._awaits_handover = False
        now = asyncio.get_running_loop().time()
        self._pool.apply_handover(deadlines, now)
        self._signal_change()
        self._dispatch_waiting()

    def hand_over(self) -> dict[str, list[float]]:
        """Stop dispatching; return the slots in use, for the next owner.

        Waiting requests are refused as not run, so that entry hosts retry
        them with the next owner.
        """
        self.close()
        self._refuse_waiting(Reason.STOPPING)
        now = asyncio.get_running_loop().time()
        return self._pool.list_deadlines(now)

    def record_report(
        self, name: str, report: HealthReport | LoadReport
    ) -> None:
        """Record what an upstream's health or load endpoint reported."""
        now = asyncio.get_running_loop().time()
        self._pool.record_report(name, report, now)
        self._signal_change()
        self._dispatch_waiting()

    def acquire_probe(self, deadline: float) -> SlotLease | None:
        """Return a lease to probe a down upstream, or None if none is due."""
        now = asyncio.get_running_loop().time()
        return self._pool.acquire_probe(now, deadline)

    def release_probe(
        self, lease: SlotLease, is_ok: bool, is_over: bool
    ) -> None:
        """Return the lease of a probe with its result."""
        now = asyncio.get_running_loop().time()
        self._pool.release_probe(lease, is_ok, is_over, now)
        self._signal_change()
        self._dispatch_waiting()

    def hints(self) -> DispatcherHints:
        """Return the current load, as reported to entry hosts."""
        supply = self._measure_supply()
        wait_s = self._queue.estimate_wait("", 1.0, supply)
        return DispatcherHints(
            supply.slots, supply.free, self._queue.queued, wait_s
        )

    def close(self) -> None:
        """Refuse new requests; waiting and running ones are still served."""
        self._is_closed = True
        self._signal_change()

    async def wait_drained(self) -> None:
        """Wait, after `close`, until no request waits, runs or may run.

        This includes requests of the previous owner, because the next owner
        assumes that no slot is occupied.
        """
        while self._waiting or self._running:
            self._became_empty.clear()
            await self._became_empty.wait()
        now = asyncio.get_running_loop().time()
        free_at = self._pool.find_last_expiry(now)
        if free_at is not None:
            await asyncio.sleep(free_at - now + TIMER_SLACK_S)

    def _signal_change(self) -> None:
        if self._waiting:
            self._changed.set()
            return
        if not self._running:
            self._became_empty.set()
