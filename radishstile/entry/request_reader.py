"""Reads a caller's requests, within the deadlines and the host's memory."""

import asyncio

from radishstile.catalog.catalog import CallerLimits
from radishstile.entry.buffers import Holder, Kind
from radishstile.entry.node import read_clock
from radishstile.entry.parse_turns import ParseTurns
from radishstile.errors import HttpError, RefusalError
from radishstile.http.message import Request
from radishstile.http.parser import RequestParser
from radishstile.http.stream import ByteStream
from radishstile.outcome import Outcome, Reason

# Timeout of a read within a request's body in seconds: the longest timeout of
# the configured routes.
BODY_TIMEOUT_S = 10.0
# Bytes a second that a body must arrive with, beyond the idle timeout. Proper
# callers send far more, and at this rate hardly a body ends in time.
MIN_BODY_BYTES_PER_S = 4096
# Retry-After of a request that the memory has no space for, in seconds: about
# the time that a long upload takes.
MEMORY_RETRY_S = 1.0
# Bytes that are parsed before other connections run. In chunks of one byte
# they take 2 ms of a core, as requests of 18 bytes 6 ms.
PARSE_BYTES = 16_384
# Bytes that cost much to parse if less than half of them are a body's.
COSTLY_BYTES = 2048

_NOTHING = memoryview(b"")


class RequestReader:
    """Reads and parses the requests on one connection.

    What it keeps is charged to `holder`.
    """

    __slots__ = (
        "_stream",
        "_holder",
        "_limits",
        "_parser",
        "_rest",
        "_body_at",
        "_turns",
        "_is_costly",
        "_is_cheap",
    )

    def __init__(
        self,
        stream: ByteStream,
        holder: Holder,
        limits: CallerLimits,
        turns: ParseTurns,
    ):
        self._stream = stream
        self._holder = holder
        self._limits = limits
        self._parser = RequestParser(limits.header_bytes, limits.body_bytes)
        # Bytes that were read and not parsed yet.
        self._rest = _NOTHING
        # The loop's time at which the current body began.
        self._body_at: float | None = None
        self._turns = turns
        # Whether the last bytes cost much to parse, or were a long body's.
        self._is_costly = False
        self._is_cheap = False

    @property
    def is_incomplete(self) -> bool:
        """Return whether a request has arrived only partly."""
        return self._parser.is_incomplete

    @property
    def has_unread(self) -> bool:
        """Return whether bytes have arrived that were not parsed."""
        return len(self._rest) > 0 or self._stream.unread_bytes > 0

    def take_request(self) -> Request | None:
        """Return the next complete request, if any."""
        if not self._parser.requests:
            return None
        return self._parser.requests.popleft()

    def take_expectation(self) -> bool:
        """Return whether the caller waits for leave to send its body, once."""
        expects = self._parser.expects_continue
        self._parser.expects_continue = False
        return expects

    async def read(self, is_busy: bool) -> bool:
        """Read and parse some bytes; return False at the connection's end.

        `is_busy` is whether requests are in flight, so that the connection
        may be silent. Raises `HttpError`, `RefusalError` if the memory has no
        space, or `ConnectionError`.
        """
        if self._rest:
            await asyncio.sleep(0)
            await self._parse_in_turn()
            return True
        try:
            async with asyncio.timeout(self._find_timeout()):
                data = await self._stream.read()
        except TimeoutError:
            if self._parser.is_incomplete:
                raise HttpError(
                    408, "timed out while reading the request"
                ) from None
            return is_busy
        self._rest = memoryview(data)
        if data:
            await self._parse_in_turn()
        return bool(data)

    def discard(self) -> None:
        """Drop what was kept of requests that were not started."""
        self._rest = _NOTHING
        self._parser.discard()
        self.charge_unread()
        self._holder.charge(Kind.PARTIAL, 0)

    def charge_unread(self) -> None:
        """Charge what was received and not parsed."""
        # Of a read that is parsed in parts, all stays until the last part.
        self._holder.charge(
            Kind.UNREAD, self._stream.unread_bytes + len(self._rest.obj)
        )

    def charge_waiting(self) -> None:
        """Charge requests that wait or have arrived partly."""
        self._holder.charge(Kind.PARTIAL, self._measure())

    def _measure(self) -> int:
        return self._parser.measure_partial() + self._parser.measure_waiting()

    async def _parse_in_turn(self) -> None:
        if self._is_costly:
            await self._turns.take(self, self._parse)
        else:
            self._parse()

    def _parse(self) -> None:
        # A long body that comes in large pieces costs little.
        size = len(self._rest) if self._is_cheap else PARSE_BYTES
        part = self._rest[:size]
        self._rest = self._rest[size:] or _NOTHING
        now = read_clock()
        body_bytes = self._parser.body_bytes
        self._parser.feed(part, now)
        body_bytes = self._count_body() - body_bytes
        self._is_costly = len(part) > max(COSTLY_BYTES, 2 * body_bytes)
        self._is_cheap = not self._is_costly and len(part) > COSTLY_BYTES
        self._note_body(now)
        self._holder.record_moved(len(part), now)
        self.charge_unread()
        if not self._holder.try_charge(Kind.PARTIAL, self._measure()):
            raise RefusalError(
                Reason.OVERLOADED,
                Outcome.NOT_RUN,
                MEMORY_RETRY_S,
                "the host's memory is full",
            )

    def _count_body(self) -> int:
        whole = sum(len(request.body) for request in self._parser.requests)
        return whole + self._parser.body_bytes

    def _note_body(self, now: float) -> None:
        is_in_body = (
            self._parser.is_incomplete and self._parser.head_started_at is None
        )
        if not is_in_body or self._parser.requests:
            self._body_at = None
        if is_in_body and self._body_at is None:
            self._body_at = now

    def _find_timeout(self) -> float:
        """Return how long the next read may take, in seconds."""
        limits = self._limits
        if not self._parser.is_incomplete:
            return limits.idle_s
        now = read_clock()
        started_at = self._parser.head_started_at
        if started_at is not None:
            return max(0.0, limits.header_s - (now - started_at))
        allowed_s = limits.idle_s + (
            self._parser.body_bytes / MIN_BODY_BYTES_PER_S
        )
        return max(0.0, min(BODY_TIMEOUT_S, self._body_at + allowed_s - now))
