"""Handles the messages of peers, by type."""

import asyncio
import json
from contextlib import asynccontextmanager
from functools import singledispatch

from radishstile.daemon.allotments import decode_grant, encode_grant
from radishstile.daemon.components import Components
from radishstile.daemon.execution import LocalExecution
from radishstile.daemon.forwarded_request import ForwardedRequest
from radishstile.daemon.journals import encode_answer
from radishstile.daemon.node import read_clock
from radishstile.daemon.replication import decode_revision
from radishstile.daemon.resources import SlotsResource
from radishstile.daemon.slots import SlotsOwner
from radishstile.errors import FrameError, RefusalError
from radishstile.fleet.allotment import Claim
from radishstile.fleet.roster import Roster
from radishstile.outcome import Reason
from radishstile.run.partition import name_resource
from radishstile.shift.measurements import MoveHint
from radishstile.shift.progress import MoveProgress
from radishstile.wire.exchange import Exchange
from radishstile.wire.messages import block, fleet, run
from radishstile.wire.messages.base import Message
from radishstile.wire.parts import PartAssembler, PartSplitter
from radishstile.wire.reports import decode_report, encode_report

_BODY_TIMEOUT_S = 10.0
_RETRY_AFTER_S = 1.0


class PeerMessageHandler:
    """Passes each message of a peer to the component that handles it."""

    __slots__ = ("_components",)

    def __init__(self, components: Components):
        self._components = components

    async def __call__(self, message: Message, exchange: Exchange) -> None:
        """Handle one message, and send the answer on its exchange."""
        await handle(message, exchange, self._components)


@singledispatch
async def handle(
    message: Message, exchange: Exchange, components: Components
) -> None:
    """Handle `message` and answer on `exchange`."""
    raise FrameError(f"{type(message).__name__} can't open an exchange")


@handle.register
async def _(
    message: fleet.Heartbeat, exchange: Exchange, components: Components
) -> None:
    node = components.node
    now = read_clock()
    node.fleet.record_connected(exchange.peer, now)
    hints = (
        components.owned_resources.make_hints() if message.wants_hints else {}
    )
    statement = node.fleet.make_statement(now, hints)
    await exchange.send(fleet.HeartbeatReply(statement=statement.to_record()))


@handle.register
async def _(
    message: fleet.ConfigurationPush,
    exchange: Exchange,
    components: Components,
) -> None:
    if message.version > components.node.revision.version:
        revision = decode_revision(message.revision)
        components.replication.apply_revision(revision)
    version = components.node.revision.version
    await exchange.send(fleet.PushAccepted(version=version))


@handle.register
async def _(
    message: fleet.RosterPush, exchange: Exchange, components: Components
) -> None:
    if message.version > components.node.fleet.roster.version:
        roster = Roster.from_record(json.loads(message.record))
        components.replication.apply_roster(roster)
    version = components.node.fleet.roster.version
    await exchange.send(fleet.PushAccepted(version=version))


@handle.register
async def _(
    message: fleet.StateQuery, exchange: Exchange, components: Components
) -> None:
    await exchange.send(components.replication.make_state())


@handle.register
async def _(
    message: fleet.ClaimRight, exchange: Exchange, components: Components
) -> None:
    claim = Claim.from_record(message.claim)
    messages = await components.owned_resources.receive_claim(claim)
    await exchange.send(encode_grant(messages))


@handle.register
async def _(
    message: fleet.GrantRight, exchange: Exchange, components: Components
) -> None:
    for each in decode_grant(message):
        components.owned_resources.close_older_epoch(each.resource, each.epoch)
        components.allotments.accept(each)


@handle.register
async def _(
    message: fleet.MachinesPush, exchange: Exchange, components: Components
) -> None:
    components.owned_resources.apply_leaving(frozenset(message.away))


@handle.register
async def _(
    message: fleet.HandOver, exchange: Exchange, components: Components
) -> None:
    deadlines = components.owned_resources.hand_over(
        message.resource, message.epoch
    )
    if deadlines is None:
        raise RefusalError(Reason.STOPPING, retry_after=_RETRY_AFTER_S)
    await exchange.send(fleet.HandedOver(deadlines=deadlines))


@handle.register
async def _(
    message: fleet.LoadQuery, exchange: Exchange, components: Components
) -> None:
    reply = fleet.LoadReply(
        rows=components.moves.loads.list_rows(),
        moved=components.moves.list_moved_rates(),
    )
    await exchange.send(reply)


