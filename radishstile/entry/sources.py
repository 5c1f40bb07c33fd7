"""Reading stored objects through a peer instead of from the store."""

from functools import singledispatch

from radishstile.entry.peers import Peer
from radishstile.errors import (
    HistoryLostError,
    StoreUnavailableError,
    WireError,
)
from radishstile.platform.objects import (
    Change,
    Changes,
    Listing,
    Patch,
    PlatformObject,
)
from radishstile.wire.messages.base import Message
from radishstile.wire.messages.slot import MirrorQuery, MirrorReply

# Timeout of a peer's answer beyond the requested wait, in seconds.
ANSWER_TIMEOUT_S = 1.0
_LIST_REVISION = -1


class PeerSource:
    """Reads a peer's mirrors, with the interface of the store's client."""

    __slots__ = ("_peer",)

    def __init__(self, peer: Peer):
        self._peer = peer

    async def list_kind(self, kind: str) -> Listing:
        """Return all objects of a kind that the peer has."""
        reply = await self._query(kind, _LIST_REVISION, 0.0)
        objects = [_decode(record).object for record in reply.objects]
        return Listing(objects, reply.revision)

    async def watch(self, kind: str, revision: int, wait_s: float) -> Changes:
        """Return the peer's changes after `revision`."""
        reply = await self._query(kind, revision, wait_s)
        changes = [_decode(record) for record in reply.objects]
        return Changes(changes, reply.revision)

    async def _query(
        self, kind: str, revision: int, wait_s: float
    ) -> MirrorReply:
        query = MirrorQuery(kind=kind, revision=revision, wait_s=wait_s)
        try:
            reply = await self._peer.client.call(
                query, wait_s + ANSWER_TIMEOUT_S
            )
        except (WireError, TimeoutError) as error:
            name = type(error).__name__
            raise StoreUnavailableError(
                f"{self._peer.member} did not answer ({name})"
            ) from error
        _check(reply, kind)
        return reply


def encode_listing(listing: Listing) -> MirrorReply:
    """Return the message for a listing."""
    changes = [Change(stored, False) for stored in listing.objects]
    return encode_changes(Changes(changes, listing.revision))


def encode_changes(changes: Changes) -> MirrorReply:
    """Return the message for changes."""
    return MirrorReply(
        objects=[_encode_change(change) for change in changes.changes],
        revision=changes.revision,
        is_lost=False,
    )


def _check(reply: Message, kind: str) -> None:
    if type(reply) is not MirrorReply:
        raise StoreUnavailableError(f"{kind}: unexpected answer from the peer")
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
        stored.revision,
        stored.spec,
        stored.status,
        change.is_removed,
    ]


@_encode_change.register
def _(change: Patch) -> list:
    return [
        change.name,
        change.revision,
        change.spec,
        change.status,
        False,
        change.base_revision,
    ]


def _decode(record: list) -> Change | Patch:
    name, revision, spec, status, is_removed, *base_revision = record
    if base_revision:
        return Patch(name, revision, base_revision[0], spec, status)
    stored = PlatformObject(name, revision, False, spec, status)
    return Change(stored, is_removed)
