"""Serves caller requests on the host that received them."""

import asyncio
import itertools
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack

from radishstile.call import Answer, CallerRequest
from radishstile.configuration.document import Route, Workspace
from radishstile.daemon.components import Components
from radishstile.daemon.execution import LocalExecution, RemoteExecution
from radishstile.daemon.forwarded_request import ForwardedRequest
from radishstile.daemon.node import read_clock
from radishstile.daemon.request_checks import check_key_hidden, check_path
from radishstile.daemon.resources import RateResource, SlotsResource
from radishstile.daemon.retries import Retrier
from radishstile.daemon.targets import Target
from radishstile.daemon.tracing import get_trace_id, make_traceparent
from radishstile.errors import RefusalError
from radishstile.outcome import Outcome, Reason
from radishstile.run.fingerprint import hash_workspace_request
from radishstile.workspace.key import authenticate
from radishstile.workspace.limiter import Reservation

_RETRY_AFTER_S = 1.0
_FINAL_REASONS = (Reason.DEADLINE, Reason.HARMFUL)

# Refusals for lack of capacity, which a caller within its rate should not see.
_CAPACITY_REASONS = frozenset(
    {
        Reason.RATE_EXCEEDED,
        Reason.OVERLOADED,
        Reason.NO_UPSTREAM,
        Reason.DEADLINE,
        Reason.UPSTREAM_SHED,
        Reason.RECORD_UNAVAILABLE,
        Reason.STOPPING,
    }
)


class SessionRegistry:
    """Opens sessions and keeps track of those that have not ended."""

    __slots__ = (
        "node",
        "components",
        "retrier",
        "_sessions",
        "_request_numbers",
    )

    def __init__(self, components: Components, retrier: Retrier):
        self.node = components.node
        self.components = components
        self.retrier = retrier
        self._sessions: set[RequestSession] = set()
        self._request_numbers = itertools.count(1)

    def open_session(self, traceparent: str | None) -> "RequestSession":
        """Open a session for one caller request."""
        session = RequestSession(self, traceparent)
        self._sessions.add(session)
        return session

    def close_session(self, session: "RequestSession") -> None:
        """Remove a session once its answer and its work have ended."""
        if session.is_over:
            self._sessions.discard(session)

    def make_request_id(self) -> str:
        """Return an id that is unique in the fleet, also across restarts."""
        host, incarnation = self.node.local_member.identity
        return f"{host}#{incarnation}#{next(self._request_numbers)}"

    def cancel_revoked(self) -> None:
        """Cancel the sessions whose key has been revoked."""
        for session in list(self._sessions):
            session.cancel_if_revoked()


