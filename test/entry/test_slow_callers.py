"""Tests of callers that send or read too slowly, or hold too much.

Each keeps its connection open, so that without a deadline it keeps memory, a
slot or an upstream's connection for as long as it likes.
"""

import asyncio
import logging
import os
import socket
import unittest
from contextlib import asynccontextmanager
from unittest.mock import patch

import orjson

from radishstile.entry.buffers import Kind
from radishstile.entry.claims import LocalSlot
from radishstile.entry.logs import JsonLinesHandler
from test.entry._common import (
    CONFIGURATION,
    Caller,
    PlatformTestCase,
    Upstream,
    make_answer,
)

UPLOAD_BYTES = 400_000
# At 80 KB a second it takes twice the kernel's default limit.
SLOW_ANSWER_BYTES = 540_000
# What a steady reader gets before its deadline.
STEADY_BYTES = 200_000
WINDOW_BYTES = 24_576
PIECE_BYTES = 4096
PAUSE_S = 0.05


def start_upload(caller, size, sent):
    """Send a request's head, and the beginning of its body."""
    caller.send("/order/1", "POST", extra=[f"Content-Length: {size}"])
    caller.write(b"x" * sent)


def make_configuration(idle_s):
    limits = {
        "max_header_bytes": 4096,
        "max_body_bytes": 1_000_000,
        "header_timeout_s": 0.3,
        "idle_timeout_s": idle_s,
    }
    routes = {
        name: {**route, "timeout_s": 10}
        for name, route in CONFIGURATION["routes"].items()
    }
    return {**CONFIGURATION, "limits": limits, "routes": routes}


def answer_without_end(head):
    return make_answer(head.headers["x-request-id"], body=bytes(20_000_000))


class LogVolumeTest(unittest.TestCase):
    def test_refused_uploads_leave_space_for_other_lines(self):
        # Guards against a client that hides the failures of all others.
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        handler = JsonLinesHandler("front-1", writer)
        for _ in range(1000):
            handler.emit(make_record("callers: Request not read."))
        for _ in range(50):
            handler.emit(make_record("forwarding: Attempt ended."))
        lines = os.read(reader, 1_000_000).splitlines()
        events = [orjson.loads(line)["event"] for line in lines]
        self.assertLessEqual(events.count("Request not read."), 20)
        self.assertEqual(events.count("Attempt ended."), 50)


def answer_within_buffers(head):
    return make_answer(
        head.headers["x-request-id"], body=bytes(SLOW_ANSWER_BYTES)
    )


def open_socket():
    """Return a socket with a small receive buffer."""
    plain = socket.socket()
    plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    plain.setblocking(False)
    return plain


class SmallWindowCaller(Caller):
    """A caller's connection with a small receive buffer."""

    async def __aenter__(self):
        plain = open_socket()
        await asyncio.get_running_loop().sock_connect(
            plain, (self._endpoint.address, self._endpoint.port)
        )
        self._reader, self._writer = await asyncio.open_connection(
            sock=plain, limit=PIECE_BYTES
        )
        return self

    async def count_slowly(self, size):
        """Read up to `size` bytes of a body, and return how many came."""
        await self._reader.readuntil(b"\r\n\r\n")
        count = 0
        while count < size:
            left = size - count
            part = await self._reader.read(min(PIECE_BYTES, left))
            if not part:
                break
            count += len(part)
            await asyncio.sleep(PAUSE_S)
        return count


def make_record(message):
    return logging.LogRecord(
        "radishstile", logging.WARNING, "", 0, message, (), None
    )


class TrickleTest(PlatformTestCase):
    configuration = make_configuration(idle_s=0.6)

    async def test_trickled_body_is_refused_as_not_run(self):
        # Guards against a body that arrives byte by byte for hours.
        async with Caller(self.host) as caller:
            start_upload(caller, 1000, 0)
            for _ in range(20):
                await asyncio.sleep(0.05)
                caller.write(b"x")
            self.assertEqual((await caller.receive()).status, 408)
        runs = sum(len(upstream.runs) for upstream in self.upstreams)
        self.assertEqual(runs, 0)


class SteadyReaderTest(PlatformTestCase):
    """Callers that read slowly without a pause."""

    configuration = make_configuration(idle_s=5)

    async def test_answer_that_the_kernel_holds_reaches_its_caller(self):
        # Guards against a kernel that ends a connection after seconds with a
        # small window, though bytes are acknowledged all the time.
        async with self.fetch(answer_within_buffers) as caller:
            size = await caller.count_slowly(SLOW_ANSWER_BYTES)
        self.assertEqual(size, SLOW_ANSWER_BYTES)

    async def test_acknowledged_bytes_count_as_progress(self):
        # Guards against a host that sees its own buffer only, from which the
        # kernel takes a large piece every few seconds.
        async with self.fetch(answer_without_end) as caller:
            await caller.count_slowly(STEADY_BYTES)
            # What the kernel holds arrives after a cut too.
            self.assertEqual(self.host.entry._caller_server.count_open(), 1)

    async def test_answers_reach_a_pipelining_caller_of_a_stopping_host(self):
        # Guards against a request that arrives at a closed connection: the
        # kernel resets it, and drops the answers that are still on their way.
        self.host.entry.node.is_leaving = True
        async with self.fetch(answer_within_buffers) as caller:
            caller.send("/read/2")
            await asyncio.sleep(0.5)
            # The caller can't know yet that it is not read.
            caller.send("/read/3")
            size = await caller.count_slowly(SLOW_ANSWER_BYTES)
            self.assertEqual(size, SLOW_ANSWER_BYTES)
            self.assertEqual((await caller.receive()).status, 200)
            self.assertTrue(await caller.is_closed())

    @asynccontextmanager
    async def fetch(self, answer):
        """Send a request, and yield its connection."""
        for upstream in self.upstreams:
            upstream.answers = [answer]
        async with SmallWindowCaller(self.host) as caller:
            caller.send()
            yield caller


