"""Callers that keep their connections until the process is gone."""

import asyncio
import random

import aiohttp
import httptools

from soak.configuration import HOSTNAME, ORDER_PATH, READ_PATH
from soak.fleet import Fleet
from soak.hosts import DIRECTORY_PORT
from soak.record import Attempt

DEADLINE_S = 2.0
# How long past its deadline a caller waits, in seconds.
PATIENCE_S = 0.5
CONNECT_S = 1.0
# Longest pause between the requests of a connection, in seconds.
PAUSE_S = 0.25
# Share of requests that must not run twice, and of those that come right
# behind another on the same connection.
ORDER_SHARE = 0.4
PIPELINED_SHARE = 0.2
OBJECTS = 30


class Caller:
    """Sends requests one connection after the other, each with its own id."""

    __slots__ = ("name", "_zone", "_fleet", "_random", "_sent")

    def __init__(self, name: str, zone: str, fleet: Fleet, seed: int):
        self.name = name
        self._zone = zone
        self._fleet = fleet
        self._random = random.Random(f"{seed} {name}")
        self._sent = 0

    async def run(self) -> None:
        """Call until cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                address = await self._resolve(session)
                if address is not None:
                    await self._hold_connection(address)
                await asyncio.sleep(self._random.random() * PAUSE_S)

    async def _resolve(self, session: aiohttp.ClientSession) -> str | None:
        host = self._random.choice(self._fleet.hosts)
        url = f"http://{host.address}:{DIRECTORY_PORT}/v1/resolve"
        query = {"name": HOSTNAME, "zone": self._zone}
        timeout = aiohttp.ClientTimeout(total=CONNECT_S)
        try:
            async with session.get(
                url, params=query, timeout=timeout
            ) as answer:
                if answer.status != 200:
                    return None
                addresses = (await answer.json())["addresses"]
                return self._random.choice(addresses)
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def _hold_connection(self, address: str) -> None:
        host, _, port = address.partition(":")
        try:
            async with asyncio.timeout(CONNECT_S):
                reader, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError):
            return
        try:
            goes_on = True
            while goes_on:
                count = 1 + (self._random.random() < PIPELINED_SHARE)
                attempts = [self._make_attempt(host) for _ in range(count)]
                writer.write(b"".join(map(encode_attempt, attempts)))
                goes_on = await self._receive_all(reader, attempts)
                await asyncio.sleep(self._random.random() * PAUSE_S)
        finally:
            writer.transport.abort()

    def _make_attempt(self, host: str) -> Attempt:
        self._sent += 1
        draw = self._random
        is_order = draw.random() < ORDER_SHARE
        path = ORDER_PATH if is_order else READ_PATH
        attempt = Attempt(
            f"{self.name}-{self._sent}",
            host,
            f"{path}{draw.randrange(OBJECTS)}",
            is_order,
            draw.choice(list(self._fleet.record.keys)),
            self._fleet.read_clock(),
        )
        self._fleet.record.attempts.append(attempt)
        return attempt

    async def _receive_all(
        self, reader: asyncio.StreamReader, attempts: list[Attempt]
    ) -> bool:
        """Read the answers in order; return whether to send more."""
        answers = _Answers()
        parser = httptools.HttpResponseParser(answers)
        answers.parser = parser
        clock = self._fleet.read_clock
        until = attempts[0].sent_at + DEADLINE_S + PATIENCE_S
        goes_on = True
        is_late = False
        for number, attempt in enumerate(attempts):
            answer = None
            try:
                async with asyncio.timeout(max(0.0, until - clock())):
                    answer = await _receive(reader, parser, answers)
            except TimeoutError:
                is_late = True
            except (OSError, httptools.HttpParserError):
                is_late = False
            if answer is None:
                # Those behind it end with the connection, too.
                for unanswered in attempts[number:]:
                    unanswered.ended_at = clock()
                    unanswered.is_late = is_late
                return False
            attempt.ended_at = clock()
            attempt.status, attempt.body = answer.status, bytes(answer.body)
            goes_on = goes_on and answer.keeps_alive
        return goes_on


class _Answer:
    __slots__ = ("status", "body", "keeps_alive")

    def __init__(self):
        self.status = 0
        self.body = bytearray()
        self.keeps_alive = False


class _Answers:
    """What the parser of one connection's answers fills."""

    __slots__ = ("parser", "whole", "_now")

    def __init__(self):
        self.parser = None
        self.whole: list[_Answer] = []
        self._now = _Answer()

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self._now = _Answer()

    def on_headers_complete(self) -> None:
        """Take what the head tells."""
        self._now.status = self.parser.get_status_code()
        self._now.keeps_alive = self.parser.should_keep_alive()

    def on_body(self, part: bytes) -> None:
        """Take a part of the body."""
        self._now.body += part

    def on_message_complete(self) -> None:
        """Take the answer as whole."""
        self.whole.append(self._now)


async def _receive(reader, parser, answers: _Answers) -> _Answer | None:
    while not answers.whole:
        data = await reader.read(65_536)
        if not data:
            return None
        parser.feed_data(data)
    return answers.whole.pop(0)


def encode_attempt(attempt: Attempt) -> bytes:
    """Return a request's bytes."""
    body = b"order" if attempt.is_order else b""
    lines = [
        f"{'POST' if attempt.is_order else 'GET'} {attempt.target} HTTP/1.1",
        f"Host: {HOSTNAME}",
        f"X-Request-Id: {attempt.request_id}",
        f"X-Affinity-Key: {attempt.target}",
        f"X-Deadline-Ms: {int(DEADLINE_S * 1000)}",
        f"Authorization: Bearer {attempt.key}",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
