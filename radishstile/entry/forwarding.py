"""Forwarding of a caller's request to upstreams, with retries."""

import asyncio
import itertools
import logging
from collections.abc import Coroutine
from typing import Any

from radishstile.catalog.catalog import (
    Catalog,
    Route,
    Split,
    Workspace,
    intersect_regions,
)
from radishstile.entry.admission import ClaimTerms
from radishstile.entry.body import UpstreamBody
from radishstile.entry.buffers import BufferBudget, BufferReservation
from radishstile.entry.caller_request import (
    Answer,
    BufferedAnswer,
    CallerRequest,
    StreamedAnswer,
)
from radishstile.entry.claims import Slot, SlotClient
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
from radishstile.entry.node import EntryNode, read_boottime_clock, read_clock
from radishstile.entry.plan import (
    NOT_RUN_ENDINGS,
    AttemptResult,
    Attempts,
    RequestPlan,
    choose_priority,
    choose_shared_priority,
    make_fingerprint,
)
from radishstile.entry.stop_plan import StopPlan
from radishstile.errors import (
    HttpError,
    LoadReportError,
    RefusalError,
    UpstreamUnreachableError,
)
from radishstile.http.message import AnswerHead
from radishstile.http.parser import AnswerLimits, AnswerParser
from radishstile.outcome import Outcome, Reason
from radishstile.platform.http_codec import (
    REQUEST_ID,
    classify_answer,
    encode_request_head,
    read_load,
    read_rate_limit,
)
from radishstile.run.budget import RetryBudget
from radishstile.slot.claim import Claim, Ending
from radishstile.slot.load_report import LoadReport
from radishstile.upstream.registration import Registration

_LOG = logging.getLogger("radishstile.forwarding")

# Retry-After in seconds where no better estimate is known.
DEFAULT_RETRY_AFTER_S = 0.5
# Retry-After of a host that stops, in seconds: others serve at once.
STOPPING_RETRY_S = 0.05
# Longest Retry-After as a share of the time until the caller's deadline;
# callers honour up to a third.
RETRY_AFTER_SHARE = 0.3
# Connection attempts for one request; nothing is sent on failed ones.
CONNECT_ATTEMPTS = 4
# Minimum time until the deadline for another attempt, in seconds.
MIN_RETRY_TIME_S = 0.1

# Endings after which an idempotent request is retried although it may have
# run.
_RETRYABLE_ENDINGS = frozenset({Ending.BROKEN, Ending.FAILED})


