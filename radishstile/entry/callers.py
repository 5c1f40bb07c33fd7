"""A caller's connection: a task for it and one for each request.

Callers pipeline their requests, so those of one connection run concurrently
and are answered in order.
"""

import asyncio
import logging

from radishstile.catalog.catalog import CallerLimits
from radishstile.entry.answer_writer import AnswerWriter
from radishstile.entry.buffers import BufferBudget, Kind
from radishstile.entry.forwarding import RequestForwarder
from radishstile.entry.logs import log_fields
from radishstile.entry.node import EntryNode, read_clock
from radishstile.entry.parse_turns import ParseTurns
from radishstile.entry.refusals import make_internal_refusal
from radishstile.entry.request_reader import MEMORY_RETRY_S, RequestReader
from radishstile.errors import HttpError, RefusalError
from radishstile.http.closing import ClosingLimits, close_gracefully
from radishstile.http.message import Request
from radishstile.http.stream import ByteStream
from radishstile.outcome import Outcome, Reason
from radishstile.platform.http_codec import (
    decode_caller_request,
    encode_refusal,
    find_status,
)

_LOG = logging.getLogger("radishstile.callers")

# Concurrent requests per connection; further ones stay unread.
PIPELINE_LIMIT = 32
# Memory of a connection with the task of one request, in bytes; measured 10 KB
# with a pooled connection to an upstream.
CONNECTION_BYTES = 16_384
# Memory of the task of each further request, in bytes.
RUN_BYTES = 8192

_CLOSING_LIMITS = ClosingLimits()
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_REASON_BY_STATUS = {
    400: Reason.BAD_REQUEST,
    408: Reason.SLOW_CALLER,
    413: Reason.BODY_TOO_LARGE,
    431: Reason.HEADERS_TOO_LARGE,
}


