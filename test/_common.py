"""Shared helpers: a test case whose event loop runs on paused time."""

import asyncio
import unittest

import looptime

from radishstile.errors import VersionConflictError


class PausedLoopPolicy(asyncio.DefaultEventLoopPolicy):
    """Creates event loops whose clock jumps to the next timer."""

    def new_event_loop(self):
        """Return a loop that starts at time zero."""
        loop = super().new_event_loop()
        looptime.patch_event_loop(loop, start=0)
        loop.setup_looptime()
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
