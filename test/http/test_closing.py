"""Tests of closing a connection whose answer may still be on its way."""

import asyncio

from radishstile.http.closing import ClosingLimits, close_gracefully
from test._common import PausedTestCase

LIMITS = ClosingLimits(time_s=1.0, read_bytes=10_000, progress_bytes=4096)


class FakeStream:
    """A stream whose peer sends `parts`, one each 0.1 s, and then nothing.

    `delivered_per_s` is what the peer acknowledges, up to `written` bytes.
    """

    def __init__(self, parts=(), delivered_per_s=0, written=0):
        self.is_closed = False
        self.has_ended_writing = False
        self._parts = list(parts)
        self._rate = delivered_per_s
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
    async def measure(self, stream):
        """Close a stream, and return how long that took in seconds."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        await close_gracefully(stream, LIMITS)
        self.assertTrue(stream.has_ended_writing)
        self.assertTrue(stream.is_closed)
        return loop.time() - began_at

    async def test_waits_until_the_peer_closes(self):
        # Guards against a reset by what the peer sends before it knows.
        took_s = await self.measure(FakeStream([b"x", b"y", b""]))
        self.assertAlmostEqual(took_s, 0.3, places=2)

    async def test_peer_that_stays_open_is_closed_after_a_while(self):
        # Guards against connections that outlive their last answer for ever.
        self.assertAlmostEqual(await self.measure(FakeStream()), 1.0, places=2)

    async def test_peer_that_sends_without_end_is_closed(self):
        # Guards against a peer that keeps the connection by sending.
        took_s = await self.measure(FakeStream([b"x" * 4000] * 100))
        self.assertLess(took_s, 0.4)

    async def test_peer_that_trickles_is_closed(self):
        # Guards against bytes that arrive one at a time, just to look alive.
        took_s = await self.measure(FakeStream([b"x"] * 100))
        self.assertAlmostEqual(took_s, 1.0, places=1)

    async def test_reader_that_still_receives_is_waited_for(self):
        # Guards against a limit that counts from the last answer's writing.
        stream = FakeStream(delivered_per_s=40_000, written=200_000)
        took_s = await self.measure(stream)
        self.assertGreater(took_s, 5.0)
        self.assertLess(took_s, 6.5)
