"""Run records of non-idempotent requests: their owners and a client."""

import asyncio
import logging
from functools import singledispatch

from radishstile.daemon.node import Node, read_clock
from radishstile.daemon.peers import Peers
from radishstile.errors import RefusalError, WireError
from radishstile.run.partition import choose_partition, name_resource
from radishstile.run.record import (
    RunAnswer,
    RunReport,
    RunState,
    Verdict,
)
from radishstile.run.writer import JournalWriter
from radishstile.wire.messages.base import Message
from radishstile.wire.messages.run import (
    AwaitRun,
    FinishRun,
    RecordRun,
    RunKnown,
)
from radishstile.wire.records import decode_record
from radishstile.wire.refusals import raise_for_error

_LOG = logging.getLogger("radishstile.journals")
_RETRY_DELAY_S = 0.2
_ENDED_CHECK_INTERVAL_S = 1.0
# Time that a journal partition may take to get its next owner.
_FINISH_LIMIT_S = 60.0
_FINISH_TIMEOUT_S = 2.0
_ANSWER_MARGIN_S = 0.5
_MS_PER_S = 1000


class JournalOwner:
    """Owns one partition, and gives up on the attempts of ended hosts."""

    __slots__ = ("writer", "_node", "_ended_hosts")

    def __init__(self, partition: int, node: Node):
        self._node = node
        self._ended_hosts: set[tuple[str, int]] = set()
        host, incarnation = node.local_member.identity
        self.writer = JournalWriter(
            partition, f"{host}#{incarnation}", node.store, node.settings.runs
        )

    async def run(self) -> None:
        """Serve the partition until another owner has taken it over."""
        async with asyncio.TaskGroup() as group:
            checker = group.create_task(self._check_ended_hosts())
            await self.writer.run()
            checker.cancel()

    async def answer(self, message: Message) -> RunAnswer:
        """Handle a message about a run of this partition.

        An owner that may have been replaced without knowing can't say that a
        key has not run, as the next owner may have recorded a run of it.
        """
        answer = await apply_message(message, self.writer)
        if answer.verdict is not Verdict.UNAVAILABLE:
            return answer
        if self._node.fleet.find_outdated_reason(read_clock()) is None:
            return answer
        return RunAnswer(Verdict.NOT_HOME)

    async def _check_ended_hosts(self) -> None:
        while True:
            self._record_ended_hosts()
            await asyncio.sleep(_ENDED_CHECK_INTERVAL_S)

    def _record_ended_hosts(self) -> None:
        for end in self._node.fleet.list_ended():
            if end.identity in self._ended_hosts:
                continue
            self._ended_hosts.add(end.identity)
            # Even a host that left gracefully may have given up on its last
            # attempts. A report that still arrives replaces the unknown
            # outcome.
            host, incarnation = end.identity
            self.writer.mark_host_lost(f"{host}#{incarnation}")


