"""Connections to other hosts, a task for each, and heartbeats on them."""

import asyncio
import itertools
import logging
import random

from radishstile.entry.node import EntryNode, read_boottime_clock, read_clock
from radishstile.entry.recent_messages import RecentMessages
from radishstile.errors import WireError
from radishstile.fleet.leadership import (
    FOLLOW_INTERVAL_S,
    LEADER_TIMEOUT_S,
    Contact,
    choose_heartbeat_interval,
)
from radishstile.fleet.parts import OwnPart
from radishstile.member import Member
from radishstile.wire.backoff import Backoff
from radishstile.wire.client import PeerClient
from radishstile.wire.counters import WireCounters
from radishstile.wire.messages.slot import FollowLead, HeldSlots, LeadState
from radishstile.wire.settings import WireSettings

_LOG = logging.getLogger("radishstile.peers")

# Heartbeat interval of a host that is not initialized yet, in seconds: it
# needs a peer that is.
STARTUP_HEARTBEAT_INTERVAL_S = 0.05
# Shortest timeout of an answer to a heartbeat, in seconds: several round trips
# between the farthest regions.
ANSWER_MIN_S = 0.5
# Time without any answer of a suspected peer after which the connection is
# taken for silent, in seconds. A claim waits that long for its first answer.
SILENCE_S = 0.35


class Peer:
    """A host that this one connects to, and its last reported state.

    `dialled_at` and `answered_at` are the loop's times, in seconds, when this
    host began to connect to it and of its last answer; `is_followed` tells
    whether this host follows it. `held` are the claims at the peer that this
    host waits for or whose slots it holds.
    """

    __slots__ = (
        "client",
        "dialled_at",
        "answered_at",
        "heard_at",
        "heard_incarnation",
        "state",
        "is_followed",
        "held",
        "changed",
        "_informed_connection",
    )

    def __init__(self, client: PeerClient, now: float):
        self.client = client
        self.dialled_at = now
        self.answered_at = float("-inf")
        # Boot-time clock at the last answer, and the process that sent it.
        self.heard_at = float("-inf")
        self.heard_incarnation: int | None = None
        self.state: LeadState | None = None
        self.is_followed = False
        self.held: set[str] = set()
        self.changed = asyncio.Event()
        # Number of the connection on which the peer was introduced to.
        self._informed_connection = 0

    @property
    def member(self) -> Member:
        """Return the member at the other end."""
        return self.client.peer

    def is_usable(self, now: float) -> bool:
        """Return whether the peer answers and is not leaving."""
        if not self.client.is_connected or self.state is None:
            return False
        return (
            bool(self.state.lead) and now - self.answered_at < LEADER_TIMEOUT_S
        )

    def is_lost(self, now: float) -> bool:
        """Return whether the peer has not been usable for too long."""
        if self.is_usable(now):
            return False
        return now - self.dialled_at >= LEADER_TIMEOUT_S

    def measure_answer_time(self, now: float) -> float:
        """Return the seconds in which the next answer must come.

        The connection is replaced by the time that the peer is not usable.
        """
        unanswered_s = now - max(self.answered_at, self.dialled_at)
        left_s = LEADER_TIMEOUT_S - unanswered_s
        return left_s if left_s >= ANSWER_MIN_S else LEADER_TIMEOUT_S

    def measure_store_data_age(self, now: float) -> float:
        """Return the age of the peer's store data, in seconds."""
        return self.state.news_age_s + now - self.answered_at

    def record_answer(self, state: LeadState, now: float) -> None:
        """Apply the answer to a heartbeat.

        It leaves out the hosts if they are those of the last answer.
        """
        known = self.state
        if known is not None and known.hosts_digest == state.hosts_digest:
            state.hosts = known.hosts
        self.state = state
        self.answered_at = now
        self.heard_at = read_boottime_clock()
        self.heard_incarnation = self.client.peer_incarnation

    @property
    def has_heard_process(self) -> bool:
        """Return whether the last answer is that of the connected process."""
        return self.heard_incarnation == self.client.peer_incarnation

    async def introduce(self, recent: RecentMessages) -> None:
        """Tell the peer, once on each connection, what it may have missed.

        Raises `WireError`.
        """
        number = self.client.connection_count
        if number == self._informed_connection:
            return
        await self.client.notify(HeldSlots(claim_ids=sorted(self.held)))
        for message in recent.list_recent(read_clock()):
            await self.client.notify(message)
        self._informed_connection = number

    def suspect(self) -> None:
        """Make the peer unusable until it answers a heartbeat.

        A connection on which other answers are missing too has gone silent; a
        new one shows at once whether the peer is lost.
        """
        self.client.disconnect_silent(SILENCE_S)
        self.answered_at = float("-inf")
        self.changed.set()


