"""One attempt of a request at the upstream of a slot."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

from radishstile.entry.admission import AdmissionController
from radishstile.entry.body import UpstreamBody
from radishstile.entry.buffers import BufferBudget, BufferReservation
from radishstile.entry.caller_request import (
    Answer,
    BufferedAnswer,
    StreamedAnswer,
)
from radishstile.entry.claims import Slot
from radishstile.entry.connection_pool import (
    ConnectionPool,
    UpstreamConnection,
    read_buffered,
)
from radishstile.entry.logs import (
    describe_load,
    drop_infinity,
    log_fields,
)
from radishstile.entry.node import EntryNode, read_clock
from radishstile.entry.plan import AttemptResult, Attempts, RequestPlan
from radishstile.errors import (
    HttpError,
    LoadReportError,
    UpstreamUnreachableError,
)
from radishstile.http.message import AnswerHead
from radishstile.http.parser import AnswerLimits, AnswerParser
from radishstile.platform.http_codec import (
    REQUEST_ID,
    classify_answer,
    encode_request_head,
    read_leaving,
    read_load,
    read_pause,
    read_rate_limit,
)
from radishstile.slot.claim import Ending
from radishstile.slot.load_report import LoadReport
from radishstile.upstream.departure import LeavingReport
from radishstile.upstream.registration import Registration

_LOG = logging.getLogger("radishstile.forwarding")


class AttemptRunner:
    """Sends requests to the upstreams of their slots, and gives these back."""

    __slots__ = (
        "_node",
        "_admission",
        "_connections",
        "_answer_limits",
        "_buffers",
    )

    def __init__(
        self,
        node: EntryNode,
        admission: AdmissionController,
        connections: ConnectionPool,
        answer_limits: AnswerLimits,
        buffers: BufferBudget,
    ):
        self._node = node
        self._admission = admission
        self._connections = connections
        self._answer_limits = answer_limits
        self._buffers = buffers

    async def run(
        self, plan: RequestPlan, slot: Slot, attempts: Attempts
    ) -> AttemptResult:
        """Make one attempt at the slot's upstream."""
        upstream_id = slot.grant.upstream_id
        started_at = read_clock()
        ending = Ending.ABANDONED
        rate_limit = load = result = None
        is_streaming = False
        try:
            upstream = self._find_usable(upstream_id)
            if upstream is None:
                # It is new, and not known here yet, or leaving or paused. The
                # slot ends as abandoned, since nothing is known of its health.
                return AttemptResult(
                    Ending.UNREACHABLE,
                    upstream_id,
                    detail="upstream is not in use at this host",
                )
            connection = await self._connections.acquire(upstream)
            ending = Ending.TIMED_OUT
            result = await self._send(
                plan, slot, upstream, connection, attempts
            )
            ending = result.ending
            rate_limit, load = result.rate_limit, result.load
            is_streaming = type(result.answer) is StreamedAnswer
            return result
        except UpstreamUnreachableError as error:
            ending = Ending.UNREACHABLE
            return AttemptResult(ending, upstream_id, detail=str(error))
        except asyncio.CancelledError:
            if read_clock() < plan.deadline_at:
                ending = Ending.ABANDONED
            cancelled = AttemptResult(ending, upstream_id, detail="cancelled")
            cancelled.held_s = read_clock() - started_at
            log_attempt(plan, slot, cancelled)
            raise
        except Exception as error:
            # An error that nobody foresaw ends this attempt only.
            _LOG.exception("forwarding: Unexpected error in an attempt.")
            ending = (
                Ending.BROKEN if attempts.is_in_flight else Ending.UNREACHABLE
            )
            return AttemptResult(
                ending, upstream_id, detail=type(error).__name__
            )
        finally:
            # The slot of a streamed answer is released at the body's end.
            if not is_streaming:
                held_s = read_clock() - started_at
                self._node.metrics.hold_time.observe({}, held_s)
                release = slot.release(ending, held_s, rate_limit, load)
                await _release(release, result)

    async def _send(
        self,
        plan: RequestPlan,
        slot: Slot,
        upstream: Registration,
        connection: UpstreamConnection,
        attempts: Attempts,
    ) -> AttemptResult:
        """Send the request and read the answer."""
        request = plan.request
        parser = AnswerParser(
            REQUEST_ID,
            request.request_id.encode("latin-1"),
            self._answer_limits,
        )
        started_at = read_clock()
        name = plan.workspace.name if plan.workspace else ""
        reservation = self._buffers.open(request.holder)
        result = None
        try:
            left_s = plan.deadline_at - started_at
            head = encode_request_head(request, upstream, name, left_s)
            attempts.begin()
            connection.send(head, request.http_request.body, left_s)
            result = await self._receive(
                plan, slot, upstream, connection, parser, reservation
            )
            return result
        except (ConnectionError, HttpError) as error:
            return AttemptResult(
                Ending.BROKEN, upstream.upstream_id, detail=str(error)
            )
        finally:
            if parser.head is not None:
                self._read_leaving(upstream, parser.head)
                self._read_pause(upstream, parser.head)
            self._finish_send(upstream, connection, parser, result)
            if result is None:
                reservation.close()

    async def _receive(
        self,
        plan: RequestPlan,
        slot: Slot,
        upstream: Registration,
        connection: UpstreamConnection,
        parser: AnswerParser,
        reservation: BufferReservation,
    ) -> AttemptResult:
        """Read an answer, whole if it is short."""
        parts = await read_buffered(connection, parser, reservation)
        result = AttemptResult(
            classify_answer(parser.head), upstream.upstream_id
        )
        result.rate_limit = read_rate_limit(parser.head)
        result.load = self._read_load(parser.head)
        if parser.is_complete:
            result.answer = BufferedAnswer(
                parser.head, parts, reservation, plan.deadline_at
            )
            return result
        body = UpstreamBody(
            slot,
            upstream,
            connection,
            parser,
            parts,
            result,
            plan.deadline_at,
            self._connections,
            reservation,
        )
        result.answer = StreamedAnswer(parser.head, body, plan.deadline_at)
        return result

    def _read_load(self, head: AnswerHead) -> LoadReport | None:
        """Return the load named in an answer; count one that is malformed."""
        try:
            return read_load(head, read_clock())
        except LoadReportError:
            self._node.metrics.count_load("malformed")
            return None

    def _find_usable(self, upstream_id: str) -> Registration | None:
        """Return the upstream if this host may send it a request."""
        upstream = self._node.registry.find_usable(upstream_id)
        if upstream is None:
            return None
        pauses = self._node.pauses
        if pauses.is_paused(upstream.incarnation, read_clock()):
            return None
        return upstream

    def _read_pause(self, upstream: Registration, head: AnswerHead) -> None:
        """Begin the pause that an upstream asks for as it turns away."""
        pause_s = read_pause(head)
        if pause_s is None:
            self._node.metrics.count_pause("malformed")
            return
        if not pause_s:
            return
        is_new = self._node.pauses.begin(
            upstream.incarnation, pause_s, read_clock()
        )
        if is_new:
            self._node.metrics.count_pause("new")
            _LOG.info(
                "forwarding: Upstream asks for a pause.",
                extra=log_fields(
                    upstream=upstream.upstream_id, pause_s=pause_s
                ),
            )

    def _read_leaving(self, upstream: Registration, head: AnswerHead) -> None:
        """Report an upstream that says that it leaves, in any answer."""
        is_leaving = read_leaving(head)
        if is_leaving is None:
            self._node.metrics.count_leaving("malformed")
        elif is_leaving:
            self._admission.apply_report(
                LeavingReport(upstream.upstream_id, upstream.started_at_ms)
            )

    def _finish_send(
        self,
        upstream: Registration,
        connection: UpstreamConnection,
        parser: AnswerParser,
        result: AttemptResult | None,
    ) -> None:
        """Keep the connection of a whole answer; abort that of none."""
        if result is not None and not parser.is_complete:
            return
        if result is None or not self._connections.keep(
            upstream, connection, parser
        ):
            connection.abort()


