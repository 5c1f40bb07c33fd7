"""Executes operator commands on a daemon."""

import asyncio
import base64
import json
from functools import singledispatch

from radishstile.configuration.document import Configuration
from radishstile.configuration.patch import diff_documents
from radishstile.daemon.components import Components
from radishstile.daemon.node import read_clock
from radishstile.errors import (
    OperatorError,
    RefusalError,
    StaleVersionError,
    WireError,
)
from radishstile.lookup.chunk import check_chunk
from radishstile.lookup.manifest import Manifest
from radishstile.operation import command as commands
from radishstile.operation.status import describe_status
from radishstile.shift.drain import plan_drain
from radishstile.shift.patch import check_patch
from radishstile.wire.messages.fleet import RouteLoadQuery, TraceQuery
from radishstile.wire.refusals import raise_for_error
from radishstile.workspace.key import hash_secret, issue_key

_EDIT_ATTEMPTS = 5
_CALL_TIMEOUT_S = 1.0


class CommandExecutor:
    """Executes commands on behalf of an operator."""

    __slots__ = ("parts",)

    def __init__(self, parts: Components):
        self.parts = parts

    async def execute(
        self, command: commands.Command, operator: str
    ) -> object:
        """Return a command's result as a JSON-compatible value."""
        return await execute_command(command, operator, self.parts)


@singledispatch
async def execute_command(
    command: commands.Command, operator: str, parts: Components
) -> object:
    """Execute one command; raises `RadishstileError`."""
    raise TypeError(f"unknown command {type(command).__name__}")


@execute_command.register
async def _(command: commands.ShowConfiguration, operator, parts: Components):
    store = parts.node.ledger
    if command.version:
        revision = await store.read_version(command.version)
    else:
        revision = parts.node.revision
    return revision.to_record()


@execute_command.register
async def _(command: commands.ListHistory, operator, parts: Components):
    entries = await parts.node.ledger.list_entries(0, command.limit)
    return [entry.to_record() for entry in entries]


@execute_command.register
async def _(command: commands.DiffVersions, operator, parts: Components):
    store = parts.node.ledger
    old = await store.read_version(command.old)
    new = await store.read_version(command.new)
    return diff_documents(old.document, new.document)


@execute_command.register
async def _(command: commands.SubmitPatch, operator, parts: Components):
    try:
        return await _submit(
            command.from_version, command.patch, operator, parts
        )
    except StaleVersionError as error:
        raise await _add_recent_changes(error, parts) from error


@execute_command.register
async def _(command: commands.IssueKey, operator, parts: Components):
    key = issue_key()
    record = {"hash": hash_secret(key.secret), "issued_by": operator}

    def make_patch(configuration: Configuration) -> dict:
        if command.workspace not in configuration.workspaces:
            raise OperatorError(f"unknown workspace {command.workspace!r}")
        return _make_key_patch(command.workspace, {key.key_id: record})

    result = await _submit_edit(make_patch, operator, parts)
    return {
        **result,
        "key": key.text,
        "key_id": key.key_id,
        "workspace": command.workspace,
    }


@execute_command.register
async def _(command: commands.RevokeKey, operator, parts: Components):
    def make_patch(configuration: Configuration) -> dict:
        for workspace in configuration.workspaces.values():
            if command.key_id in workspace.keys:
                return _make_key_patch(workspace.name, {command.key_id: None})
        raise OperatorError(f"unknown key {command.key_id!r}")

    return await _submit_edit(make_patch, operator, parts)


@execute_command.register
async def _(command: commands.DrainUpstream, operator, parts: Components):
    def make_patch(configuration: Configuration) -> dict:
        upstream = configuration.upstreams.get(command.upstream)
        if upstream is None:
            raise OperatorError(f"unknown upstream {command.upstream!r}")
        state = "active" if command.undo else "draining"
        upstreams = {"upstreams": {upstream.name: {"state": state}}}
        return {"groups": {upstream.group: upstreams}}

    return await _submit_edit(make_patch, operator, parts)


@execute_command.register
async def _(command: commands.DrainRegion, operator, parts: Components):
    loads = await _fetch_route_loads(command.region, parts)

    def make_patch(configuration: Configuration) -> dict:
        cap_per_s = command.cap_per_s
        moves = plan_drain(configuration, command.region, cap_per_s, loads)
        for move in moves.values():
            move["step"] = command.step
            move["pace_s"] = command.pace_s
        return {"moves": moves}

    return await _submit_edit(make_patch, operator, parts)


@execute_command.register
async def _(command: commands.MoveTraffic, operator, parts: Components):
    def make_patch(configuration: Configuration) -> dict:
        if not command.cancel:
            return {"moves": {command.name: _make_move(command)}}
        move = configuration.moves.get(command.name)
        if move is None:
            raise OperatorError(f"unknown move {command.name!r}")
        known = parts.steering.find_progress(command.name)
        if move.target_share > 0 and known and known.progress.share > 0:
            # Its traffic returns in steps; the next cancel deletes the move.
            return {"moves": {command.name: {"target_share": 0}}}
        return {"moves": {command.name: None}}

    return await _submit_edit(make_patch, operator, parts)


