"""A caller's connection: a task for it and one for each request.

`aiohttp` serves the requests of a connection one after the other. Callers
here pipeline their requests, so those of one connection run concurrently and
are answered in order.
"""

import asyncio
import logging
from contextlib import aclosing, suppress
from functools import singledispatchmethod

from radishstile.catalog.catalog import CallerLimits
from radishstile.entry.buffers import BufferBudget
from radishstile.entry.caller_request import (
    Answer,
    BufferedAnswer,
    CallerRequest,
    StreamedAnswer,
)
from radishstile.entry.forwarding import RequestForwarder
from radishstile.entry.logs import log_fields
from radishstile.entry.node import EntryNode, read_clock
from radishstile.errors import HttpError, RefusalError
from radishstile.http.message import Request
from radishstile.http.parser import RequestParser
from radishstile.http.stream import ByteStream
from radishstile.outcome import Outcome, Reason
from radishstile.platform.http_codec import (
    decode_caller_request,
    encode_answer,
    encode_refusal,
    find_status,
)

_LOG = logging.getLogger("radishstile.callers")

# Concurrent requests per connection; further ones stay unread.
PIPELINE_LIMIT = 32
# Read timeout of a request's body in seconds: the longest timeout of the
# configured routes.
BODY_TIMEOUT_S = 10.0
# Retry-After of a host that stops, in seconds: others serve at once.
STOPPING_RETRY_S = 0.05
# Retry-After of a request that the buffers have no space for, in seconds:
# about the time that a long upload takes.
BUFFER_RETRY_S = 1.0
# How long bytes that follow a refused request are read, in seconds.
LINGER_S = 1.0

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_REASON_BY_STATUS = {
    400: Reason.BAD_REQUEST,
    408: Reason.SLOW_CALLER,
    413: Reason.BODY_TOO_LARGE,
    431: Reason.HEADERS_TOO_LARGE,
}