class RequestForwarder:
    """Routes callers' requests and forwards them to upstreams."""

    __slots__ = (
        "_node",
        "_slot_client",
        "_connections",
        "_retry_budget",
        "_answer_limits",
        "_buffers",
        "_claim_numbers",
        "_waits",
    )

    def __init__(
        self,
        node: EntryNode,
        slot_client: SlotClient,
        connections: ConnectionPool,
        retry_budget: RetryBudget,
        answer_limits: AnswerLimits,
        buffers: BufferBudget,
    ):
        self._node = node
        self._slot_client = slot_client
        self._connections = connections
        self._retry_budget = retry_budget
        self._answer_limits = answer_limits
        self._buffers = buffers
        self._claim_numbers = itertools.count()
        # The time limits of the claims that wait for a slot.
        self._waits: set[asyncio.Timeout] = set()

    def limit_waits(self, stop_plan: StopPlan) -> None:
        """Let no request wait for a slot until this host ends."""
        for wait in self._waits:
            wait.reschedule(stop_plan.grants_until)

    async def serve(self, request: CallerRequest) -> Answer:
        """Return the answer to a request; raises `RefusalError`."""
        await self._node.wait_initialized()
        plan = self._plan(request)
        self._check_stopping(plan)
        attempts = Attempts()
        # The retry budget grows with requests, whatever their outcome.
        self._retry_budget.record_success()
        try:
            async with asyncio.timeout_at(plan.deadline_at):
                return await self._run_attempts(plan, attempts)
        except TimeoutError as error:
            outcome = (
                Outcome.UNKNOWN if attempts.may_have_run else Outcome.NOT_RUN
            )
            raise RefusalError(
                Reason.DEADLINE, outcome, detail="no answer in time"
            ) from error
        except RefusalError as refusal:
            self._limit_retry_after(plan, refusal)
            raise
        except Exception as error:
            _LOG.exception("forwarding: Unexpected error.")
            raise make_internal_refusal(attempts.may_have_run) from error

    def _check_stopping(self, plan: RequestPlan) -> None:
        """Refuse a request that may not end before this host does."""
        stop_plan = self._node.stop_plan
        if stop_plan is None:
            return
        received_at = plan.request.http_request.received_at
        if not stop_plan.may_take(received_at, plan.deadline_at):
            raise make_stopping_refusal()

    # Routing and authentication.

    def _plan(self, request: CallerRequest) -> RequestPlan:
        catalog = self._node.catalog
        if catalog is None or not self._node.registry.is_loaded:
            raise RefusalError(
                Reason.NOT_CURRENT,
                Outcome.NOT_RUN,
                DEFAULT_RETRY_AFTER_S,
                "no configuration or no upstreams have been loaded yet",
            )
        route = catalog.find_route(request.hostname, request.http_request.path)
        if route is None:
            raise RefusalError(
                Reason.UNKNOWN_ROUTE,
                Outcome.NOT_RUN,
                detail="no route matches",
            )
        workspace = self._authenticate(request, route, catalog)
        try:
            regions = intersect_regions(route, workspace)
        except ValueError as error:
            raise RefusalError(
                Reason.NO_UPSTREAM, Outcome.NOT_RUN, detail=str(error)
            ) from error
        service = self._choose_service(route.splits)
        choose = choose_priority
        if self._node.file.shares_slots:
            choose = choose_shared_priority
        return RequestPlan(
            request,
            catalog.version,
            route,
            workspace,
            service,
            regions,
            choose(route, workspace),
        )

    def _authenticate(
        self, request: CallerRequest, route: Route, catalog: Catalog
    ) -> Workspace | None:
        if route.is_public or not catalog.has_workspaces:
            return None
        if not self._node.freshness.accepts_keys(read_boottime_clock()):
            raise RefusalError(
                Reason.NOT_CURRENT,
                Outcome.NOT_RUN,
                DEFAULT_RETRY_AFTER_S,
                "keys may have been revoked: the store is unavailable",
            )
        if not request.api_key:
            raise RefusalError(Reason.NO_KEY, Outcome.NOT_RUN)
        workspace = catalog.find_workspace(request.api_key)
        if workspace is None:
            raise RefusalError(
                Reason.BAD_KEY, Outcome.NOT_RUN, detail="the key is unknown"
            )
        return workspace

    def _choose_service(self, splits: tuple[Split, ...]) -> str:
        if len(splits) == 1:
            return splits[0].service
        weights = [split.weight for split in splits]
        return self._node.random.choices(splits, weights)[0].service

    # Attempts, one after another.

    async def _run_attempts(
        self, plan: RequestPlan, attempts: Attempts
    ) -> Answer:
        while True:
            slot = await self._claim(plan, attempts)
            await self._check_remaining_time(plan, attempts, slot)
            started_at = read_clock()
            result = await self._run_attempt(plan, slot, attempts)
            result.held_s = read_clock() - started_at
            attempts.record(result)
            self._log_attempt(plan, slot, result)
            if result.ending is Ending.SERVED:
                return result.answer
            if not self._may_retry(plan, attempts, result):
                return await self._conclude(attempts, result)
            await _discard(result.answer)

    async def _claim(self, plan: RequestPlan, attempts: Attempts) -> Slot:
        """Return a slot for the next attempt.

        Only the first attempt is charged to the workspace's rate. A refusal
        of a later one tells whether earlier attempts may have run.
        """
        claim, terms = self._make_claim(plan, attempts)
        attempts.claims += 1
        asked_at = read_clock()
        try:
            slot = await self._wait_for_slot(claim, terms)
        except RefusalError as refusal:
            if attempts.may_have_run:
                raise RefusalError(
                    Reason.UPSTREAM_LOST, Outcome.UNKNOWN, detail=str(refusal)
                ) from refusal
            raise
        waited_s = read_clock() - asked_at
        self._node.metrics.claim_wait.observe({}, waited_s)
        return slot

    async def _wait_for_slot(self, claim: Claim, terms: ClaimTerms) -> Slot:
        """Return a slot; raises `RefusalError`, also if this host ends."""
        stop_plan = self._node.stop_plan
        wait = asyncio.timeout_at(stop_plan and stop_plan.grants_until)
        try:
            async with wait:
                self._waits.add(wait)
                try:
                    return await self._slot_client.claim(claim, terms)
                finally:
                    self._waits.discard(wait)
        except TimeoutError as error:
            if not wait.expired():
                raise
            raise make_stopping_refusal() from error

    async def _check_remaining_time(
        self, plan: RequestPlan, attempts: Attempts, slot: Slot
    ) -> None:
        """Give the slot back if the run would hardly end before this host."""
        stop_plan = self._node.stop_plan
        if stop_plan is None or attempts.may_have_run:
            return
        expected_s = slot.grant.expected_s
        if stop_plan.may_send(read_clock(), expected_s, plan.deadline_at):
            return
        await asyncio.shield(slot.release(Ending.ABANDONED, 0.0))
        raise make_stopping_refusal()

    def _make_claim(
        self, plan: RequestPlan, attempts: Attempts
    ) -> tuple[Claim, ClaimTerms]:
        request, route = plan.request, plan.route
        object_key = ""
        if route.has_affinity and request.affinity_key:
            object_key = f"{route.prefix}{request.affinity_key}"
        # Callers may send two requests with one id at a time.
        number = next(self._claim_numbers)
        host = self._node.local_member.host
        claim = Claim(
            f"{request.request_id}.{attempts.claims}.{host}.{number}",
            plan.service,
            route.name,
            object_key,
            plan.priority,
            self._node.local_member.zone,
            plan.regions,
            frozenset(attempts.excluded),
            read_clock(),
            plan.objective_at,
            plan.deadline_at,
            plan.workspace.name if plan.workspace else "",
            make_fingerprint(request),
        )
        is_charged = plan.workspace is not None and attempts.claims == 0
        return claim, ClaimTerms(is_charged, route.objective_s)

    async def _run_attempt(
        self, plan: RequestPlan, slot: Slot, attempts: Attempts
    ) -> AttemptResult:
        """Make one attempt at the slot's upstream."""
        upstream_id = slot.grant.upstream_id
        started_at = read_clock()
        ending = Ending.ABANDONED
        rate_limit = load = result = None
        is_streaming = False
        try:
            upstream = self._node.registry.find_usable(upstream_id)
            if upstream is None:
                # It is new, and not known here yet, or leaving. The slot ends
                # as abandoned, since nothing is known of its health.
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
            self._log_attempt(plan, slot, cancelled)
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

    # Retry decisions and the final result.

    def _may_retry(
        self, plan: RequestPlan, attempts: Attempts, result: AttemptResult
    ) -> bool:
        """Return whether another upstream may be tried."""
        if plan.deadline_at - read_clock() < MIN_RETRY_TIME_S:
            return False
        if result.ending is Ending.UNREACHABLE:
            return attempts.claims < CONNECT_ATTEMPTS
        if attempts.sent >= plan.route.attempts:
            return False
        if result.ending in NOT_RUN_ENDINGS:
            return self._retry_budget.try_take()
        if result.ending not in _RETRYABLE_ENDINGS:
            return False
        return plan.route.is_idempotent and self._retry_budget.try_take()

    async def _conclude(
        self, attempts: Attempts, result: AttemptResult
    ) -> Answer:
        """Return the last attempt's answer, or raise `RefusalError`."""
        if result.ending is Ending.FAILED:
            return result.answer
        await _discard(result.answer)
        if attempts.may_have_run:
            raise RefusalError(
                Reason.UPSTREAM_LOST, Outcome.UNKNOWN, detail=result.detail
            )
        raise RefusalError(
            Reason.UPSTREAM_SHED,
            Outcome.NOT_RUN,
            DEFAULT_RETRY_AFTER_S,
            "upstreams shed the request",
        )

    def _limit_retry_after(
        self, plan: RequestPlan, refusal: RefusalError
    ) -> None:
        """Limit Retry-After to what the caller will honour."""
        deadline_s = plan.request.deadline_s
        if refusal.retry_after is None or deadline_s is None:
            return
        received_at = plan.request.http_request.received_at
        left_s = deadline_s - (read_clock() - received_at)
        limit_s = max(0.0, left_s * RETRY_AFTER_SHARE)
        refusal.retry_after = min(refusal.retry_after, limit_s)

    def _log_attempt(
        self, plan: RequestPlan, slot: Slot, result: AttemptResult
    ) -> None:
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


def make_stopping_refusal() -> RefusalError:
    """Return the refusal of a request that others have to serve."""
    return RefusalError(
        Reason.STOPPING,
        Outcome.NOT_RUN,
        STOPPING_RETRY_S,
        "the host stops before the request could complete",
    )


def make_internal_refusal(may_have_run: bool) -> RefusalError:
    """Return the refusal of a request that an unexpected error ended."""
    if may_have_run:
        return RefusalError(Reason.INTERNAL, Outcome.UNKNOWN)
    return RefusalError(
        Reason.INTERNAL, Outcome.NOT_RUN, DEFAULT_RETRY_AFTER_S
    )


async def _release(
    release: Coroutine[Any, Any, None], result: AttemptResult | None
) -> None:
    """Give a slot back; an answer is freed if nobody waits for it by then."""
    try:
        await asyncio.shield(release)
    except asyncio.CancelledError:
        if result is not None:
            await _discard(result.answer)
        raise


async def _discard(answer: Answer | None) -> None:
    """Free what an answer occupies that is not passed on."""
    if answer is not None:
        await answer.close()
