"""Forwarding of a caller's request to upstreams, with retries."""

import asyncio
import logging

from radishstile.catalog.catalog import (
    Catalog,
    Route,
    Split,
    Workspace,
    intersect_regions,
)
from radishstile.entry.attempt import AttemptRunner, discard, log_attempt
from radishstile.entry.caller_request import Answer, CallerRequest
from radishstile.entry.node import EntryNode, read_boottime_clock, read_clock
from radishstile.entry.plan import (
    NOT_RUN_ENDINGS,
    AttemptResult,
    Attempts,
    RequestPlan,
    choose_priority,
    choose_shared_priority,
)
from radishstile.entry.refusals import (
    DEFAULT_RETRY_AFTER_S,
    make_internal_refusal,
    make_stopping_refusal,
)
from radishstile.entry.request_claims import RequestClaims
from radishstile.errors import RefusalError
from radishstile.outcome import Outcome, Reason
from radishstile.run.budget import RetryBudget
from radishstile.slot.claim import Ending

_LOG = logging.getLogger("radishstile.forwarding")

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

    __slots__ = ("_node", "_claims", "_runner", "_retry_budget")

    def __init__(
        self,
        node: EntryNode,
        claims: RequestClaims,
        runner: AttemptRunner,
        retry_budget: RetryBudget,
    ):
        self._node = node
        self._claims = claims
        self._runner = runner
        self._retry_budget = retry_budget

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
            slot = await self._claims.claim(plan, attempts)
            started_at = read_clock()
            result = await self._runner.run(plan, slot, attempts)
            result.held_s = read_clock() - started_at
            attempts.record(result)
            log_attempt(plan, slot, result)
            if result.ending is Ending.SERVED:
                return result.answer
            if not self._may_retry(plan, attempts, result):
                return await self._conclude(attempts, result)
            await discard(result.answer)

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
        await discard(result.answer)
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
