"""Non-idempotent requests, which are recorded first and run at most once."""

import asyncio
import logging
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack

from radishstile.call import Answer, CallerRequest
from radishstile.daemon.forwarded_request import ForwardedRequest
from radishstile.daemon.journals import JournalClient
from radishstile.errors import RefusalError
from radishstile.outcome import Outcome, Reason
from radishstile.run.fingerprint import hash_key, hash_request
from radishstile.run.record import RunAnswer, RunReport, RunState, Verdict
from radishstile.run.refusal import build_refusal

_LOG = logging.getLogger("radishstile.non_idempotent")
ANSWER_LIMIT_BYTES = 16 * 1_048_576

_STATE_BY_OUTCOME = {
    Outcome.NOT_RUN: RunState.NOT_RUN,
    Outcome.RAN: RunState.RAN,
    Outcome.UNKNOWN: RunState.UNKNOWN,
}


class NonIdempotentRequests:
    """Serves non-idempotent requests, each in a task of its own.

    A request that has started goes on if its caller disconnects, so that its
    end is known when the caller sends it again.
    """

    __slots__ = ("_journal", "_task_group", "_task_count", "_idle")

    def __init__(self, journal: JournalClient):
        self._journal = journal
        self._task_group: asyncio.TaskGroup | None = None
        self._task_count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def use_task_group(self, group: asyncio.TaskGroup) -> None:
        """Create the tasks of requests in `group` from now on."""
        self._task_group = group

    async def drain(self) -> None:
        """Wait until no request runs and no end is left to report."""
        await self._idle.wait()

    async def serve(
        self, session, caller_request: CallerRequest, request: ForwardedRequest
    ) -> Answer:
        """Run a request unless its key has run; raises `RefusalError`."""
        if not caller_request.idempotency_key:
            raise RefusalError(
                Reason.KEY_REQUIRED,
                detail="this route needs an Idempotency-Key header",
            )
        key = hash_key(request.workspace, caller_request.idempotency_key)
        work = self._task_group.create_task(
            self._serve_in_task(session, request, key)
        )
        session.attach_work(work)
        result = await asyncio.shield(work)
        if isinstance(result, RefusalError):
            raise result
        return result

    async def _serve_in_task(
        self, session, request: ForwardedRequest, key: bytes
    ) -> Answer | RefusalError:
        self._count_task()
        try:
            return await self._record_and_run(session, request, key)
        except RefusalError as refusal:
            # An error of a task would cancel its whole group, so the refusal
            # is returned here and raised in `serve`.
            return refusal
        except Exception:
            _LOG.exception("non-idempotent: %s failed.", request.request_id)
            return RefusalError(Reason.INTERNAL, Outcome.UNKNOWN)
        finally:
            session.detach_work()
            self._uncount_task()

    def _count_task(self) -> None:
        self._task_count += 1
        self._idle.clear()

    def _uncount_task(self) -> None:
        self._task_count -= 1
        if not self._task_count:
            self._idle.set()

    def _report_end(self, report: RunReport) -> None:
        """Report the end of an attempt in a task of its own.

        The answer doesn't wait for a journal that can't be reached.
        """
        self._count_task()
        work = self._send_report(report)
        try:
            self._task_group.create_task(work)
        except RuntimeError as error:
            # The group was cancelled as the host is shutting down. The journal
            # owner marks the attempt once it knows that this host has ended.
            work.close()
            self._uncount_task()
            _LOG.warning(
                "non-idempotent: The result of attempt %s is not reported: %s",
                report.attempt,
                error,
            )

    async def _send_report(self, report: RunReport) -> None:
        try:
            await self._journal.finish(report)
        finally:
            self._uncount_task()

    async def _record_and_run(
        self, session, request: ForwardedRequest, key: bytes
    ) -> Answer:
        attempt = request.request_id
        known = await self._record_attempt(key, attempt, request)
        if known.verdict is Verdict.RECORDED:
            return await self._run_recorded(session, request, key, attempt)
        if known.verdict is Verdict.RAN and known.answer is not None:
            return Answer(known.status, [], _iterate_body(known.answer))
        raise build_refusal(known)

    async def _record_attempt(
        self, key: bytes, attempt: str, request: ForwardedRequest
    ) -> RunAnswer:
        """Record the attempt, or report that it will not be sent.

        The owner may have recorded it even if its answer was lost.
        """
        verdict = Verdict.NOT_HOME
        try:
            known = await self._request_record(key, attempt, request)
            verdict = known.verdict
        finally:
            if verdict is Verdict.NOT_HOME:
                self._report_end(RunReport(key, attempt, RunState.NOT_RUN))
        return known

    async def _request_record(
        self, key: bytes, attempt: str, request: ForwardedRequest
    ) -> RunAnswer:
        """Record the attempt, once an earlier one with this key has ended."""
        record = self._journal.record
        fingerprint = hash_request(
            request.method, request.target, request.body
        )
        known = await record(key, fingerprint, attempt, request.deadline)
        if known.verdict is not Verdict.RUNNING:
            return known
        known = await self._journal.wait_end(key, request.deadline)
        if known.verdict is not Verdict.NOT_RUN:
            return known
        return await record(key, fingerprint, attempt, request.deadline)

    async def _run_recorded(
        self, session, request: ForwardedRequest, key: bytes, attempt: str
    ) -> Answer:
        # Any complete answer counts as a run, even with an error status:
        # only the upstream knows what a failed run has changed, and a second
        # run could change it again. If the upstream states that it did not
        # run the request, `run` raises a refusal.
        state = RunState.UNKNOWN
        status = 0
        body = None
        try:
            async with AsyncExitStack() as stack:
                answer = await session.run(request, stack)
                status = answer.status
                body = await _read_body(answer)
            state = RunState.RAN
        except RefusalError as refusal:
            state = _STATE_BY_OUTCOME[refusal.outcome]
            raise
        except asyncio.CancelledError:
            if not session.may_have_run:
                state = RunState.NOT_RUN
            raise
        finally:
            self._report_end(RunReport(key, attempt, state, status, body))
        answer.parts = _iterate_body(body)
        return answer


async def _read_body(answer: Answer) -> bytes:
    body = bytearray()
    async for part in answer.parts:
        body += part
        if len(body) > ANSWER_LIMIT_BYTES:
            raise RefusalError(
                Reason.INTERNAL,
                Outcome.RAN,
                detail="the answer is too large for this route",
            )
    return bytes(body)


async def _iterate_body(body: bytes) -> AsyncIterator[bytes]:
    yield body
