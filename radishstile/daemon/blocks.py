"""Loads the block table that the configuration names."""

import asyncio
import base64
import logging

from radishstile.daemon.node import Node, read_clock
from radishstile.daemon.peers import Peer, Peers
from radishstile.daemon.steering import Steering
from radishstile.errors import (
    ConfigurationError,
    PlatformError,
    RefusalError,
    VersionConflictError,
    WireError,
)
from radishstile.lookup.chunk import ChunkAssembler, check_chunk
from radishstile.lookup.manifest import Manifest
from radishstile.lookup.table import BlockTable
from radishstile.wire.messages.block import BlockQuery
from radishstile.wire.refusals import raise_for_error

_LOG = logging.getLogger("radishstile.blocks")
_CHECK_INTERVAL_S = 1.0
_RETRY_DELAY_S = 3.0
_QUERY_TIMEOUT_S = 5.0
_MAX_PEER_ATTEMPTS = 3


class BlockTableLoader:
    """Fetches the objects of a block table that this host lacks.

    A table is a manifest and its chunks. Each is an object named by its
    digest, so unchanged objects are reused. Only watchers read the store;
    other hosts call their peers, which serve an object once they have it.
    """

    __slots__ = ("_node", "_peers", "_steering", "_objects", "_loaded_digest")

    def __init__(self, node: Node, peers: Peers, steering: Steering):
        self._node = node
        self._peers = peers
        self._steering = steering
        self._objects: dict[str, bytes] = {}
        self._loaded_digest = ""

    async def run(self) -> None:
        """Load the table whenever the configuration names another."""
        while True:
            digest = self._node.configuration.block_table
            if digest == self._loaded_digest or await self._try_load(digest):
                await asyncio.sleep(_CHECK_INTERVAL_S)
            else:
                await asyncio.sleep(_RETRY_DELAY_S)

    @property
    def digest(self) -> str:
        """Return the digest of the table in use, or an empty string."""
        return self._loaded_digest

    def find_object(self, digest: str) -> bytes:
        """Return an object that this host has, or empty bytes."""
        return self._objects.get(digest, b"")

    async def store_object(self, digest: str, body: bytes) -> None:
        """Write an object to the store; raises `PlatformError`."""
        value = {"body": base64.b64encode(body).decode()}
        try:
            await self._node.store.update(_make_object_name(digest), value, 0)
        except VersionConflictError:
            _LOG.debug("blocks: %s is already in the store.", digest)

    async def _try_load(self, digest: str) -> bool:
        """Load a table; return whether that succeeded."""
        try:
            await self._load(digest)
            return True
        except (PlatformError, WireError, TimeoutError) as error:
            _LOG.info(
                "blocks: Table %s can't be fetched yet: %s", digest, error
            )
        except (ConfigurationError, RefusalError) as error:
            _LOG.warning("blocks: Table %s can't be used: %s", digest, error)
        except Exception:
            # A damaged object must not stop the daemon.
            _LOG.exception("blocks: Loading table %s failed.", digest)
        return False

    async def _load(self, digest: str) -> None:
        """Fetch and build a table; the previous one serves meanwhile."""
        if not digest:
            self._steering.replace_table(BlockTable.build([]), [])
            self._objects = {}
            self._loaded_digest = digest
            return
        encoded = await self._fetch(digest)
        manifest = Manifest.decode(encoded, digest)
        assembler = ChunkAssembler()
        for chunk_digest in manifest.digests:
            assembler.add(await self._fetch_chunk(chunk_digest))
            # Lets requests run between the chunks.
            await asyncio.sleep(0)
        table = BlockTable.from_assembler(assembler)
        self._steering.replace_table(table, manifest.sites)
        self._keep_only({digest, *manifest.digests})
        self._loaded_digest = digest
        _LOG.info(
            "blocks: Loaded %d intervals of table %s.", len(table), digest
        )

    def _keep_only(self, digests: set[str]) -> None:
        self._objects = {d: self._objects[d] for d in digests}

    async def _fetch_chunk(self, digest: str) -> bytes:
        is_cached = digest in self._objects
        body = await self._fetch(digest)
        if not is_cached:
            try:
                check_chunk(body, digest)
            except ConfigurationError:
                del self._objects[digest]
                raise
        return body

    async def _fetch(self, digest: str) -> bytes:
        body = self._objects.get(digest)
        if body is None:
            body = await self._fetch_remote(digest)
            self._objects[digest] = body
        return body

    async def _fetch_remote(self, digest: str) -> bytes:
        if self._node.fleet.is_watcher(read_clock()):
            return await self._read_store(digest)
        peers = self._peers.list_connected()
        self._node.random.shuffle(peers)
        for peer in peers[:_MAX_PEER_ATTEMPTS]:
            body = await self._query_peer(peer, digest)
            if body:
                return body
        raise WireError(f"no peer has {digest} yet")

    async def _read_store(self, digest: str) -> bytes:
        stored = await self._node.store.read(_make_object_name(digest))
        if stored is None:
            raise ConfigurationError(f"{digest} is not in the store")
        return base64.b64decode(stored.value["body"])

    async def _query_peer(self, peer: Peer, digest: str) -> bytes:
        message = BlockQuery(digest=digest)
        try:
            reply = await peer.client.call(message, _QUERY_TIMEOUT_S)
            raise_for_error(reply)
        except (WireError, RefusalError, TimeoutError):
            return b""
        return reply.body


def _make_object_name(digest: str) -> str:
    return f"blocks/{digest}"