class CallerConnection:
    """A caller's connection: reads requests, writes answers in order.

    `holder` is charged with what is kept for the connection.
    """

    __slots__ = (
        "holder",
        "_node",
        "_forwarder",
        "_budget",
        "_reader",
        "_writer",
        "_stream",
        "_tasks",
        "_newest_task",
        "_running_bytes",
        "_is_closing",
        "_has_ended_writing",
    )

    def __init__(
        self,
        node: EntryNode,
        forwarder: RequestForwarder,
        budget: BufferBudget,
        stream: ByteStream,
        turns: ParseTurns,
    ):
        self.holder = budget.hold(self)
        self.holder.charge(Kind.CONNECTION, CONNECTION_BYTES)
        self._budget = budget
        self._node = node
        self._forwarder = forwarder
        self._stream = stream
        self._writer = AnswerWriter(stream, self.holder, node.metrics)
        self._reader = RequestReader(
            stream, self.holder, read_limits(node), turns
        )
        self._tasks: set[asyncio.Task] = set()
        self._newest_task: asyncio.Task | None = None
        # Memory of the requests in flight.
        self._running_bytes = 0
        # Whether no more requests are read, and whether no more is written.
        self._is_closing = False
        self._has_ended_writing = False

    @property
    def is_busy(self) -> bool:
        """Return whether a request is in flight or bytes are unread."""
        return (
            bool(self._tasks)
            or self._stream.is_ended
            or self._reader.has_unread
        )

    @property
    def peer_address(self) -> str:
        """Return the caller's IP address, empty if it is not known."""
        return self._stream.peer_address

    def close(self) -> None:
        """Close the connection after the bytes already written.

        `serve` reads on until the caller has them.
        """
        self._is_closing = True
        if not self._has_ended_writing:
            self._has_ended_writing = True
            self._stream.end_writing()
            self._stream.interrupt_read()

    def refresh(self, now: float) -> None:
        """Bring the holder up to date."""
        self._writer.charge_unsent(now)
        self._writer.record_acknowledged(now)
        self._reader.charge_unread()
        holder = self.holder
        holder.is_waiting = (
            holder.get(Kind.UNSENT) > 0
            or not self._tasks
            or self._reader.is_incomplete
        )

    def evict(self) -> None:
        """Give up what is held for the connection.

        A request that has arrived partly is refused as not run, unless
        answers are to be written before.
        """
        is_refusable = (
            self._reader.is_incomplete
            and not self._tasks
            and not self._has_ended_writing
        )
        self._is_closing = True
        self._reader.discard()
        self._budget.forget(self.holder)
        if self._tasks or self._stream.unsent_bytes:
            # Running requests hold memory and slots until they end.
            for task in self._tasks:
                task.cancel()
            self._stream.abort()
            return
        if is_refusable:
            refusal = RefusalError(
                Reason.OVERLOADED,
                Outcome.NOT_RUN,
                MEMORY_RETRY_S,
                "the host's memory is full",
            )
            self._stream.write(encode_refusal(refusal, "", True))
            self.close()
            return
        self._stream.close()

    def abort_stalled(self, now: float, limit_s: float) -> bool:
        """Abort if the caller has not read for too long; return whether.

        An answer that is cut off doesn't look complete.
        """
        self.refresh(now)
        if not self._stream.is_acknowledged:
            self._stream.adapt_user_timeout()
        if not self.holder.get(Kind.UNSENT):
            return False
        allowed_until = max(
            self.holder.progress_at + limit_s, self._writer.may_pause_until
        )
        if now <= allowed_until:
            return False
        self._stream.abort()
        return True

    def charge_unread(self) -> None:
        """Charge received bytes."""
        self._reader.charge_unread()

    async def serve(self) -> None:
        """Serve requests until either side closes the connection."""
        try:
            refusal = await self._serve_requests()
            if refusal is not None:
                await self._refuse_unread(refusal)
            if not self._stream.is_ended:
                self._has_ended_writing = True
                await close_gracefully(self._stream, _CLOSING_LIMITS)
        except ConnectionError as error:
            _LOG.debug("callers: Connection lost: %s", error)
        finally:
            # Nobody waits for the answers any more: cancelling the requests
            # also aborts them at their upstreams.
            for task in self._tasks:
                task.cancel()
            self._reader.discard()
            self._stream.close()

    async def _serve_requests(self) -> RefusalError | None:
        """Return why a request was not read, None at the connection's end.

        The refusal has no traceback: it would keep what was being parsed.
        """
        try:
            while await self._read_some():
                await self._start_requests()
                await self._ask_for_body()
            await self._await_last_answers()
        except HttpError as error:
            reason = _REASON_BY_STATUS.get(error.status, Reason.BAD_REQUEST)
            return RefusalError(reason, Outcome.NOT_RUN, detail=str(error))
        except RefusalError as refusal:
            return refusal.with_traceback(None)
        return None

    async def wait_closed(self) -> None:
        """Wait until what was written is sent, or the caller is aborted.

        Requests that were cancelled hold their memory until they have ended.
        """
        if self._tasks:
            await asyncio.wait(self._tasks)
        await self._stream.wait_closed()

    async def _read_some(self) -> bool:
        """Read and parse bytes; return False at the connection's end."""
        if self._is_closing:
            return False
        return await self._reader.read(bool(self._tasks))

    async def _ask_for_body(self) -> None:
        """Tell a caller that waits for it to send the body of a request."""
        if not self._reader.take_expectation():
            return
        # It would be taken for a part of an earlier answer.
        while self._tasks:
            await self._wait_for_request()
        self._stream.write(_CONTINUE)

    async def _start_requests(self) -> None:
        while not self._is_closing and not self._stream.is_lost:
            request = self._reader.take_request()
            if request is None:
                return
            await self._start(request)

    async def _start(self, request: Request) -> None:
        size = request.measure()
        while not self._has_space(size):
            await self._wait_for_request()
        if self._is_closing:
            # It was read too late: its caller sends it again.
            return
        self._newest_task = asyncio.ensure_future(
            self._run_request(request, size, self._newest_task)
        )
        self._tasks.add(self._newest_task)
        self._charge_running(size)

    def _has_space(self, size: int) -> bool:
        """Return whether a request of `size` bytes may start beside others.

        The connection's own charge covers one task.
        """
        if len(self._tasks) >= PIPELINE_LIMIT:
            return False
        return not self._tasks or self._budget.has_room(
            self.holder, size + RUN_BYTES
        )

    async def _wait_for_request(self) -> None:
        """Wait until one of the requests in flight has ended.

        Raises `ConnectionResetError` if the caller leaves, which no read
        would tell meanwhile.
        """
        ended = asyncio.ensure_future(self._stream.wait_ended())
        try:
            await asyncio.wait(
                {ended, *self._tasks}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            ended.cancel()
        if self._stream.is_ended:
            raise ConnectionResetError("the caller has left")

    def _charge_running(self, size: int) -> None:
        """Count a request in flight, or one that has ended if negative."""
        self._running_bytes += size
        tasks = max(0, len(self._tasks) - 1)
        self.holder.charge(
            Kind.REQUEST, self._running_bytes + tasks * RUN_BYTES
        )
        self._reader.charge_waiting()

    async def _run_request(
        self, request: Request, size: int, previous: asyncio.Task | None
    ) -> None:
        """Answer a request; an error while writing aborts the connection."""
        try:
            await self._answer(request, previous)
        except Exception:
            _LOG.exception(
                "callers: Unexpected error while writing an answer."
            )
            self._stream.abort()
        finally:
            self._tasks.discard(asyncio.current_task())
            self._charge_running(-size)
            self.holder.has_served = True
            self.holder.record_progress(read_clock())

    async def _await_last_answers(self) -> None:
        """Wait for pending answers if this side closes the connection."""
        if self._is_closing and self._tasks:
            await asyncio.wait(self._tasks)

    async def _refuse_unread(self, refusal: RefusalError) -> None:
        """Refuse a request that was not read whole, after earlier ones."""
        self._reader.discard()
        if self._tasks:
            await asyncio.wait(self._tasks)
        self._stream.write(encode_refusal(refusal, "", True))
        self._node.metrics.unread_requests.inc(
            {"reason": refusal.reason.value}
        )
        _LOG.warning(
            "callers: Request not read.",
            extra=log_fields(status=find_status(refusal), why=str(refusal)),
        )

    async def _answer(
        self, request: Request, previous: asyncio.Task | None
    ) -> None:
        """Serve a request, and write its answer after the previous one."""
        request_id = ""
        try:
            caller_request = decode_caller_request(request)
            request_id = caller_request.request_id
            caller_request.holder = self.holder
            answer = await self._forwarder.serve(caller_request)
        except RefusalError as refusal:
            await self._refuse(refusal, request, request_id, previous)
            return
        except Exception:
            # The other requests of the connection run elsewhere.
            _LOG.exception("callers: Unexpected error before a request ran.")
            refusal = make_internal_refusal(may_have_run=False)
            await self._refuse(refusal, request, request_id, previous)
            return
        try:
            await _wait_for(previous)
            is_last = self._decide_close(request)
            await self._writer.write(answer, caller_request, is_last)
            self._close_if(is_last)
        finally:
            await answer.close()

    async def _refuse(
        self,
        refusal: RefusalError,
        request: Request,
        request_id: str,
        previous: asyncio.Task | None,
    ) -> None:
        """Write a refusal after the previous answer."""
        await _wait_for(previous)
        is_last = self._decide_close(request)
        await self._writer.write_refusal(refusal, request, request_id, is_last)
        self._close_if(is_last)

    def _close_if(self, is_last: bool) -> None:
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


def read_limits(node: EntryNode) -> CallerLimits:
    """Return the configuration's limits of callers."""
    return node.catalog.limits if node.catalog else CallerLimits()


async def _wait_for(task: asyncio.Task | None) -> None:
    """Wait until the previous answer has been written."""
    if task is not None and not task.done():
        await asyncio.wait({task})
