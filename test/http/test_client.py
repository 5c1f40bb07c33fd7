"""Tests of the HTTP client against servers that misbehave."""

import asyncio
import unittest

from radishstile.errors import HttpError, NotConnectedError
from radishstile.http.client import ClientLimits, ClientRequest, HttpClient
from test.http._peers import (
    ScriptedServer,
    make_answer,
    reset,
    send,
    send_and_close,
    send_late,
    send_without_end,
    stay_silent,
)

BODY_LIMIT = 100_000
TIMEOUT_S = 0.2
IDLE_S = 0.3
ENOUGH_S = 5.0
GET = ClientRequest("GET", "/a")
PUT = ClientRequest("PUT", "/a", [(b"X-A", b"1")], b"body")
PREFIX = b"HTTP/1.1 200 OK\r\n"


class ClientTestCase(unittest.IsolatedAsyncioTestCase):
    async def connect(self, *scripts):
        self.server = await ScriptedServer(*scripts).start()
        self.addAsyncCleanup(self.server.stop)
        limits = ClientLimits(BODY_LIMIT, head_bytes=1000, idle_s=IDLE_S)
        self.client = HttpClient("127.0.0.1", self.server.port, limits)
        self.addCleanup(self.client.close)

    async def send(self, request=GET, timeout_s=ENOUGH_S):
        answer = await self.client.send(request, timeout_s)
        return bytes(answer.body)


class ReuseTest(ClientTestCase):
    async def test_whole_answers_share_a_connection(self):
        chunked = PREFIX + b"Transfer-Encoding: chunked\r\n\r\n"
        await self.connect(
            send(make_answer(b"1")), send(chunked + b"1\r\n2\r\n0\r\n\r\n")
        )
        self.assertEqual([await self.send(), await self.send()], [b"1", b"2"])
        self.assertEqual(self.server.connections, 1)

    async def test_concurrent_requests_have_connections_of_their_own(self):
        await self.connect(send_late(0.05, make_answer(b"1")))
        await asyncio.gather(*(self.send() for _ in range(3)))
        self.assertEqual(self.server.connections, 3)

    async def test_an_unused_connection_is_closed(self):
        """Guards against descriptors that idle connections keep."""
        await self.connect(send(make_answer(b"1")))
        await self.send()
        self.assertEqual(self.client.count_open(), 1)
        await asyncio.sleep(2 * IDLE_S)
        self.assertEqual(self.client.count_open(), 0)

    async def test_a_connection_that_the_server_closed_is_replaced(self):
        await self.connect(
            send_and_close(make_answer(b"1")), send(make_answer(b"2"))
        )
        await self.send()
        await asyncio.sleep(0.05)
        self.assertEqual(await self.send(PUT), b"2")

    async def test_bytes_after_an_answer_are_not_the_next_answer(self):
        """Guards against answers that are one request late ever after."""
        doubled = make_answer(b"1") + make_answer(b"old")
        for first in (send(doubled), send(make_answer(b"1") + b"x")):
            await self.connect(first, send(make_answer(b"2")))
            await self.send()
            self.assertEqual(await self.send(), b"2")
            self.assertEqual(self.server.connections, 2)

    async def test_bytes_on_an_idle_connection_end_it(self):
        async def answer_and_repeat(reader, writer):
            writer.write(make_answer(b"1"))
            await asyncio.sleep(0.05)
            writer.write(make_answer(b"old"))

        await self.connect(answer_and_repeat, send(make_answer(b"2")))
        await self.send()
        await asyncio.sleep(0.1)
        self.assertEqual(self.server.count_open(), 0)
        self.assertEqual(await self.send(), b"2")

    async def test_an_announced_close_is_heeded(self):
        closing = PREFIX + b"Connection: close\r\nContent-Length: 0\r\n\r\n"
        await self.connect(send(closing))
        await self.send()
        self.assertEqual(self.client.count_open(), 0)


