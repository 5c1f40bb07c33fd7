"""Connections to the peers that this host dials, one task each."""

import asyncio
import logging

from radishstile.daemon.components import Components
from radishstile.daemon.hint import decode_hint
from radishstile.daemon.node import read_clock
from radishstile.errors import (
    FrameError,
    PeerLostError,
    RefusalError,
    WireError,
)
from radishstile.fleet.statement import Statement
from radishstile.member import Member
from radishstile.route.candidates import ZoneHint
from radishstile.wire.client import PeerClient
from radishstile.wire.messages.base import Message
from radishstile.wire.messages.fleet import Heartbeat
from radishstile.wire.records import decode_record
from radishstile.wire.refusals import raise_for_error

_LOG = logging.getLogger("radishstile.peers")
_IDLE_TIMEOUT_S = 30.0
_CONNECT_WAIT_S = 1.0


class Peer:
    """One peer: its client, its last statement and what to send it next.

    `configuration_version` and `roster_version` are the newest that the
    peer is known to have; `expires_at` is when an unused connection is
    closed. Only peers in use as owners are asked for hints.
    """

    __slots__ = (
        "client",
        "task",
        "wakeup",
        "configuration_version",
        "roster_version",
        "expires_at",
        "heard_at",
        "hints",
        "delay_s",
        "move_versions",
        "wants_hints",
    )

    def __init__(self, client: PeerClient):
        self.client = client
        self.task: asyncio.Task | None = None
        self.wakeup = asyncio.Event()
        self.configuration_version = 0
        self.roster_version = 0
        self.expires_at = 0.0
        self.heard_at = float("-inf")
        self.hints: dict[str, list[int]] = {}
        self.delay_s: float | None = None
        self.move_versions: dict[str, int] = {}
        self.wants_hints = False

    @property
    def member(self) -> Member:
        """Return the member that this host dials."""
        return self.client.peer