class Peers:
    """Maintains connections to the hosts that this one needs.

    `part` is this host's part of the fleet's limits, lent by heartbeats, and
    `recent` are the notifications that new connections repeat. `counters` are
    those of all connections between hosts.
    """

    __slots__ = (
        "part",
        "recent",
        "counters",
        "_node",
        "_settings",
        "_peers",
        "_tasks",
        "_heartbeats",
    )

    def __init__(self, node: EntryNode, settings: WireSettings):
        self.part = OwnPart(read_boottime_clock())
        self.recent = RecentMessages()
        self._heartbeats = itertools.count(1)
        self._node = node
        self._settings = settings
        self.counters = WireCounters()
        self._peers: dict[str, Peer] = {}
        self._tasks: dict[str, asyncio.Task] = {}

    def find(self, host: str) -> Peer | None:
        """Return the peer of that name, if there is one."""
        return self._peers.get(host)

    def list_usable(self, region: str) -> list[Peer]:
        """Return the usable peers of a region."""
        now = read_clock()
        return [
            peer
            for peer in self._peers.values()
            if peer.member.region == region and peer.is_usable(now)
        ]

    def list_contacts(self, region: str) -> dict[str, Contact]:
        """Return what is known of the peers of a region, by host."""
        now = read_clock()
        return {
            host: Contact(
                peer.is_lost(now),
                peer.state.lead if peer.is_usable(now) else "",
            )
            for host, peer in self._peers.items()
            if peer.member.region == region
        }

    def list_connected(self) -> list[Peer]:
        """Return the peers with an open connection."""
        return [p for p in self._peers.values() if p.client.is_connected]

    def follow(self, host: str) -> None:
        """Notify all peers which of them this host follows."""
        for name, peer in self._peers.items():
            peer.is_followed = name == host
            peer.changed.set()

    def reconcile(
        self, wanted: list[Member], group: asyncio.TaskGroup
    ) -> None:
        """Connect to the wanted hosts, and disconnect from others."""
        by_host = {member.host: member for member in wanted}
        for host, peer in list(self._peers.items()):
            if peer.held and host not in by_host:
                continue
            # A restarted host keeps its peer while its address is the same.
            if not _is_same_address(by_host.get(host), peer.member):
                self._tasks.pop(host).cancel()
                del self._peers[host]
        for host, member in by_host.items():
            if host not in self._peers:
                client = PeerClient(
                    self._node.local_member,
                    member,
                    self._settings,
                    self.counters,
                )
                peer = self._peers[host] = Peer(client, read_clock())
                self._tasks[host] = group.create_task(self._run_peer(peer))

    async def _run_peer(self, peer: Peer) -> None:
        """Maintain a peer; an error ends its connection, not this task.

        Only cancellation ends it, when the peer is no longer wanted.
        """
        backoff = Backoff(
            self._settings.backoff_min_s,
            self._settings.backoff_max_s,
            random.Random(),
        )
        while True:
            try:
                await self._maintain(peer)
            except Exception as error:
                self.record_failure(peer.member, error)
            await asyncio.sleep(backoff.next_wait())

    def record_failure(self, member: Member, error: Exception) -> None:
        """Count and log an unexpected error in the work for one peer."""
        self.counters.failed_tasks += 1
        _LOG.error("peers: The work for %s failed.", member, exc_info=error)

    async def _maintain(self, peer: Peer) -> None:
        """Maintain a peer's connection and send heartbeats on it."""
        async with asyncio.TaskGroup() as group:
            group.create_task(peer.client.run())
            while True:
                peer.changed.clear()
                await self._send_heartbeat(peer)
                try:
                    async with asyncio.timeout(self._choose_pause(peer)):
                        await peer.changed.wait()
                except TimeoutError:
                    continue

    def _choose_pause(self, peer: Peer) -> float:
        """Return the seconds until the next heartbeat.

        One is due as soon as this host's part can be lent to its leader.
        """
        if not self._node.initialized.is_set():
            return STARTUP_HEARTBEAT_INTERVAL_S
        interval_s = choose_heartbeat_interval(self._measure_data_age())
        now = read_boottime_clock()
        end = self.part.find_other_end(peer.member.host, now)
        if not peer.is_followed or end is None:
            return interval_s
        return min(interval_s, end - now)

    def _measure_data_age(self) -> float:
        """Return the age of the store data that this host goes by."""
        for peer in self._peers.values():
            if peer.is_followed and peer.state is not None:
                return peer.measure_store_data_age(read_clock())
        return self._node.measure_store_data_age()

    async def _send_heartbeat(self, peer: Peer) -> None:
        try:
            await peer.client.wait_connected(FOLLOW_INTERVAL_S)
            await peer.introduce(self.recent)
            asked_at = read_boottime_clock()
            question = self._make_heartbeat(peer)
            state = await peer.client.call(
                question, peer.measure_answer_time(read_clock())
            )
        except TimeoutError:
            if peer.client.is_connected:
                _LOG.warning("peers: Heartbeat to %s timed out.", peer.member)
                peer.client.disconnect()
            return
        except WireError as error:
            _LOG.info("peers: Heartbeat to %s failed: %s", peer.member, error)
            return
        peer.record_answer(state, read_clock())
        if not question.lends:
            self._release_part(peer.member.host)
        self._node.accept_confirmation(state.version, asked_at - state.age_s)

    def release_ended(self) -> None:
        """Take this host's part back from leaders whose process is gone."""
        for host, peer in self._peers.items():
            if peer.client.last_refused_at is not None:
                self._release_part(host)

    def _release_part(self, host: str) -> None:
        if not self.part.release(host):
            return
        for peer in self._peers.values():
            if peer.is_followed:
                peer.changed.set()

    def _make_heartbeat(self, peer: Peer) -> FollowLead:
        node = self._node
        echo = 0.0
        lends = False
        if peer.state and peer.has_heard_process:
            # Another process' clock, perhaps of before a loss of power, would
            # make an old confirmation or lease look new.
            echo = peer.state.clock
            lends = peer.is_followed and self.part.try_lend(
                peer.member.host, peer.heard_at, read_boottime_clock()
            )
        return FollowLead(
            number=next(self._heartbeats),
            is_leaving=node.is_leaving,
            follows=peer.is_followed,
            lends=lends,
            is_settled=node.is_settled(),
            echo=echo,
            hosts_digest=peer.state.hosts_digest if peer.state else 0,
            version=node.catalog.version if node.catalog else 0,
            age_s=node.measure_confirmation_age(),
            news_age_s=node.measure_store_data_age(),
        )


def _is_same_address(wanted: Member | None, dialled: Member) -> bool:
    """Return whether a wanted host has the address of a connected one."""
    if wanted is None:
        return False
    endpoint = (dialled.address, dialled.peer_port)
    return (wanted.address, wanted.peer_port) == endpoint