class CallerConnection:
    """A caller's connection: reads requests, writes answers in order."""

    __slots__ = (
        "refuses_requests",
        "_node",
        "_forwarder",
        "_buffers",
        "_unread_reservation",
        "_stream",
        "_tasks",
        "_newest_task",
        "_pipeline_slots",
        "_is_closing",
    )

    def __init__(
        self,
        node: EntryNode,
        forwarder: RequestForwarder,
        buffers: BufferBudget,
        stream: ByteStream,
    ):
        self.refuses_requests = False
        self._buffers = buffers
        # For the bodies of requests that were not started.
        self._unread_reservation = buffers.open()
        self._node = node
        self._forwarder = forwarder
        self._stream = stream
        self._tasks: set[asyncio.Task] = set()
        self._newest_task: asyncio.Task | None = None
        self._pipeline_slots = asyncio.Semaphore(PIPELINE_LIMIT)
        self._is_closing = False

    @property
    def is_busy(self) -> bool:
        """Return whether a request is in flight or bytes are unread."""
        return bool(self._tasks) or not self._stream.is_reusable

    def close(self) -> None:
        """Close the connection after the bytes already written."""
        self._is_closing = True
        self._stream.close()

    async def serve(self) -> None:
        """Serve requests until either side closes the connection."""
        limits = self._read_limits()
        parser = RequestParser(limits.header_bytes, limits.body_bytes)
        try:
            while await self._read_some(parser, limits):
                while parser.requests and not self._is_closing:
                    await self._start(parser.requests.popleft())
                    self._unread_reservation.resize(parser.count_buffered())
            await self._await_last_answers()
        except HttpError as error:
            await self._refuse_malformed(error)
        except RefusalError as refusal:
            parser.discard_body()
            self._unread_reservation.close()
            await self._refuse_unread(refusal)
        except ConnectionError as error:
            _LOG.debug("callers: Connection lost: %s", error)
        finally:
            # Nobody waits for the answers any more: cancelling the requests
            # also aborts them at their upstreams.
            for task in self._tasks:
                task.cancel()
            self._stream.close()
            self._unread_reservation.close()

    def _read_limits(self) -> CallerLimits:
        catalog = self._node.catalog
        return catalog.limits if catalog else CallerLimits()

    async def _read_some(
        self, parser: RequestParser, limits: CallerLimits
    ) -> bool:
        """Read and parse bytes; return False at the connection's end."""
        if self._is_closing:
            return False
        try:
            async with asyncio.timeout(
                self._find_read_timeout(parser, limits)
            ):
                data = await self._stream.read()
        except TimeoutError:
            if parser.is_incomplete:
                raise HttpError(
                    408, "timed out while reading the request"
                ) from None
            # The connection is idle unless requests are in flight.
            return bool(self._tasks)
        if not data:
            return False
        parser.feed(data, read_clock())
        if not self._unread_reservation.resize(parser.count_buffered()):
            raise RefusalError(
                Reason.OVERLOADED,
                Outcome.NOT_RUN,
                BUFFER_RETRY_S,
                "the host's buffers are full",
            )
        if parser.expects_continue:
            parser.expects_continue = False
            self._stream.write(_CONTINUE)
        return True

    def _find_read_timeout(
        self, parser: RequestParser, limits: CallerLimits
    ) -> float:
        if not parser.is_incomplete:
            return limits.idle_s
        if parser.head_started_at is None:
            return BODY_TIMEOUT_S
        elapsed_s = read_clock() - parser.head_started_at
        return max(0.0, limits.header_s - elapsed_s)

    async def _start(self, request: Request) -> None:
        await self._pipeline_slots.acquire()
        self._newest_task = asyncio.ensure_future(
            self._run_request(request, self._newest_task)
        )
        self._tasks.add(self._newest_task)

    async def _run_request(
        self, request: Request, previous: asyncio.Task | None
    ) -> None:
        """Answer a request; an unexpected error aborts the connection."""
        reservation = self._buffers.open()
        reservation.resize(len(request.body))
        try:
            await self._answer(request, previous)
        except Exception:
            _LOG.exception(
                "callers: Unexpected error while serving a request."
            )
            self._stream.abort()
        finally:
            reservation.close()
            self._tasks.discard(asyncio.current_task())
            self._pipeline_slots.release()

    async def _await_last_answers(self) -> None:
        """Wait for pending answers if this side closes the connection."""
        if self._is_closing and self._tasks:
            await asyncio.wait(self._tasks)

    async def _refuse_malformed(self, error: HttpError) -> None:
        """Refuse a malformed request once earlier ones are answered."""
        reason = _REASON_BY_STATUS.get(error.status, Reason.BAD_REQUEST)
        refusal = RefusalError(reason, Outcome.NOT_RUN, detail=str(error))
        await self._refuse_unread(refusal)

    async def _refuse_unread(self, refusal: RefusalError) -> None:
        """Refuse a request that was not read whole, after earlier ones."""
        if self._tasks:
            await asyncio.wait(self._tasks)
        self._stream.write(encode_refusal(refusal, "", True))
        _LOG.warning(
            "callers: Request not read.",
            extra=log_fields(status=find_status(refusal), why=str(refusal)),
        )
        await self._discard_rest()

    async def _discard_rest(self) -> None:
        """Read on for a while, so that the refusal reaches the caller.

        Closing a connection with unread bytes would reset it.
        """
        self._stream.end_writing()
        with suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(LINGER_S):
                while await self._stream.read():
                    continue

    async def _answer(
        self, request: Request, previous: asyncio.Task | None
    ) -> None:
        """Serve a request, and write its answer after the previous one."""
        request_id = ""
        try:
            caller_request = decode_caller_request(request)
            request_id = caller_request.request_id
            self._check_accepting()
            answer = await self._forwarder.serve(caller_request)
        except RefusalError as refusal:
            await _wait_for(previous)
            self._write_refusal(request, request_id, refusal)
            return
        try:
            await _wait_for(previous)
            await self._write(answer, caller_request)
        finally:
            await answer.close()

    def _check_accepting(self) -> None:
        if self.refuses_requests:
            raise RefusalError(
                Reason.STOPPING,
                Outcome.NOT_RUN,
                STOPPING_RETRY_S,
                "the host stops before the request could complete",
            )

    def _write_refusal(
        self, request: Request, request_id: str, refusal: RefusalError
    ) -> None:
        is_last = self._decide_close(request)
        self._stream.write(encode_refusal(refusal, request_id, is_last))
        status = find_status(refusal)
        self._count(request, status, refusal.reason.value)
        _LOG.warning(
            "callers: Request refused.",
            extra=log_fields(
                request=request_id,
                status=status,
                reason=refusal.reason.value,
                outcome=refusal.outcome.value,
                why=str(refusal),
                retry_after=refusal.retry_after,
                age_s=round(read_clock() - request.received_at, 3),
            ),
        )
        if is_last:
            self.close()

    @singledispatchmethod
    async def _write(
        self, answer: Answer, caller_request: CallerRequest
    ) -> None:
        raise TypeError(type(answer).__name__)

    @_write.register
    async def _(
        self, answer: BufferedAnswer, caller_request: CallerRequest
    ) -> None:
        is_last = self._decide_close(caller_request.http_request)
        length = sum(map(len, answer.parts))
        head = encode_answer(answer.head, length, is_last)
        self._stream.write(b"".join([head, *answer.parts]))
        self._count(caller_request.http_request, answer.head.status, "")
        if is_last:
            self.close()
            return
        # Further answers wait for a caller that does not read.
        with suppress(ConnectionError):
            await self._stream.drain()

    @_write.register
    async def _(
        self, answer: StreamedAnswer, caller_request: CallerRequest
    ) -> None:
        is_last = self._decide_close(caller_request.http_request)
        length = answer.head.find(b"content-length")
        size = None if length is None else int(length)
        self._stream.write(encode_answer(answer.head, size, is_last))
        try:
            async with aclosing(answer.body.read()) as parts:
                async for part in parts:
                    self._stream.write(_frame_part(part, size))
                    await self._stream.drain()
        except (RefusalError, ConnectionError) as error:
            # Abort, so that a truncated answer doesn't look complete.
            self._stream.abort()
            _LOG.warning(
                "callers: Answer truncated.",
                extra=log_fields(
                    request=caller_request.request_id, why=str(error)
                ),
            )
            return
        if size is None:
            self._stream.write(b"0\r\n\r\n")
        self._count(caller_request.http_request, answer.head.status, "")
        if is_last:
            self.close()

    def _decide_close(self, request: Request) -> bool:
        """Return whether to close the connection after this answer.

        It stays open while later requests on it are in flight.
        """
        is_newest = self._newest_task is asyncio.current_task()
        wants_end = self._node.is_leaving or not request.keeps_alive
        if is_newest and wants_end:
            self._is_closing = True
            return True
        return False

    def _count(self, request: Request, status: int, reason: str) -> None:
        metrics = self._node.metrics
        metrics.answers.inc({"status": str(status), "reason": reason})
        metrics.latency.observe({}, read_clock() - request.received_at)


async def _wait_for(task: asyncio.Task | None) -> None:
    """Wait until the previous answer has been written."""
    if task is not None and not task.done():
        await asyncio.wait({task})


def _frame_part(part: bytes, size: int | None) -> bytes:
    if size is not None:
        return part
    return b"%x\r\n%b\r\n" % (len(part), part)