class SlowUpstream(Upstream):
    """An upstream with a small receive buffer that reads without a pause."""

    async def start(self):
        plain = open_socket()
        plain.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(
            self._serve, sock=plain, limit=PIECE_BYTES
        )
        return self

    async def _serve(self, reader, writer):
        await super()._serve(SlowReader(reader), writer)


class SlowReader:
    """Reads a piece after each pause."""

    def __init__(self, reader):
        self._reader = reader

    async def read(self, size):
        await asyncio.sleep(PAUSE_S)
        return await self._reader.read(PIECE_BYTES)


class SlowUpstreamTest(PlatformTestCase):
    """Upstreams that read a request's body slowly."""

    upstream_type = SlowUpstream
    configuration = make_configuration(idle_s=5)

    async def test_body_reaches_an_upstream_that_reads_slowly(self):
        # Guards against a kernel that ends the upstream's connection in the
        # middle of a body, so that the request may have run or not.
        async with Caller(self.host) as caller:
            body = bytes(SLOW_ANSWER_BYTES)
            caller.send("/order/1", "POST", body, deadline_ms=10_000)
            answer = await caller.receive(10)
        self.assertEqual(answer.status, 200)


class SlowCallerTest(PlatformTestCase):
    """A host of 3 MB, of which callers may hold 0.8."""

    configuration = make_configuration(idle_s=5)

    def make_file(self, name, zone):
        file = super().make_file(name, zone)
        file["self"]["limits"] = {
            "memory_mb": 3,
            "max_fds": 240,
        }
        return file

    async def test_stalled_body_gives_way_and_is_refused_as_not_run(self):
        # Guards against a body that stops short and shuts out all others.
        async with Caller(self.host) as stalled:
            start_upload(stalled, UPLOAD_BYTES + 10, UPLOAD_BYTES)
            await asyncio.sleep(1.3)
            body = b"x" * (UPLOAD_BYTES + 100_000)
            answer = await self.ask("/order/2", method="POST", body=body)
            self.assertEqual(answer.status, 200)
            refusal = await stalled.receive()
            self.assertEqual(refusal.status, 503)
            self.assertIn("retry-after", refusal.headers)
            self.assertTrue(await stalled.is_closed())
        runs = [run.target for u in self.upstreams for run in u.runs]
        self.assertEqual(runs, [b"/order/2"])

    async def test_caller_that_does_not_read_is_cut_off(self):
        # Guards against a reader that keeps a slot and an upstream.
        for upstream in self.upstreams:
            upstream.answers = [answer_without_end]
        async with Caller(self.host) as caller:
            caller._reader._transport.pause_reading()
            caller.send()
            await asyncio.sleep(0.3)
            self.assertEqual(self.host.entry.count_held_slots(), 1)
            await asyncio.sleep(1.8)
            self.assertEqual(self.host.entry.count_held_slots(), 0)
            self.assertEqual(self.host.entry._caller_server.count_open(), 0)
        self.assertEqual((await self.ask()).status, 200)

    async def test_new_caller_gets_the_descriptor_of_a_silent_one(self):
        # Guards against silent connections that leave none to others.
        silent = [Caller(self.host) for _ in range(30)]
        for caller in silent:
            await caller.__aenter__()
            self.addCleanup(caller.disconnect)
        self.assertEqual((await self.ask()).status, 200)
        self.assertLessEqual(self.host.entry._caller_server.count_open(), 26)

    async def test_nothing_stays_charged_after_the_connections(self):
        # Guards against an account that fills up with each closed connection.
        for upstream in self.upstreams:
            upstream.answers = [answer_without_end]
        async with Caller(self.host) as one, Caller(self.host) as other:
            one.send()
            start_upload(other, UPLOAD_BYTES, UPLOAD_BYTES - 1)
            await asyncio.sleep(0.2)
            self.assertGreater(self.read_used(), UPLOAD_BYTES)
        await asyncio.sleep(0.3)
        self.assertEqual(self.read_used(), 0)

    async def test_answer_that_nobody_waits_for_any_more_is_freed(self):
        # Guards against an account that keeps the answer of a request whose
        # deadline came while its slot was given back.
        release = LocalSlot.release

        async def release_late(*arguments):
            await asyncio.sleep(0.5)
            await release(*arguments)

        async with Caller(self.host) as caller:
            with patch.object(LocalSlot, "release", release_late):
                caller.send(deadline_ms=300)
                self.assertEqual((await caller.receive()).status, 504)
                await asyncio.sleep(0.4)
            buffers = self.host.entry._caller_server._buffers
            self.assertEqual(buffers.used_by_kind[Kind.ANSWER], 0)

    def read_used(self):
        return self.host.entry._caller_server._buffers.used_bytes