def log_attempt(plan: RequestPlan, slot: Slot, result: AttemptResult) -> None:
    """Log how an attempt ended."""
    is_good = result.ending is Ending.SERVED
    level = logging.INFO if is_good else logging.WARNING
    _LOG.log(
        level,
        "forwarding: Attempt ended.",
        extra=log_fields(
            request=plan.request.request_id,
            route=plan.route.name,
            version=plan.version,
            service=plan.service,
            upstream=result.upstream_id,
            object=plan.request.affinity_key,
            warm=slot.grant.is_warm,
            expected_s=round(slot.grant.expected_s, 3),
            held_s=round(result.held_s, 3),
            ending=result.ending.value,
            rate_limit=drop_infinity(result.rate_limit),
            **describe_load(result.load, read_clock()),
            why=result.detail,
            age_s=round(
                read_clock() - plan.request.http_request.received_at, 3
            ),
        ),
    )


async def _release(
    release: Coroutine[Any, Any, None], result: AttemptResult | None
) -> None:
    """Give a slot back; an answer is freed if nobody waits for it by then."""
    try:
        await asyncio.shield(release)
    except asyncio.CancelledError:
        if result is not None:
            await discard(result.answer)
        raise


async def discard(answer: Answer | None) -> None:
    """Free what an answer occupies that is not passed on."""
    if answer is not None:
        await answer.close()
