"""Tests of what a host keeps for callers and upstreams.

What one connection may keep, times the number of connections, has to stay
below the host's memory. Otherwise a faulty upstream, or callers within their
limits, end the host with the requests of all others.
"""

import asyncio
import tracemalloc
import unittest
from types import SimpleNamespace

from radishstile.entry.buffers import BufferBudget
from radishstile.http.parser import AnswerLimits, AnswerParser, RequestParser
from test.entry._common import (
    CONFIGURATION,
    Caller,
    PlatformTestCase,
    Upstream,
    answer_ok,
    make_answer,
)

BODY_BYTES = 200_000
CHUNKS = b"1\r\nx\r\n" * BODY_BYTES
HEAD = b"Host: h\r\nX-Request-Id: q\r\nTransfer-Encoding: chunked\r\n\r\n"


class ChunkTest(unittest.TestCase):
    """Bodies come in chunks of one byte."""

    def measure(self, parser, feed):
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        feed(parser)
        size, _ = tracemalloc.get_traced_memory()
        return size

    def test_answer_in_small_chunks_takes_its_own_size(self):
        # Guards against answers that take forty times their bytes.
        parser = AnswerParser(b"x-request-id", b"q", AnswerLimits())
        parser.feed(b"HTTP/1.1 200 OK\r\n" + HEAD)
        size = self.measure(parser, lambda p: p.feed(CHUNKS))
        self.assertLess(size, 2 * BODY_BYTES)

    def test_upload_in_small_chunks_takes_its_own_size(self):
        # Guards against uploads that take forty times their bytes.
        parser = RequestParser(1000, 2 * BODY_BYTES)
        parser.feed(b"POST /a HTTP/1.1\r\n" + HEAD, 0.0)
        size = self.measure(parser, lambda p: p.feed(CHUNKS, 0.0))
        self.assertLess(size, 2 * BODY_BYTES)


class BufferBudgetTest(unittest.TestCase):
    def test_leases_together_stay_within_the_limit(self):
        budget = BufferBudget(1_000_000)
        first, second = budget.open(), budget.open()
        self.assertTrue(first.resize(200_000))
        self.assertFalse(second.resize(200_000))
        self.assertEqual(budget.used_bytes, 200_000)
        first.close()
        self.assertTrue(second.resize(200_000))

    def test_small_bodies_fit_beside_large_ones(self):
        # Guards against large uploads that shut out all other requests.
        budget = BufferBudget(1_000_000)
        budget.open().resize(budget.limit_bytes)
        self.assertTrue(budget.open().resize(1000))


async def read_head(reader):
    """Read a request's head, and nothing of its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    reader._transport.pause_reading()
    fields = {}
    for line in head.decode().split("\r\n")[1:-2]:
        name, _, value = line.partition(": ")
        fields[name.lower()] = value
    return SimpleNamespace(headers=fields)


class FloodingUpstream(Upstream):
    """Answers, and sends bytes without end on the kept connection."""

    async def _serve(self, reader, writer):
        writer.write(answer_ok(await read_head(reader)))
        await asyncio.sleep(0.05)
        try:
            while True:
                writer.write(b"x" * 65_536)
                await writer.drain()
        except ConnectionError:
            self.closed_connections += 1
        finally:
            writer.close()


class EarlyUpstream(Upstream):
    """Answers once it has read a request's head, and reads no further."""

    async def _serve(self, reader, writer):
        writer.write(answer_ok(await read_head(reader)))
        await asyncio.sleep(0.5)
        writer.transport.abort()
        writer.close()


class FloodTest(PlatformTestCase):
    async def test_connection_that_goes_on_after_its_answer_is_closed(self):
        # Guards against idle connections that each keep what nobody reads.
        upstream = await FloodingUpstream("i-0").start()
        self.addAsyncCleanup(upstream.stop)
        for other in self.upstreams:
            self.register(other, state="draining")
        self.register(upstream)
        await asyncio.sleep(0.5)
        self.assertEqual((await self.ask()).status, 200)
        await asyncio.sleep(0.5)
        self.assertEqual(upstream.closed_connections, 1)


class CallersTest(PlatformTestCase):
    configuration = {
        **CONFIGURATION,
        "limits": {**CONFIGURATION["limits"], "max_body_bytes": 1_000_000},
    }

    def make_file(self, name, zone):
        file = super().make_file(name, zone)
        # Bodies may use 0.9 MB.
        file["self"]["limits"] = {"memory_mb": 3}
        return file

    async def test_caller_that_reads_nothing_stops_its_pipeline(self):
        # Guards against answers that pile up for a caller that never reads.
        requests = 300
        for upstream in self.upstreams:
            upstream.answers = [
                lambda head: make_answer(
                    head.headers["x-request-id"], body=b"x" * BODY_BYTES
                )
            ] * requests
        async with Caller(self.host) as caller:
            caller._reader._transport.pause_reading()
            for _ in range(requests):
                caller.send()
            await asyncio.sleep(2.0)
            runs = sum(len(upstream.runs) for upstream in self.upstreams)
            self.assertLess(runs, 150)

    async def test_uploads_beyond_the_memory_are_refused_as_not_run(self):
        # Guards against uploads within their limit that end the host.
        for upstream in self.upstreams:
            upstream.delay_s = 0.5
        body = b"x" * 600_000
        async with Caller(self.host) as one, Caller(self.host) as other:
            one.send("/order/1", "POST", body)
            await asyncio.sleep(0.2)
            other.send("/order/2", "POST", body)
            refusal = await other.receive()
            self.assertEqual(refusal.status, 503)
            self.assertIn("retry-after", refusal.headers)
            self.assertEqual((await one.receive()).status, 200)
        await asyncio.sleep(0.1)
        self.assertEqual(self.host.entry._caller_server._buffers.used_bytes, 0)
        self.assertEqual((await self.ask()).status, 200)

    async def test_long_body_reaches_the_upstream_whole(self):
        # Guards against parts of a long body that are lost or reordered.
        body = bytes(range(256)) * 2000
        answer = await self.ask("/order/1", method="POST", body=body)
        self.assertEqual(answer.status, 200)
        (run,) = [run for u in self.upstreams for run in u.runs]
        self.assertEqual(run.body, body)


class LongUploadTest(PlatformTestCase):
    configuration = {
        **CONFIGURATION,
        "limits": {**CONFIGURATION["limits"], "max_body_bytes": 20_000_000},
    }

    async def test_answer_before_the_body_is_read_ends_the_connection(self):
        # Guards against the rest of a body that is read as a request.
        upstream = EarlyUpstream("i-9")
        await upstream.start()
        self.addAsyncCleanup(upstream.stop)
        for other in self.upstreams:
            self.register(other, state="draining")
        self.register(upstream)
        await asyncio.sleep(0.5)
        body = b"x" * 15_000_000
        answer = await self.ask("/order/1", method="POST", body=body)
        self.assertEqual(answer.status, 200)
        await asyncio.sleep(0.2)
        pool = self.host.entry._connections
        self.assertEqual([c for q in pool._idle.values() for c in q], [])
