"""Shared test fixtures: an event loop on simulated time, a fake store."""

import asyncio
import unittest

import looptime

from radishstile.errors import VersionConflictError

TICK_S = 1e-6
CYCLES_PER_TICK = 100


class TickingClock:
    """Advances paused time by a tick while the loop is only busy.

    A timer may fire early by up to the clock's resolution. On a clock that
    stands still, code that waits for a time ahead by a rounding error would
    wake early and wait again, forever.
    """

    __slots__ = ("_time", "_select", "_busy_cycles", "_ticks")

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self._time = loop.time
        self._select = loop._selector.select
        self._busy_cycles = 0
        self._ticks = 0
        loop.time = self.time
        loop._selector.select = self.select

    def time(self) -> float:
        """Return the paused time with the ticks, in seconds."""
        return self._time() + self._ticks * TICK_S

    def select(self, timeout: float | None) -> list:
        """Poll, and count the cycles that neither wait a tick nor do I/O."""
        ready = self._select(timeout)
        is_busy = timeout is not None and timeout < TICK_S and not ready
        self._busy_cycles = self._busy_cycles + 1 if is_busy else 0
        if self._busy_cycles >= CYCLES_PER_TICK:
            self._busy_cycles = 0
            self._ticks += 1
        return ready


class PausedLoopPolicy(asyncio.DefaultEventLoopPolicy):
    """Creates event loops whose clock jumps to the next timer."""

    def new_event_loop(self):
        """Return a loop that starts at time zero."""
        loop = super().new_event_loop()
        looptime.patch_event_loop(loop, start=0)
        loop.setup_looptime()
        TickingClock(loop)
        return loop


class PausedTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs its test coroutines on the paused clock."""

    def run(self, result=None):
        """Run one test under the paused event loop policy."""
        asyncio.set_event_loop_policy(PausedLoopPolicy())
        try:
            return super().run(result)
        finally:
            asyncio.set_event_loop_policy(None)

    @property
    def now(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()


def count_most(arrivals, since, window_s):
    """Return the most arrivals within a window, of those since a time."""
    counted = [at for at in arrivals if at >= since]
    return max(
        sum(at <= other < at + window_s for other in counted) for at in counted
    )


class MemoryObject:
    """A stored object of `MemoryStore`."""

    __slots__ = ("name", "version", "value", "write_id")

    def __init__(self, name, version, value):
        self.name = name
        self.version = version
        self.value = value
        self.write_id = f"{name}-{version}"


class MemoryStore:
    """A fake of the platform's store with one hook before each update."""

    __slots__ = ("objects", "before_update")

    def __init__(self):
        self.objects = {}
        self.before_update = None

    async def read(self, name):
        """Return the object of that name, or None."""
        return self.objects.get(name)

    async def update(self, name, value, expected_version, contains=None):
        """Write where the expected version is current."""
        if self.before_update is not None:
            await self.before_update(name)
        current = self.objects.get(name)
        version = current.version if current else 0
        if version != expected_version:
            raise VersionConflictError(name, expected_version, version)
        self.objects[name] = MemoryObject(name, version + 1, value)
        return version + 1