class JournalClient:
    """Calls the owner of a key's partition, and again if it has moved."""

    __slots__ = ("_node", "_peers", "_owned_resources")

    def __init__(self, node: Node, peers: Peers, owned_resources):
        self._node = node
        self._peers = peers
        self._owned_resources = owned_resources

    async def record(
        self, key: bytes, fingerprint: bytes, attempt: str, deadline: float
    ) -> RunAnswer:
        """Record an attempt before it is sent."""
        partition = choose_partition(key, self._node.settings.runs)
        wait_s = self._node.settings.runs.record_wait_s
        until = min(deadline, read_clock() + wait_s)
        message = RecordRun(
            partition=partition,
            key=key,
            fingerprint=fingerprint,
            attempt=attempt,
            wait_ms=0,
        )
        return await self._call_until(message, until)

    async def wait_end(self, key: bytes, deadline: float) -> RunAnswer:
        """Wait for the end of another attempt with the same key."""
        partition = choose_partition(key, self._node.settings.runs)
        message = AwaitRun(partition=partition, key=key, wait_ms=0)
        return await self._call_until(message, deadline)

    async def finish(self, report: RunReport) -> None:
        """Report the end of an attempt.

        A report that no owner accepts in time leaves the outcome in doubt.
        """
        partition = choose_partition(report.key, self._node.settings.runs)
        message = FinishRun(
            partition=partition,
            key=report.key,
            attempt=report.attempt,
            state=report.state.value,
            status=report.status,
            has_answer=report.answer is not None,
            answer=report.answer or b"",
        )
        until = read_clock() + _FINISH_LIMIT_S
        delay_s = _RETRY_DELAY_S
        while not await self._try_finish(message):
            if read_clock() + delay_s >= until:
                _LOG.warning(
                    "journals: The result of attempt %s was not recorded.",
                    report.attempt,
                )
                return
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, _FINISH_TIMEOUT_S)

    async def _try_finish(self, message: FinishRun) -> bool:
        try:
            reply = await self._call_owner(message, _FINISH_TIMEOUT_S)
        except (RefusalError, WireError, TimeoutError) as error:
            _LOG.info(
                "journals: The result of an attempt was not reported: %s",
                error,
            )
            return False
        return decode_answer(reply).verdict is not Verdict.NOT_HOME

    async def _call_until(
        self, message: RecordRun | AwaitRun, until: float
    ) -> RunAnswer:
        while True:
            left_s = until - read_clock()
            if left_s <= 0:
                return RunAnswer(Verdict.NOT_HOME)
            # The owner must answer before this host stops waiting.
            wait_s = left_s - min(_ANSWER_MARGIN_S, left_s / 2)
            message.wait_ms = max(1, int(wait_s * _MS_PER_S))
            try:
                reply = await self._call_owner(message, left_s)
                answer = decode_record(decode_answer, reply)
            except (RefusalError, WireError, TimeoutError) as error:
                _LOG.debug(
                    "journals: A partition's owner can't be reached: %s", error
                )
            else:
                if answer.verdict is not Verdict.NOT_HOME:
                    return answer
            await asyncio.sleep(min(_RETRY_DELAY_S, left_s))

    async def _call_owner(self, message: Message, timeout_s: float) -> Message:
        name = name_resource(message.partition)
        owner = self._node.fleet.find_owner(name)
        if owner is None:
            return _NOT_OWNER
        if owner == self._node.local_member:
            journal_owner = self._owned_resources.find_service(name)
            if journal_owner is None:
                return _NOT_OWNER
            return encode_answer(await journal_owner.answer(message))
        reply = await self._peers.call(owner, message, timeout_s)
        raise_for_error(reply)
        return reply


@singledispatch
async def apply_message(message: Message, writer: JournalWriter) -> RunAnswer:
    """Apply a message about a run to the journal of its partition."""
    raise TypeError(f"not about a run: {type(message).__name__}")


@apply_message.register
async def _(message: RecordRun, journal: JournalWriter) -> RunAnswer:
    deadline = read_clock() + message.wait_ms / _MS_PER_S
    return await journal.record(
        message.key, message.fingerprint, message.attempt, deadline
    )


@apply_message.register
async def _(message: AwaitRun, journal: JournalWriter) -> RunAnswer:
    deadline = read_clock() + message.wait_ms / _MS_PER_S
    return await journal.wait_end(message.key, deadline)


@apply_message.register
async def _(message: FinishRun, journal: JournalWriter) -> RunAnswer:
    report = RunReport(
        message.key,
        message.attempt,
        RunState(message.state),
        message.status,
        message.answer if message.has_answer else None,
    )
    journal.finish(report)
    return journal.describe(message.key)


def encode_answer(answer: RunAnswer) -> RunKnown:
    """Return the message for an answer about a run."""
    return RunKnown(
        verdict=answer.verdict.value,
        status=answer.status,
        has_answer=answer.answer is not None,
        answer=answer.answer or b"",
    )


def decode_answer(message: RunKnown) -> RunAnswer:
    """Return the answer about a run that a message carries."""
    answer = message.answer if message.has_answer else None
    return RunAnswer(Verdict(message.verdict), message.status, answer)


_NOT_OWNER = encode_answer(RunAnswer(Verdict.NOT_HOME))