class RequestSession:
    """Serves one caller request, from its arrival to the end of its answer."""

    __slots__ = (
        "trace_id",
        "_registry",
        "_span",
        "_task",
        "_started_at",
        "_stack",
        "_caller_request",
        "_route",
        "_workspace",
        "_execution",
        "_is_answered",
        "_work",
        "is_key_revoked",
        "is_started",
    )

    def __init__(self, registry: SessionRegistry, traceparent: str | None):
        self._registry = registry
        self._span = registry.node.tracing.start_span("entry", traceparent)
        self.trace_id = get_trace_id(self._span)
        self._task = asyncio.current_task()
        self._started_at = read_clock()
        self._stack = AsyncExitStack()
        self._caller_request: CallerRequest | None = None
        self._route: Route | None = None
        self._workspace: Workspace | None = None
        self._execution: LocalExecution | RemoteExecution | None = None
        self._is_answered = False
        self._work: asyncio.Task | None = None
        self.is_key_revoked = False
        self.is_started = False

    @property
    def is_over(self) -> bool:
        """Return whether the answer was sent and no work is running."""
        is_working = self._work is not None and not self._work.done()
        return self._is_answered and not is_working

    @property
    def may_have_run(self) -> bool:
        """Return whether the last attempt may have reached an upstream."""
        return self._execution is not None and self._execution.may_have_run

    async def serve(self, caller_request: CallerRequest) -> Answer:
        """Return the answer to `caller_request`, or raise `RefusalError`."""
        try:
            return await self._serve(caller_request)
        except asyncio.CancelledError:
            if not self.is_key_revoked:
                raise
            asyncio.current_task().uncancel()
            raise RefusalError(Reason.KEY_WITHDRAWN, Outcome.UNKNOWN) from None

    def attach_work(self, work: asyncio.Task) -> None:
        """Keep the session until `work` ends, even if the caller is gone."""
        self._work = work

    def detach_work(self) -> None:
        """Record that the attached work has ended."""
        self._work = None
        self._registry.close_session(self)

    def cancel_if_revoked(self) -> None:
        """Cancel this session if its key has been revoked.

        Attached work is cancelled too, unless it already has a slot.
        """
        if self._workspace is None or self.is_key_revoked:
            return
        configuration = self._registry.node.configuration
        try:
            authenticate(configuration, self._route, self._caller_request.key)
        except RefusalError:
            self.is_key_revoked = True
            self._task.cancel()
            if self._work is not None and not self.is_started:
                self._work.cancel()

    async def end(self, error: BaseException | None) -> None:
        """Release what the request uses, and record its end in the metrics."""
        try:
            await self._stack.aclose()
        finally:
            self._is_answered = True
            self._registry.close_session(self)
            self._record_metrics(error)

    def _record_metrics(self, error: BaseException | None) -> None:
        reason = getattr(error, "reason", None)
        ending = "answered" if error is None else "left"
        labels = {
            "route": self._route.name if self._route else "",
            "workspace": self._workspace.name if self._workspace else "",
            "outcome": ending if reason is None else reason.value,
        }
        self._span.set_attributes(labels)
        self._span.end()
        metrics = self._registry.node.metrics
        metrics.requests.inc(labels)
        if reason in _CAPACITY_REASONS and self._is_within_rate():
            metrics.refused_within_rate.inc({"workspace": labels["workspace"]})
        elapsed_s = read_clock() - self._started_at
        metrics.latency.observe({"route": labels["route"]}, elapsed_s)

    def _is_within_rate(self) -> bool:
        if self._workspace is None:
            return False
        admission = self._registry.components.allotments.admission
        resource = RateResource(self._workspace.name).name
        return not admission.find_limiter(resource).is_exhausted

    async def _serve(self, caller_request: CallerRequest) -> Answer:
        registry = self._registry
        node = registry.node
        if node.is_stopping:
            raise RefusalError(Reason.STOPPING, retry_after=_RETRY_AFTER_S)
        check_path(caller_request.path)
        route = node.routes.match(caller_request.path)
        self._caller_request = caller_request
        self._route = route
        self._workspace = self._authenticate(caller_request, route)
        body = await caller_request.read_body(route.body_limit_bytes)
        check_key_hidden(caller_request, body)
        limit_s = min(
            route.deadline_s, caller_request.deadline_s or route.deadline_s
        )
        request = self._build_request(
            caller_request, route, body, read_clock() + limit_s
        )
        if route.is_idempotent:
            return await self.run(request, self._stack)
        return await registry.components.non_idempotent.serve(
            self, caller_request, request
        )

    def _authenticate(
        self, caller_request: CallerRequest, route: Route
    ) -> Workspace | None:
        node = self._registry.node
        if not route.is_open:
            reason = node.fleet.find_outdated_reason(read_clock())
            if reason is not None:
                raise RefusalError(
                    Reason.NOT_CURRENT,
                    retry_after=_RETRY_AFTER_S,
                    detail=f"this host can't accept keys: {reason}",
                )
        return authenticate(node.configuration, route, caller_request.key)

    def _build_request(
        self,
        caller_request: CallerRequest,
        route: Route,
        body: bytes,
        deadline: float,
    ) -> ForwardedRequest:
        workspace = self._workspace
        name = workspace.name if workspace else ""
        return ForwardedRequest(
            request_id=self._registry.make_request_id(),
            workspace=name,
            weight=workspace.weight if workspace else 1.0,
            route=route.name,
            group=route.group,
            zone="",
            method=caller_request.method,
            target=caller_request.target,
            headers=caller_request.headers,
            body=body,
            deadline=deadline,
            is_idempotent=route.is_idempotent,
            traceparent=make_traceparent(self._span),
            excluded=frozenset(),
            fingerprint=hash_workspace_request(
                name, caller_request.method, caller_request.target, body
            ),
        )

    async def run(
        self, request: ForwardedRequest, stack: AsyncExitStack
    ) -> Answer:
        """Run a request, with retries where allowed, and return its answer.

        The execution stays open in `stack` until the answer has been read.
        """
        attempts = self._registry.retrier.start_attempts(request)
        while True:
            try:
                answer = await self._attempt(request, stack)
            except RefusalError as refusal:
                await attempts.wait_retry(refusal, request)
                continue
            attempts.record_success()
            return answer

    async def _attempt(
        self, request: ForwardedRequest, stack: AsyncExitStack
    ) -> Answer:
        """Try each owner once, and again while an owner is being replaced."""
        components = self._registry.components
        wait_s = self._registry.node.settings.fleet.home_wait_s
        limit = min(request.deadline, read_clock() + wait_s)
        while True:
            self._check_sendable(request)
            targets = await components.target_selector.wait_targets(
                self._caller_request, self._route, request.deadline
            )
            try:
                return await self._attempt_admitted(request, targets, stack)
            except RefusalError as refusal:
                if read_clock() >= limit or not _is_owner_changing(refusal):
                    raise
            await components.target_selector.wait_change(limit)

    def _check_sendable(self, request: ForwardedRequest) -> None:
        # A run that had started before the key was revoked may finish, but is
        # not retried.
        if self.is_key_revoked:
            raise RefusalError(Reason.KEY_WITHDRAWN)
        self._registry.components.poison.check(request)

    async def _attempt_admitted(
        self,
        request: ForwardedRequest,
        targets: list[Target],
        stack: AsyncExitStack,
    ) -> Answer:
        if not targets:
            raise RefusalError(Reason.NO_UPSTREAM, retry_after=_RETRY_AFTER_S)
        token = await self._reserve_token(request.deadline)
        try:
            return await self._try_targets(request, targets, token, stack)
        finally:
            if token is not None:
                token.cancel(read_clock())

    async def _reserve_token(self, deadline: float) -> Reservation | None:
        if self._workspace is None:
            return None
        resource = RateResource(self._workspace.name).name
        return await self._registry.components.allotments.admission.admit(
            resource, deadline
        )

    async def _try_targets(
        self,
        request: ForwardedRequest,
        targets: list[Target],
        token: Reservation | None,
        kept: AsyncExitStack,
    ) -> Answer:
        """Send to the first target that accepts the request.

        A target that refuses before taking a slot uses no token.
        """
        refusal = None
        for target in targets:
            request.zone = target.zone
            execution = self._make_execution(request, target)
            self._execution = execution
            self.is_started = False
            async with AsyncExitStack() as stack:
                await stack.enter_async_context(execution)
                try:
                    upstream = await execution.start()
                except RefusalError as error:
                    if not _may_try_next_target(error):
                        raise
                    refusal = error
                    continue
                self._spend_token(token)
                request.excluded |= {upstream}
                answer = await execution.open_answer()
                answer = await self._buffer_start(answer)
                kept.push_async_exit(stack.pop_all())
                return answer
        raise refusal

    def _spend_token(self, token: Reservation | None) -> None:
        self.is_started = True
        if token is None:
            return
        if not token.spend(read_clock()):
            raise RefusalError(Reason.RATE_EXCEEDED, Outcome.UNKNOWN)

    def _make_execution(
        self, request: ForwardedRequest, target: Target
    ) -> LocalExecution | RemoteExecution:
        registry = self._registry
        if target.owner != registry.node.local_member:
            return RemoteExecution(registry.components, target.owner, request)
        resource = SlotsResource(request.group, request.zone).name
        service = registry.components.owned_resources.find_service(resource)
        if service is None:
            raise RefusalError(Reason.STOPPING, retry_after=_RETRY_AFTER_S)
        return LocalExecution(registry.components, service.dispatcher, request)

    async def _buffer_start(self, answer: Answer) -> Answer:
        """Buffer the start of an answer, so that its loss can be retried."""
        limit = self._registry.node.settings.http.held_answer_bytes
        buffered: list[bytes] = []
        size = 0
        parts = aiter(answer.parts)
        async for part in parts:
            buffered.append(part)
            size += len(part)
            if size >= limit:
                break
        answer.parts = _chain(buffered, parts)
        return answer


async def _chain(
    buffered: list[bytes], rest: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    for part in buffered:
        yield part
    async for part in rest:
        yield part


def _is_owner_changing(refusal: RefusalError) -> bool:
    """Return whether the refusal shows that the owner is being replaced."""
    return refusal.outcome is Outcome.NOT_RUN and refusal.reason in (
        Reason.STOPPING,
        Reason.PEER_LOST,
    )


def _may_try_next_target(refusal: RefusalError) -> bool:
    return (
        refusal.outcome is Outcome.NOT_RUN
        and refusal.reason not in _FINAL_REASONS
    )
