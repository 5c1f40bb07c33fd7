"""Writes the answers to a caller's requests."""

import asyncio
import logging
from contextlib import aclosing, suppress
from functools import singledispatchmethod

from radishstile.entry.buffers import Holder, Kind
from radishstile.entry.caller_request import (
    Answer,
    BufferedAnswer,
    CallerRequest,
    StreamedAnswer,
)
from radishstile.entry.logs import log_fields
from radishstile.entry.metrics import EntryMetrics
from radishstile.entry.node import read_clock
from radishstile.errors import RefusalError
from radishstile.http.message import Request
from radishstile.http.stream import UNSENT_LIMIT_BYTES, ByteStream
from radishstile.platform.http_codec import (
    encode_answer,
    encode_refusal,
    find_status,
)

_LOG = logging.getLogger("radishstile.callers")

# Size up to which an answer is written in one piece, in bytes.
JOIN_BYTES = 16_384
# Unsent bytes of a long answer where the host's memory is short.
SHORT_UNSENT_BYTES = 8192


class AnswerWriter:
    """Writes answers, one after another, as fast as the caller reads.

    What the caller has not taken is charged to `holder`. `is_last` tells
    whether the connection is to be closed after the answer. `may_pause_until`
    is the loop's time, in seconds, until which a caller may take nothing: the
    latest deadline of the answers that are complete at this host. Others
    occupy a slot of their upstream.
    """

    __slots__ = (
        "may_pause_until",
        "_stream",
        "_holder",
        "_metrics",
        "_acknowledged_bytes",
    )

    def __init__(
        self, stream: ByteStream, holder: Holder, metrics: EntryMetrics
    ):
        self.may_pause_until = 0.0
        self._stream = stream
        self._holder = holder
        self._metrics = metrics
        self._acknowledged_bytes = 0

    def charge_unsent(self, now: float) -> None:
        """Charge what was written and not taken by the kernel yet."""
        unsent = self._stream.unsent_bytes
        is_first = unsent > 0 and not self._holder.get(Kind.UNSENT)
        self._holder.charge(Kind.UNSENT, unsent)
        if is_first:
            # Until now the caller had nothing to read.
            self._holder.record_progress(now)
            self._acknowledged_bytes = self._stream.acknowledged_bytes

    def record_acknowledged(self, now: float) -> None:
        """Record what the caller has acknowledged as progress.

        The kernel takes more bytes in large steps only, seconds apart where a
        caller reads slowly.
        """
        if not self._holder.get(Kind.UNSENT):
            return
        delivered = self._stream.acknowledged_bytes
        if delivered > self._acknowledged_bytes:
            self._holder.record_moved(
                delivered - self._acknowledged_bytes, now
            )
        self._acknowledged_bytes = delivered

    async def write_refusal(
        self,
        refusal: RefusalError,
        request: Request,
        request_id: str,
        is_last: bool,
    ) -> None:
        """Write the answer to a refused request."""
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
        await self._drain()

    @singledispatchmethod
    async def write(
        self, answer: Answer, caller_request: CallerRequest, is_last: bool
    ) -> None:
        """Write an answer of an upstream."""
        raise TypeError(type(answer).__name__)

    @write.register
    async def _(
        self,
        answer: BufferedAnswer,
        caller_request: CallerRequest,
        is_last: bool,
    ) -> None:
        length = sum(map(len, answer.parts))
        head = encode_answer(answer.head, length, is_last)
        self._write_parts(head, answer.parts, length)
        self._count(caller_request.http_request, answer.head.status, "")
        self.may_pause_until = max(self.may_pause_until, answer.deadline_at)
        await self._drain()

    @write.register
    async def _(
        self,
        answer: StreamedAnswer,
        caller_request: CallerRequest,
        is_last: bool,
    ) -> None:
        length = answer.head.find(b"content-length")
        size = None if length is None else int(length)
        self._stream.write(encode_answer(answer.head, size, is_last))
        try:
            async with aclosing(answer.body.read()) as parts:
                async for part in parts:
                    self._stream.write(_frame_part(part, size))
                    # It isn't kept while the next one is awaited.
                    del part
                    self.charge_unsent(read_clock())
                    self._stream.set_unsent_limit(self._choose_unsent_limit())
                    # A caller that trickles doesn't keep the slot for longer.
                    async with asyncio.timeout_at(answer.body.deadline_at):
                        await self._stream.drain()
        except (RefusalError, ConnectionError, TimeoutError) as error:
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
        self.may_pause_until = max(self.may_pause_until, answer.deadline_at)
        self._count(caller_request.http_request, answer.head.status, "")

    def _write_parts(
        self, head: bytes, parts: list[bytes], length: int
    ) -> None:
        """Write an answer; long parts are not copied."""
        if length <= JOIN_BYTES:
            self._stream.write(b"".join([head, *parts]))
        else:
            self._stream.write(head)
            for part in parts:
                self._stream.write(part)
        # From here on they count as unsent.
        parts.clear()

    def _choose_unsent_limit(self) -> int:
        """Return the unsent bytes above which to wait for the caller."""
        is_short = self._holder.is_budget_short
        return SHORT_UNSENT_BYTES if is_short else UNSENT_LIMIT_BYTES

    async def _drain(self) -> None:
        """Let further answers wait for a caller that does not read."""
        self.charge_unsent(read_clock())
        with suppress(ConnectionError):
            await self._stream.drain()

    def _count(self, request: Request, status: int, reason: str) -> None:
        self._metrics.answers.inc({"status": str(status), "reason": reason})
        self._metrics.latency.observe({}, read_clock() - request.received_at)


def _frame_part(part: bytes, size: int | None) -> bytes:
    if size is not None:
        return part
    return b"%x\r\n%b\r\n" % (len(part), part)
