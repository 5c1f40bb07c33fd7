"""Reading stored objects through a peer instead of from the store."""

import asyncio
import logging
from functools import singledispatch

import msgpack

from radishstile.entry.logs import log_fields
from radishstile.entry.peers import Peer
from radishstile.errors import (
    HistoryLostError,
    StoreUnavailableError,
    WireError,
)
from radishstile.platform.revision import Revision
from radishstile.platform.stored_objects import (
    Change,
    Changes,
    Listing,
    Patch,
    PlatformObject,
)
from radishstile.wire.messages.slot import MirrorQuery, MirrorReply

_LOG = logging.getLogger("radishstile.sources")

# Timeout of a peer's answer beyond the requested wait, in seconds.
ANSWER_TIMEOUT_S = 1.0
_LIST_REVISION = -1
# Size from which a reply goes on in a further message, in bytes.
PAGE_BYTES = 262_144
# Longest object that is passed on, in bytes. No usable entry is longer; one
# that is would not fit a frame.
OBJECT_LIMIT_BYTES = 1_048_576


class PeerSource:
    """Reads a peer's mirrors, with the interface of the store's client."""

    __slots__ = ("_peer",)

    def __init__(self, peer: Peer):
        self._peer = peer

    async def list_kind(self, kind: str) -> Listing:
        """Return all objects of a kind that the peer has."""
        reply = await self._query(kind, _LIST_REVISION, 0.0)
        objects = [_decode(record).object for record in reply.objects]
        return Listing(objects, Revision(reply.revision))

    async def watch(
        self, kind: str, revision: Revision, wait_s: float
    ) -> Changes:
        """Return the peer's changes after `revision`."""
        reply = await self._query(kind, revision, wait_s)
        changes = [_decode(record) for record in reply.objects]
        return Changes(changes, Revision(reply.revision))

    async def _query(
        self, kind: str, revision: int, wait_s: float
    ) -> MirrorReply:
        query = MirrorQuery(kind=kind, revision=int(revision), wait_s=wait_s)
        try:
            async with asyncio.timeout(wait_s + ANSWER_TIMEOUT_S):
                reply = await self._receive(query, kind)
        except (WireError, TimeoutError) as error:
            name = type(error).__name__
            raise StoreUnavailableError(
                f"{self._peer.member} did not answer ({name})"
            ) from error
        return reply

    async def _receive(self, query: MirrorQuery, kind: str) -> MirrorReply:
        """Return all messages of an answer as one."""
        objects = []
        async with await self._peer.client.open(query) as exchange:
            while True:
                reply = await exchange.receive()
                _check(reply, kind)
                objects += reply.objects
                if not reply.has_more:
                    exchange.mark_closed()
                    reply.objects = objects
                    return reply


def encode_listing(listing: Listing) -> MirrorReply:
    """Return the message for a listing."""
    changes = [Change(stored, False) for stored in listing.objects]
    return encode_changes(Changes(changes, listing.revision))


def encode_changes(changes: Changes) -> MirrorReply:
    """Return the message for changes."""
    return MirrorReply(
        objects=[_encode_change(change) for change in changes.changes],
        revision=int(changes.revision),
        is_lost=False,
        has_more=False,
    )


def split_reply(reply: MirrorReply) -> list[MirrorReply]:
    """Return an answer in messages that each fit a frame."""
    pages = [[]]
    size = 0
    for record in reply.objects:
        length = len(msgpack.packb(record))
        if length > OBJECT_LIMIT_BYTES:
            _LOG.warning(
                "sources: Object left out.",
                extra=log_fields(name=record[0], bytes=length),
            )
            record, length = _drop_content(record), 0
        if size and size + length > PAGE_BYTES:
            pages.append([])
            size = 0
        pages[-1].append(record)
        size += length
    return [
        MirrorReply(
            objects=page,
            revision=reply.revision,
            is_lost=reply.is_lost,
            has_more=number < len(pages),
        )
        for number, page in enumerate(pages, 1)
    ]


def _drop_content(record: list) -> list:
    """Return the record of an object without its spec and status."""
    name, revision, _, _, is_removed, *_ = record
    return [name, revision, None, None, is_removed]


def _check(reply: MirrorReply, kind: str) -> None:
    if reply.is_lost:
        raise HistoryLostError(f"{kind}: the peer no longer has the changes")


@singledispatch
def _encode_change(change) -> list:
    raise TypeError(type(change).__name__)


@_encode_change.register
def _(change: Change) -> list:
    stored = change.object
    return [
        stored.name,
        int(stored.revision),
        stored.spec,
        stored.status,
        change.is_removed,
    ]


@_encode_change.register
def _(change: Patch) -> list:
    return [
        change.name,
        int(change.revision),
        change.spec,
        change.status,
        False,
        int(change.base_revision),
    ]


def _decode(record: list) -> Change | Patch:
    name, number, spec, status, is_removed, *base = record
    revision = Revision(number)
    if base:
        return Patch(name, revision, Revision(base[0]), spec, status)
    stored = PlatformObject(name, revision, False, spec, status)
    return Change(stored, is_removed)
