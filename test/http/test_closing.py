"""Tests of closing a connection whose answer may still be on its way."""

import asyncio

from radishstile.http.closing import ClosingLimits, close_gracefully
from test._common import PausedTestCase

LIMITS = ClosingLimits(time_s=1.0, read_bytes=10_000, progress_bytes=4096)


class FakeStream:
    """A stream whose peer sends `parts`, one each 0.1 s, and then nothing.

    `acknowledged_per_s` is what the peer acknowledges, up to `written` bytes.
    """

    def __init__(self, parts=(), acknowledged_per_s=0, written=0):
        self.is_closed = False
        self.has_ended_writing = False
        self._parts = list(parts)
        self._rate = acknowledged_per_s
        self._written = written

    @property
    def acknowledged_bytes(self):
        now = asyncio.get_running_loop().time()
        return min(self._written, int(now * self._rate))

    def end_writing(self):
        self.has_ended_writing = True

    async def read(self):
        if not self._parts:
            await asyncio.sleep(1000)
        await asyncio.sleep(0.1)
        return self._parts.pop(0)

    def close(self):
        self.is_closed = True


class CloseGracefullyTest(PausedTestCase):
    async def check(self, stream, least_s, most_s):
        """Close a stream, and check how long that takes in seconds."""
        began_at = self.now
        await close_gracefully(stream, LIMITS)
        self.assertTrue(stream.has_ended_writing and stream.is_closed)
        self.assertLessEqual(least_s, self.now - began_at)
        self.assertLessEqual(self.now - began_at, most_s)

    async def test_waits_until_the_peer_closes(self):
        # Guards against a reset by what the peer sends before it knows.
        await self.check(FakeStream([b"x", b"y", b""]), 0.29, 0.31)

    async def test_peer_that_stays_open_is_closed(self):
        # Guards against peers that keep a connection by silence, by sending
        # without end, or by a byte now and then.
        await self.check(FakeStream(), 0.99, 1.01)
        await self.check(FakeStream([b"x" * 4000] * 100), 0.0, 0.4)
        await self.check(FakeStream([b"x"] * 100), 0.9, 1.1)

    async def test_reader_that_still_receives_is_waited_for(self):
        # Guards against a limit that counts from the last answer's writing.
        stream = FakeStream(acknowledged_per_s=40_000, written=200_000)
        await self.check(stream, 5.0, 6.5)
