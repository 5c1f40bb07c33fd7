"""Runs one request on an upstream, directly or through a peer.

Both kinds of execution have the same interface: `start` waits for a slot,
after which the request may have reached an upstream; `open_answer` returns the
answer; leaving the context releases the slot and cancels a run in progress.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack

import aiohttp

from radishstile.call import Answer
from radishstile.daemon.components import Components
from radishstile.daemon.forwarded_request import ForwardedRequest
from radishstile.daemon.node import read_clock
from radishstile.daemon.tracing import make_traceparent
from radishstile.errors import (
    FrameError,
    PeerLostError,
    RefusalError,
    WireError,
)
from radishstile.http import headers as names
from radishstile.http.resending import ConnectionLostError
from radishstile.http.upstream import UpstreamRequest
from radishstile.member import Member
from radishstile.outcome import Outcome, Reason
from radishstile.run.poison import CrashReport
from radishstile.upstream.dispatcher import Dispatcher
from radishstile.upstream.slot import (
    Broken,
    Cancelled,
    Completed,
    Errored,
    Shed,
    SlotLease,
    SlotResult,
    TimedOut,
    Unreachable,
    Unused,
)
from radishstile.wire.exchange import Exchange
from radishstile.wire.messages.base import Message
from radishstile.wire.messages.fleet import ReportCrash
from radishstile.wire.messages.run import (
    AnswerEnd,
    AnswerHead,
    AnswerPart,
    BodyEnd,
    BodyPart,
    RunStarted,
)
from radishstile.wire.parts import PartAssembler, PartSplitter
from radishstile.wire.refusals import raise_for_error
from radishstile.wire.reports import decode_report

_CONNECT_TIMEOUT_S = 1.0
# The owner counts the deadline from the arrival of the request, so its answer
# that a request was not run comes that much after the deadline.
_START_GRACE_S = 0.25
_LINK_WAIT_LIMIT_S = 5.0
_SERVER_ERROR = 500
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_DEADLINE_OUTCOMES = (Outcome.NOT_RUN.value, Outcome.UNKNOWN.value)
_SHED_RETRY_AFTER_S = 1.0
_CONNECTION_LOST_ERRORS = (aiohttp.ClientError, ConnectionLostError)


class LocalExecution:
    """Runs a request on an upstream that this host dispatches to.

    `crash_report` is set if the upstream went down while it ran the request.
    """

    __slots__ = (
        "crash_report",
        "_node",
        "_poison",
        "_dispatcher",
        "_request",
        "_lease",
        "_result",
        "_sent_at",
        "_span",
        "_stack",
    )

    def __init__(
        self,
        components: Components,
        dispatcher: Dispatcher,
        request: ForwardedRequest,
    ):
        node = components.node
        self.crash_report: CrashReport | None = None
        self._node = node
        self._poison = components.poison
        self._dispatcher = dispatcher
        self._request = request
        self._lease: SlotLease | None = None
        self._result: SlotResult | None = None
        self._sent_at = 0.0
        self._span = node.tracing.start_span("dispatch", request.traceparent)
        self._stack = AsyncExitStack()

    @property
    def may_have_run(self) -> bool:
        """Return whether the request may have reached an upstream."""
        return self._lease is not None

    async def __aenter__(self) -> "LocalExecution":
        return self

    async def __aexit__(self, *_) -> None:
        try:
            await self._stack.aclose()
        finally:
            if self._lease is not None:
                result = self._result or Cancelled(is_over=True)
                self._poison.record_ended(self._request, self._lease)
                self._dispatcher.release(self._lease, result)
                self._span.set_attribute("result", type(result).__name__)
            self._span.end()

    async def start(self) -> str:
        """Wait for a slot and return its upstream's name."""
        request = self._request
        self._lease = await self._acquire_allowed_slot()
        self._poison.record_started(request, self._lease)
        self._span.set_attribute("upstream", self._lease.upstream)
        self._span.set_attribute("workspace", request.workspace)
        self._sent_at = read_clock()
        return self._lease.upstream

    async def _acquire_allowed_slot(self) -> SlotLease:
        """Wait for a slot of an upstream where the request may run.

        The checks for poison requests are repeated once a slot is free, as
        the same request may have crashed upstreams while this one waited.
        """
        request = self._request
        while True:
            await self._poison.wait_turn(request)
            restricted = self._poison.list_excluded(request)
            try:
                lease = await self._acquire_slot(request.excluded | restricted)
            except RefusalError as refusal:
                if not restricted or refusal.reason is not Reason.NO_UPSTREAM:
                    raise
                await self._poison.wait_any_end(request)
                continue
            if self._poison.may_start(request, lease):
                return lease
            self._dispatcher.release(lease, Unused())

    async def _acquire_slot(self, excluded: frozenset[str]) -> SlotLease:
        request = self._request
        return await self._dispatcher.acquire(
            request.workspace,
            request.weight,
            request.route,
            request.deadline,
            excluded,
        )

    async def open_answer(self) -> Answer:
        """Send the request and return the answer, with its parts unread."""
        lease = self._lease
        try:
            answer = await self._stack.enter_async_context(
                self._node.upstream_client.send(
                    lease.address, lease.port, self._make_request()
                )
            )
        except aiohttp.ClientConnectorError as error:
            self._result = Unreachable()
            raise self._make_lost_refusal(Outcome.NOT_RUN) from error
        except _CONNECTION_LOST_ERRORS as error:
            self._result = Broken(is_over=True)
            self.crash_report = await self._poison.record_broken(
                self._request, lease
            )
            raise self._make_lost_refusal(Outcome.UNKNOWN) from error
        except TimeoutError as error:
            self._result = TimedOut(is_over=True)
            raise RefusalError(Reason.DEADLINE, Outcome.UNKNOWN) from error
        self._check_upstream_outcome(answer)
        answer.upstream = lease.upstream
        answer.parts = self._read_parts(answer.status, answer.parts)
        return answer

    def _make_lost_refusal(self, outcome: Outcome) -> RefusalError:
        detail = f"the connection to {self._lease.upstream} was lost"
        return RefusalError(Reason.UPSTREAM_LOST, outcome, detail=detail)

    def _check_upstream_outcome(self, answer: Answer) -> None:
        """Raise `RefusalError` for a request that was shed or timed out.

        The upstream states this by the status and its outcome header.
        """
        stated = dict((n.lower(), v) for n, v in answer.headers)
        outcome = stated.get(names.UPSTREAM_OUTCOME.lower())
        is_shed = answer.status == _UNAVAILABLE
        if is_shed and outcome == Outcome.NOT_RUN.value:
            self._result = Shed()
            raise RefusalError(
                Reason.UPSTREAM_SHED, Outcome.NOT_RUN, _SHED_RETRY_AFTER_S
            )
        if answer.status == _GATEWAY_TIMEOUT and outcome in _DEADLINE_OUTCOMES:
            self._result = TimedOut(is_over=True)
            raise RefusalError(Reason.DEADLINE, Outcome(outcome))

    async def _read_parts(
        self, status: int, parts: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        try:
            async for part in parts:
                yield part
        except _CONNECTION_LOST_ERRORS as error:
            # An answer may begin before the upstream has finished the run.
            self._result = Broken(is_over=True)
            request = self._request
            self.crash_report = await self._poison.record_broken(
                request, self._lease
            )
            raise self._make_lost_refusal(Outcome.UNKNOWN) from error
        except TimeoutError as error:
            self._result = TimedOut(is_over=True)
            raise RefusalError(Reason.DEADLINE, Outcome.UNKNOWN) from error
        await self._poison.record_completed(self._request)
        if status >= _SERVER_ERROR:
            self._result = Errored()
            return
        self._result = Completed(read_clock() - self._sent_at)

    def _make_request(self) -> UpstreamRequest:
        request = self._request
        return UpstreamRequest(
            request.method,
            request.target,
            request.headers,
            request.body,
            request.workspace,
            max(0.0, request.deadline - read_clock()),
            make_traceparent(self._span),
        )


class RemoteExecution:
    """Runs a request through the peer that owns the slots, on an exchange."""

    __slots__ = (
        "_node",
        "_peers",
        "_poison",
        "_owner",
        "_links",
        "_request",
        "_exchange",
        "_is_started",
        "_assembler",
    )

    def __init__(
        self, components: Components, owner: Member, request: ForwardedRequest
    ):
        node = components.node
        self._node = node
        self._peers = components.peers
        self._poison = components.poison
        self._owner = owner
        self._links = components.links
        self._request = request
        self._exchange: Exchange | None = None
        self._is_started = False
        self._assembler = PartAssembler(request.request_id, node.wire_counters)

    @property
    def may_have_run(self) -> bool:
        """Return whether the owner may have forwarded the request.

        The owner sends it to an upstream as soon as it has a slot, before
        this host receives `RunStarted`.
        """
        return self._exchange is not None and self._exchange.is_sent

    async def __aenter__(self) -> "RemoteExecution":
        return self

    async def __aexit__(self, *_) -> None:
        if self._exchange is not None:
            self._exchange.close()

    async def start(self) -> str:
        """Send the request and wait until the owner has a slot for it."""
        try:
            await self._send_request()
        except (PeerLostError, WireError) as error:
            raise self._make_lost_refusal(error) from error
        message = await self._receive(_START_GRACE_S)
        if type(message) is not RunStarted:
            raise self._make_lost_refusal(
                FrameError("expected the run's start from the owner")
            )
        self._is_started = True
        return message.upstream

    async def open_answer(self) -> Answer:
        """Return the answer, with its parts unread."""
        message = await self._receive()
        if type(message) is not AnswerHead:
            raise self._make_lost_refusal(
                FrameError("expected the answer's head from the owner")
            )
        headers = [(name, value) for name, value in message.headers]
        return Answer(
            message.status, headers, self._read_parts(), message.upstream
        )

    async def _send_request(self) -> None:
        client = await self._peers.connect(self._owner, _CONNECT_TIMEOUT_S)
        request = self._request
        message = request.to_message(read_clock())
        self._exchange = await client.open(message)
        part_bytes = self._node.settings.wire.part_bytes
        splitter = PartSplitter(request.request_id, part_bytes)
        for part in splitter.split(request.body, BodyPart):
            await self._wait_for_link_budget(len(part.data))
            await self._exchange.send(part)
        await self._exchange.send(splitter.make_end(BodyEnd))

    async def _wait_for_link_budget(self, size_bytes: int) -> None:
        """Wait until this host's share of the link allows the next part.

        Raises `RefusalError` if that would take too long; the owner runs
        only whole bodies.
        """
        budget = self._links.find(self._owner.region)
        if budget is None:
            return
        now = read_clock()
        wait_s = budget.reserve(size_bytes, now)
        # The owner gives up on a body whose next part is long overdue.
        if wait_s >= min(self._request.deadline - now, _LINK_WAIT_LIMIT_S):
            raise RefusalError(
                Reason.OVERLOADED,
                retry_after=_SHED_RETRY_AFTER_S,
                detail="the link's budget is used up",
            )
        await asyncio.sleep(wait_s)

    async def _receive(self, grace_s: float = 0.0) -> Message:
        left_s = self._request.deadline + grace_s - read_clock()
        try:
            message = await self._exchange.receive(max(0.0, left_s))
            if type(message) is ReportCrash:
                await self._poison.apply_report(decode_report(message))
                return await self._receive(grace_s)
            raise_for_error(message)
        except WireError as error:
            raise self._make_lost_refusal(error) from error
        except TimeoutError as error:
            raise RefusalError(Reason.DEADLINE, Outcome.UNKNOWN) from error
        return message

    async def _read_parts(self) -> AsyncIterator[bytes]:
        while not self._assembler.is_complete:
            message = await self._receive()
            if type(message) is AnswerEnd:
                self._check_end(message)
                return
            data = self._accept_part(message)
            if data is not None:
                yield data

    def _accept_part(self, message: Message) -> bytes | None:
        if type(message) is not AnswerPart:
            raise self._make_lost_refusal(
                FrameError("expected a part of the answer from the owner")
            )
        try:
            return self._assembler.accept(message)
        except FrameError as error:
            raise self._make_lost_refusal(error) from error

    def _check_end(self, end: AnswerEnd) -> None:
        try:
            self._assembler.finish(end)
        except FrameError as error:
            raise self._make_lost_refusal(error) from error
        if not self._assembler.is_complete:
            raise self._make_lost_refusal(
                FrameError("the answer's end belongs to another request")
            )

    def _make_lost_refusal(self, error: WireError) -> RefusalError:
        """Return the refusal for a lost owner.

        A request that was never sent has not run; one that was sent may have
        run although the answer is lost.
        """
        was_sent = self._exchange is not None and self._exchange.is_sent
        outcome = Outcome.UNKNOWN if was_sent else Outcome.NOT_RUN
        return RefusalError(Reason.PEER_LOST, outcome, detail=str(error))