@handle.register
async def _(
    message: block.BlockQuery, exchange: Exchange, components: Components
) -> None:
    body = components.blocks.find_object(message.digest)
    await exchange.send(block.BlockReply(body=body))


@handle.register
async def _(
    message: fleet.RouteLoadQuery, exchange: Exchange, components: Components
) -> None:
    per_s = components.steering.list_route_loads(message.region)
    await exchange.send(fleet.RouteLoadReply(per_s=per_s))


@handle.register
async def _(
    message: fleet.MoveReport, exchange: Exchange, components: Components
) -> None:
    for row in message.rows:
        components.moves.record_hint(MoveHint(*row))


@handle.register
async def _(
    message: fleet.MovePush, exchange: Exchange, components: Components
) -> None:
    record = json.loads(message.record)
    identity = components.moves.identity
    progress = MoveProgress.from_record(record, identity, read_clock())
    components.moves.apply_progress(progress, message.version)


@handle.register(fleet.ReportCrash)
@handle.register(fleet.ReportSuccess)
async def _(
    message: Message, exchange: Exchange, components: Components
) -> None:
    await components.poison.apply_report(decode_report(message))


@handle.register
async def _(
    message: fleet.TraceQuery, exchange: Exchange, components: Components
) -> None:
    spans = components.node.tracing.buffer.find(message.trace_id)
    reply = fleet.TraceReply(spans=json.dumps(spans).encode())
    await exchange.send(reply)


@handle.register(run.RecordRun)
@handle.register(run.AwaitRun)
@handle.register(run.FinishRun)
async def _(
    message: Message, exchange: Exchange, components: Components
) -> None:
    owner = components.owned_resources.find_service(
        name_resource(message.partition)
    )
    if owner is None:
        raise RefusalError(
            Reason.RECORD_UNAVAILABLE, retry_after=_RETRY_AFTER_S
        )
    await exchange.send(encode_answer(await owner.answer(message)))


@handle.register
async def _(
    message: run.RunRequest, exchange: Exchange, components: Components
) -> None:
    body = await _receive_body(message, exchange, components)
    request = ForwardedRequest.from_message(message, body, read_clock())
    resource = SlotsResource(request.group, request.zone).name
    owner = components.owned_resources.find_service(resource)
    if owner is None or not components.owned_resources.may_serve(resource):
        raise RefusalError(Reason.STOPPING, retry_after=_RETRY_AFTER_S)
    await _run_request(request, owner, exchange, components)


async def _receive_body(
    message: run.RunRequest, exchange: Exchange, components: Components
) -> bytes:
    assembler = PartAssembler(
        message.request_id, components.node.wire_counters
    )
    body = bytearray()
    while not assembler.is_complete:
        part = await exchange.receive(_BODY_TIMEOUT_S)
        if type(part) is run.BodyEnd:
            assembler.finish(part)
        elif type(part) is run.BodyPart:
            body += assembler.accept(part) or b""
        else:
            raise FrameError("expected a part of the body")
    return bytes(body)


@asynccontextmanager
async def report_crash(execution: LocalExecution, exchange: Exchange):
    """Send a crash report to the entry host ahead of the failure.

    An exchange keeps the sequence of messages, so the entry host knows of the
    crash before it decides on a retry.
    """
    try:
        yield
    except RefusalError:
        if execution.crash_report is not None:
            await exchange.send(encode_report(execution.crash_report))
        raise


async def _run_request(
    request: ForwardedRequest,
    owner: SlotsOwner,
    exchange: Exchange,
    components: Components,
) -> None:
    node = components.node
    link = owner.find_link(exchange.peer.region)
    part_bytes = node.settings.wire.part_bytes
    splitter = PartSplitter(request.request_id, part_bytes)
    execution = LocalExecution(components, owner.dispatcher, request)
    async with execution, report_crash(execution, exchange):
        upstream = await execution.start()
        await exchange.send(
            run.RunStarted(request_id=request.request_id, upstream=upstream)
        )
        answer = await execution.open_answer()
        head = run.AnswerHead(
            request_id=request.request_id,
            status=answer.status,
            headers=[list(pair) for pair in answer.headers],
            upstream=upstream,
        )
        await exchange.send(head)
        async for data in answer.parts:
            for part in splitter.split(data, run.AnswerPart):
                if link is not None:
                    now = read_clock()
                    await asyncio.sleep(link.reserve(len(part.data), now))
                await exchange.send(part)
        await exchange.send(splitter.make_end(run.AnswerEnd))
