"""Shared helpers: a test case whose event loop runs on paused time."""

import asyncio
import unittest

import looptime


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