@execute_command.register
async def _(command: commands.PutBlocks, operator, parts: Components):
    try:
        body = base64.b64decode(command.body, validate=True)
    except ValueError as error:
        raise OperatorError(f"block chunk: {error}") from error
    check_chunk(body, command.digest)
    await parts.blocks.store_object(command.digest, body)
    return {"digest": command.digest}


@execute_command.register
async def _(command: commands.PublishBlocks, operator, parts: Components):
    if not all(type(digest) is str for digest in command.digests):
        raise OperatorError("publish-blocks: digests: expected strings")
    manifest = Manifest(list(command.sites), command.digests)
    await parts.blocks.store_object(manifest.digest, manifest.encode())

    def make_patch(configuration: Configuration) -> dict:
        removed = dict.fromkeys(configuration.sites)
        sites = {**removed, **command.sites}
        return {"sites": sites, "block_table": manifest.digest}

    return await _submit_edit(make_patch, operator, parts)


@execute_command.register
async def _(command: commands.ShowStatus, operator, parts: Components):
    return describe_status(parts, read_clock())


@execute_command.register
async def _(command: commands.FindTrace, operator, parts: Components):
    try:
        spans = parts.node.tracing.buffer.find(command.trace_id)
    except ValueError as error:
        raise OperatorError("a trace id is 32 hexadecimal digits") from error
    calls = [
        _fetch_spans(member, command.trace_id, parts)
        for member in parts.node.fleet.list_entry_members(read_clock())
        if member != parts.node.local_member
    ]
    for fetched in await asyncio.gather(*calls):
        spans += fetched
    return sorted(spans, key=lambda span: span["started_ns"])


async def _fetch_route_loads(
    region: str, parts: Components
) -> dict[str, float]:
    """Return each route's requests a second from a region's clients."""
    total = dict(parts.steering.list_route_loads(region))
    calls = [
        _fetch_loads(member, region, parts)
        for member in parts.node.fleet.list_entry_members(read_clock())
        if member != parts.node.local_member
    ]
    for loads in await asyncio.gather(*calls):
        for route, per_s in loads.items():
            total[route] = total.get(route, 0.0) + per_s
    return total


async def _fetch_loads(
    member, region: str, parts: Components
) -> dict[str, float]:
    query = RouteLoadQuery(region=region)
    try:
        reply = await parts.peers.call(member, query, _CALL_TIMEOUT_S)
        raise_for_error(reply)
    except (WireError, RefusalError, TimeoutError):
        return {}
    return reply.per_s


async def _fetch_spans(member, trace_id: str, parts: Components) -> list[dict]:
    query = TraceQuery(trace_id=trace_id)
    try:
        reply = await parts.peers.call(member, query, _CALL_TIMEOUT_S)
        raise_for_error(reply)
    except (WireError, RefusalError, TimeoutError):
        return []
    return json.loads(reply.spans)


def _make_key_patch(workspace: str, keys: dict) -> dict:
    return {"workspaces": {workspace: {"keys": keys}}}


def _make_move(command: commands.MoveTraffic) -> dict:
    fields = ("route", "from_region", "to_region", "cap_per_s")
    fields += ("target_share", "step", "pace_s")
    return {name: getattr(command, name) for name in fields}


async def _submit_edit(make_patch, operator: str, parts: Components) -> dict:
    """Submit a patch of the current version; retry if it becomes stale."""
    for _ in range(_EDIT_ATTEMPTS):
        current = await parts.node.ledger.read_current()
        configuration = Configuration(current.version, current.document)
        patch = make_patch(configuration)
        try:
            return await _submit(current.version, patch, operator, parts)
        except StaleVersionError:
            continue
    raise OperatorError(
        "too many concurrent patches by other operators; try again"
    )


async def _submit(
    version: int, patch: object, operator: str, parts: Components
) -> dict:
    fleet = parts.node.fleet
    # Most hosts do not watch the store, so read the newest state first.
    await parts.replication.load()
    if not fleet.may_accept_patches(read_clock()):
        raise OperatorError(
            "this host can't accept patches now: it does not reach the store"
            " or its peers; use another host"
        )
    moved_loads = await _fetch_moved_loads(parts)

    def check(old: Configuration, new: Configuration) -> None:
        check_patch(old, new, moved_loads)

    revision = await parts.node.ledger.submit(version, patch, operator, check)
    parts.replication.apply_revision(revision)
    return {"version": revision.version}


async def _fetch_moved_loads(parts: Components) -> dict[str, float]:
    names = list(parts.node.configuration.moves)
    loads = await asyncio.gather(*map(parts.moves.find_moved_rate, names))
    return dict(zip(names, loads, strict=True))


async def _add_recent_changes(
    error: StaleVersionError, parts: Components
) -> StaleVersionError:
    """Add the patches since the stated version to the message."""
    entries = await parts.node.ledger.list_entries(error.stated, 5)
    since = "; ".join(
        f"{e.version} by {e.operator}: {json.dumps(e.patch)}"
        for e in reversed(entries)
    )
    error.args = (f"{error}; since then: {since}",)
    return error
