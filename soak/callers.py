"""Callers that send requests over persistent, pipelined connections."""

import asyncio
import random

import aiohttp
import httptools

from soak.configuration import HOSTNAME, NON_IDEMPOTENT_PATH, READ_PATH
from soak.fleet import Fleet
from soak.hosts import DIRECTORY_PORT
from soak.record import SentRequest

DEADLINE_S = 2.0
# Time that a caller waits after the deadline of its request, in seconds.
DEADLINE_GRACE_S = 0.5
CONNECT_TIMEOUT_S = 1.0
# Longest pause between batches of requests on a connection, in seconds.
MAX_PAUSE_S = 0.25
# Share of non-idempotent requests, and of batches of two pipelined requests.
NON_IDEMPOTENT_SHARE = 0.4
PIPELINED_SHARE = 0.2
OBJECT_COUNT = 30


class Caller:
    """Sends requests with unique ids over one connection at a time."""

    __slots__ = ("name", "_zone", "_fleet", "_rng", "_sent_count")

    def __init__(self, name: str, zone: str, fleet: Fleet, seed: int):
        self.name = name
        self._zone = zone
        self._fleet = fleet
        self._rng = random.Random(f"{seed} {name}")
        self._sent_count = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                address = await self._resolve(session)
                if address is not None:
                    await self._use_connection(address)
                await asyncio.sleep(self._rng.random() * MAX_PAUSE_S)

    async def _resolve(self, session: aiohttp.ClientSession) -> str | None:
        host = self._rng.choice(self._fleet.hosts)
        url = f"http://{host.address}:{DIRECTORY_PORT}/v1/resolve"
        query = {"name": HOSTNAME, "zone": self._zone}
        timeout = aiohttp.ClientTimeout(total=CONNECT_TIMEOUT_S)
        try:
            async with session.get(
                url, params=query, timeout=timeout
            ) as answer:
                if answer.status != 200:
                    return None
                addresses = (await answer.json())["addresses"]
                return self._rng.choice(addresses)
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def _use_connection(self, address: str) -> None:
        host, _, port = address.partition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError):
            return
        try:
            is_open = True
            while is_open:
                count = 1 + (self._rng.random() < PIPELINED_SHARE)
                batch = [self._make_request(host) for _ in range(count)]
                writer.write(b"".join(map(encode_request, batch)))
                is_open = await self._receive_answers(reader, batch)
                await asyncio.sleep(self._rng.random() * MAX_PAUSE_S)
        finally:
            writer.transport.abort()

    def _make_request(self, host: str) -> SentRequest:
        self._sent_count += 1
        rng = self._rng
        is_non_idempotent = rng.random() < NON_IDEMPOTENT_SHARE
        path = NON_IDEMPOTENT_PATH
        if not is_non_idempotent:
            path = rng.choice([READ_PATH, *self._fleet.list_added_routes()])
        request = SentRequest(
            f"{self.name}-{self._sent_count}",
            host,
            f"{path}{rng.randrange(OBJECT_COUNT)}",
            is_non_idempotent,
            rng.choice(list(self._fleet.record.key_workspaces)),
            self._fleet.read_clock(),
        )
        self._fleet.record.requests.append(request)
        return request

    async def _receive_answers(
        self, reader: asyncio.StreamReader, requests: list[SentRequest]
    ) -> bool:
        """Read the answers in order; return whether the connection is open."""
        answers = _AnswerHandler()
        parser = httptools.HttpResponseParser(answers)
        answers.parser = parser
        clock = self._fleet.read_clock
        wait_until = requests[0].sent_at + DEADLINE_S + DEADLINE_GRACE_S
        is_open = True
        timed_out = False
        for number, request in enumerate(requests):
            answer = None
            try:
                async with asyncio.timeout(max(0.0, wait_until - clock())):
                    answer = await _receive_answer(reader, parser, answers)
            except TimeoutError:
                timed_out = True
            except (OSError, httptools.HttpParserError):
                timed_out = False
            if answer is None:
                # Requests pipelined after it are lost with the connection.
                for failed in requests[number:]:
                    failed.ended_at = clock()
                    failed.is_timed_out = timed_out
                return False
            request.ended_at = clock()
            request.status, request.body = answer.status, bytes(answer.body)
            request.names_leaving = answer.names_leaving
            is_open = is_open and answer.keeps_alive
        return is_open


class _Answer:
    __slots__ = ("status", "body", "keeps_alive", "names_leaving")

    def __init__(self):
        self.names_leaving = False
        self.status = 0
        self.body = bytearray()
        self.keeps_alive = False


class _AnswerHandler:
    """Collects the answers that the HTTP parser of a connection reads."""

    __slots__ = ("parser", "complete", "_current")

    def __init__(self):
        self.parser = None
        self.complete: list[_Answer] = []
        self._current = _Answer()

    def on_message_begin(self) -> None:
        """Start the next answer."""
        self._current = _Answer()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store whether the upstream names that it leaves."""
        if name.lower() == b"server-leaving":
            self._current.names_leaving = True

    def on_headers_complete(self) -> None:
        """Store the status and whether the connection can be reused."""
        self._current.status = self.parser.get_status_code()
        self._current.keeps_alive = self.parser.should_keep_alive()

    def on_body(self, part: bytes) -> None:
        """Append a part of the body."""
        self._current.body += part

    def on_message_complete(self) -> None:
        """Queue the complete answer."""
        self.complete.append(self._current)


async def _receive_answer(
    reader, parser, answers: _AnswerHandler
) -> _Answer | None:
    while not answers.complete:
        data = await reader.read(65_536)
        if not data:
            return None
        parser.feed_data(data)
    return answers.complete.pop(0)


def encode_request(request: SentRequest) -> bytes:
    """Return the HTTP/1.1 encoding of a request."""
    body = b"order" if request.is_non_idempotent else b""
    lines = [
        f"{'POST' if request.is_non_idempotent else 'GET'} "
        f"{request.target} HTTP/1.1",
        f"Host: {HOSTNAME}",
        f"X-Request-Id: {request.request_id}",
        f"X-Affinity-Key: {request.target}",
        f"X-Deadline-Ms: {int(DEADLINE_S * 1000)}",
        f"Authorization: Bearer {request.key}",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