class FailureTest(ClientTestCase):
    """Each failure is an error, and the next request a new connection."""

    async def test_answers_with_numbers_that_are_no_status(self):
        # Guards against calls to the store that wait for a final answer.
        for status in (b"000", b"199", b"600"):
            answer = make_answer(b"odd").replace(b"200", status, 1)
            await self.check(send(answer), HttpError)

    async def check(self, script, error, request=GET, timeout_s=ENOUGH_S):
        await self.connect(script, send(make_answer(b"next")))
        with self.assertRaises(error):
            await self.client.send(request, timeout_s)
        self.assertEqual(len(self.server.heads), 1)
        self.assertEqual(self.client.count_open(), 0)
        self.assertEqual(await self.send(), b"next")

    async def test_a_silent_server(self):
        await self.check(stay_silent, TimeoutError, timeout_s=TIMEOUT_S)
        head = send(PREFIX + b"Content-Length: 9\r\n\r\nabc")
        await self.check(head, TimeoutError, timeout_s=TIMEOUT_S)

    async def test_a_late_answer_is_not_taken_for_the_next(self):
        late = send_late(2 * TIMEOUT_S, make_answer(b"late"))
        await self.check(late, TimeoutError, timeout_s=TIMEOUT_S)
        await asyncio.sleep(2 * TIMEOUT_S)
        self.assertEqual(await self.send(), b"next")

    async def test_drops_do_not_extend_the_time(self):
        async def drip(reader, writer):
            writer.write(PREFIX)
            while not reader.at_eof():
                writer.write(b"X: 1\r\n")
                await asyncio.sleep(TIMEOUT_S / 10)

        await self.check(drip, TimeoutError, timeout_s=TIMEOUT_S)

    async def test_a_lost_answer_is_not_asked_for_again(self):
        """Guards against a write that takes effect twice."""
        for script in (reset, send_and_close(b""), send_and_close(PREFIX)):
            error = (ConnectionError, HttpError)
            await self.check(script, error, request=PUT)

    async def test_a_request_on_a_reused_connection_is_sent_once(self):
        await self.connect(send(make_answer(b"1")), reset)
        await self.send()
        with self.assertRaises((ConnectionError, HttpError)):
            await self.send(PUT)
        self.assertEqual(len(self.server.heads), 2)

    async def test_a_cut_answer(self):
        cut = send_and_close(PREFIX + b"Content-Length: 9\r\n\r\nabc")
        await self.check(cut, HttpError)
        chunked = PREFIX + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
        await self.check(send_and_close(chunked), HttpError)

    async def test_a_malformed_answer(self):
        for content in (
            b"\x00\x01garbage\r\n\r\n",
            PREFIX + b"Content-Length: x\r\n\r\n",
            b"HTTP/1.1 101 Switch\r\nUpgrade: x\r\n"
            b"Connection: upgrade\r\n\r\n",
        ):
            await self.check(send(content), HttpError)

    async def test_an_endless_answer(self):
        chunked = PREFIX + b"Transfer-Encoding: chunked\r\n\r\n"
        for start, part in (
            (PREFIX + b"X: ", b"x" * 1000),
            (PREFIX, b"X: x\r\n" * 100),
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
            (chunked + b"3;a=", b"x" * 1000),
            (chunked, b"3e8\r\n" + b"x" * 1000 + b"\r\n"),
            (PREFIX + b"\r\n", b"x" * 1000),
        ):
            await self.check(send_without_end(start, part), HttpError)

    async def test_an_error_is_known_without_its_body(self):
        """Guards against a refusal that counts as a lost answer."""
        content = b"HTTP/1.1 503 S\r\nContent-Length: 9\r\n\r\nabc"
        await self.connect(send(content), send(make_answer(b"next")))
        answer = await self.client.send(GET, TIMEOUT_S)
        self.assertEqual(answer.status, 503)
        self.assertEqual(await self.send(), b"next")

    async def test_a_refused_connection_sends_nothing(self):
        client = HttpClient("127.0.0.1", 1, ClientLimits(BODY_LIMIT))
        with self.assertRaises(NotConnectedError):
            await client.send(GET, ENOUGH_S)

    async def test_close_ends_requests_in_flight(self):
        await self.connect(stay_silent)
        sent = asyncio.create_task(self.send())
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.server.heads), 1)
        self.client.close()
        with self.assertRaises((ConnectionError, HttpError)):
            await sent
        self.assertEqual(self.client.count_open(), 0)