class Peers:
    """Keeps a connection to each neighbour and to each owner in use."""

    __slots__ = ("_node", "_components", "_group", "_by_host")

    def __init__(self, components: Components):
        self._node = components.node
        self._components = components
        self._group: asyncio.TaskGroup | None = None
        self._by_host: dict[str, Peer] = {}

    async def run(self) -> None:
        """Dial neighbours, and drop peers that ended or are unused."""
        async with asyncio.TaskGroup() as group:
            self._group = group
            while True:
                self._dial_neighbours()
                self._drop_unneeded()
                await asyncio.sleep(self._node.settings.fleet.heartbeat_s)

    def list_connected(self) -> list[Peer]:
        """Return the connected peers."""
        return [
            peer for peer in self._by_host.values() if peer.client.is_connected
        ]

    def list_configuration_versions(self) -> dict[str, int]:
        """Return the configuration version known of each connected peer."""
        return {
            host: peer.configuration_version
            for host, peer in self._by_host.items()
            if peer.client.is_connected
        }

    def wake_all(self) -> None:
        """Wake each peer's task to send what the peer does not have yet."""
        for peer in self._by_host.values():
            peer.wakeup.set()

    def get_or_dial(self, member: Member) -> Peer:
        """Return the peer for `member`, dialling it if needed."""
        peer = self._by_host.get(member.host)
        if peer is None or peer.member != member:
            peer = self._dial(member)
        peer.expires_at = read_clock() + _IDLE_TIMEOUT_S
        return peer

    def find_delay(self, member: Member) -> float | None:
        """Return the measured one-way delay to `member`, in seconds."""
        if member == self._node.local_member:
            return 0.0
        return self.get_or_dial(member).delay_s

    def find_hint(self, member: Member, resource: str) -> ZoneHint | None:
        """Return the last hint of `member` on a resource's free capacity."""
        peer = self.get_or_dial(member)
        peer.wants_hints = True
        record = peer.hints.get(resource)
        return None if record is None else decode_hint(record, peer.heard_at)

    async def call(
        self, member: Member, message: Message, timeout_s: float
    ) -> Message:
        """Call `member`; raises `PeerLostError` and `TimeoutError`."""
        client = await self.connect(member, min(timeout_s, _CONNECT_WAIT_S))
        return await client.call(message, timeout_s)

    async def notify(self, member: Member, message: Message) -> bool:
        """Notify `member`; return False if it is not connected."""
        peer = self.get_or_dial(member)
        try:
            await peer.client.notify(message)
        except PeerLostError:
            _LOG.debug("peers: %s is not connected.", member.host)
            return False
        return True

    async def connect(self, member: Member, timeout_s: float) -> PeerClient:
        """Return a connected client; raises `PeerLostError`."""
        client = self.get_or_dial(member).client
        if not client.is_connected:
            try:
                await client.wait_connected(timeout_s)
            except TimeoutError as error:
                raise PeerLostError(
                    f"{member.host} is not connected"
                ) from error
        return client

    def _dial(self, member: Member) -> Peer:
        known = self._by_host.get(member.host)
        if known is not None:
            known.task.cancel()
        node = self._node
        client = PeerClient(
            node.local_member,
            member,
            node.settings.wire,
            node.wire_counters,
            node.random,
        )
        peer = Peer(client)
        self._by_host[member.host] = peer
        peer.task = self._group.create_task(self._run_peer(peer))
        return peer

    def _dial_neighbours(self) -> None:
        now = read_clock()
        for member in self._node.fleet.list_heartbeat_peers(now):
            known = self._by_host.get(member.host)
            if known is None or known.member != member:
                self._dial(member)
            self._by_host[member.host].expires_at = now + _IDLE_TIMEOUT_S

    def _drop_unneeded(self) -> None:
        now = read_clock()
        fleet = self._node.fleet
        for host, peer in list(self._by_host.items()):
            is_ended = (
                fleet.find_end_evidence(peer.member.identity) is not None
            )
            if is_ended or peer.expires_at < now:
                peer.task.cancel()
                del self._by_host[host]

    async def _run_peer(self, peer: Peer) -> None:
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(peer.client.run())
                while True:
                    await self._exchange_heartbeat(peer)
                    await self._wait_for_next_heartbeat(peer)
        except Exception:
            # One peer must not stop the others; it is dialled again.
            self._node.wire_counters.failed_tasks += 1
            _LOG.exception("peers: The task for %s failed.", peer.member.host)
            peer.expires_at = 0.0

    async def _wait_for_next_heartbeat(self, peer: Peer) -> None:
        peer.wakeup.clear()
        try:
            async with asyncio.timeout(self._node.settings.fleet.heartbeat_s):
                await peer.wakeup.wait()
        except TimeoutError:
            return

    async def _exchange_heartbeat(self, peer: Peer) -> None:
        """Push pending versions, send one heartbeat and apply its reply."""
        if not peer.client.is_connected:
            self._record_refused(peer)
            return
        timeout_s = self._node.settings.fleet.suspect_after_s
        try:
            await self._components.replication.push_to(peer)
            await self._components.moves.push_to(peer)
            sent_at = read_clock()
            message = Heartbeat(wants_hints=peer.wants_hints)
            reply = await peer.client.call(message, timeout_s)
            raise_for_error(reply)
            statement = decode_record(Statement.from_record, reply.statement)
        except FrameError as error:
            _LOG.warning(
                "peers: %s sent a malformed statement: %s", peer.member, error
            )
            return
        except (WireError, RefusalError, TimeoutError) as error:
            _LOG.info(
                "peers: Heartbeat to %s failed: %s", peer.member.host, error
            )
            return
        self._apply_statement(peer, statement, sent_at)
        await self._components.replication.pull_from(peer)

    def _apply_statement(
        self, peer: Peer, statement: Statement, sent_at: float
    ) -> None:
        now = read_clock()
        self._node.fleet.record_heartbeat(statement, sent_at, now)
        peer.heard_at = now
        peer.hints = statement.hints
        peer.delay_s = (now - sent_at) / 2
        peer.configuration_version = statement.configuration_version
        peer.roster_version = statement.roster_version

    def _record_refused(self, peer: Peer) -> None:
        if peer.client.last_refused_at is not None:
            identity = peer.member.identity
            self._node.fleet.record_refused(identity, read_clock())
