"""Slots, queue and service time of a stand-in upstream."""

import asyncio

from standin.history import History
from standin.settings import UpstreamSettings


class SlotPool:
    """A fixed number of slots with a bounded queue."""

    __slots__ = (
        "_settings",
        "_semaphore",
        "_waiting",
        "_acquired_count",
        "_started_at",
        "_busy_history",
    )

    def __init__(self, settings: UpstreamSettings, now: float):
        self._settings = settings
        self._semaphore = asyncio.Semaphore(settings.slots)
        self._waiting = 0
        self._acquired_count = 0
        self._started_at = now
        self._busy_history = History(now, 0)

    @property
    def has_capacity(self) -> bool:
        """Return whether a slot or a place in the queue is free."""
        if not self._semaphore.locked():
            return True
        return self._waiting < self._settings.max_queue

    async def acquire(self) -> None:
        """Wait for a free slot and occupy it."""
        self._waiting += 1
        try:
            await self._semaphore.acquire()
        finally:
            self._waiting -= 1
        self._acquired_count += 1
        self._record_busy(1)

    def release(self) -> None:
        """Release a slot."""
        self._semaphore.release()
        self._record_busy(-1)

    def get_busy_slots(self, at: float) -> int:
        """Return the number of busy slots at time `at`."""
        return self._busy_history.get(at)

    def get_service_s(self, now: float) -> float:
        """Return the service time, longer while the upstream is cold."""
        is_cold = now - self._started_at < self._settings.cold_s
        if is_cold or self._acquired_count <= self._settings.cold_requests:
            return self._settings.service_s * self._settings.cold_factor
        return self._settings.service_s

    def _record_busy(self, change: int) -> None:
        now = asyncio.get_running_loop().time()
        self._busy_history.record(now, self._busy_history.current + change)
