"""The host's replica of the store, with one task for each kind of object."""

import asyncio
import logging

from radishstile.entry.eras import EraObserver
from radishstile.entry.leadership import Leadership
from radishstile.entry.logs import log_fields
from radishstile.entry.node import EntryNode, read_boottime_clock, read_clock
from radishstile.entry.peers import Peer
from radishstile.entry.sources import PeerSource
from radishstile.entry.subscribers import SUBSCRIBERS, Subscriber
from radishstile.errors import (
    HistoryLostError,
    PlatformError,
    WireError,
)
from radishstile.fleet.first_list import FirstListSources
from radishstile.fleet.leadership import FRESH_MAX_AGE_S
from radishstile.platform.configuration import CONFIGURATION_KIND
from radishstile.platform.mirror import Mirror
from radishstile.platform.objects import ObjectClient
from radishstile.platform.registrations import HOST_KIND, UPSTREAM_KIND
from radishstile.platform.stored_objects import Listing

_LOG = logging.getLogger("radishstile.replica")

# Longest wait of a watch at a peer, in seconds. The watch ends early when
# heartbeats show that the peer is lost or has no fresh store data.
PEER_WATCH_S = 10.0
# The same for a leader that the store rejects, whose followers need to know
# the age of its store data; and the interval of its attempts at the store.
REJECTED_LEADER_WATCH_S = 0.4
STORE_PROBE_INTERVAL_S = 1.0
# Time after its start in which a host waits for an initialized peer before it
# reads from the store, in seconds. For the first host of a region it is just
# enough to reach a host that was there before; the others wait for the first.
FIRST_HOST_PEER_WAIT_S = 0.15
PEER_WAIT_S = 0.6
# Interval of checks for such a peer, in seconds.
PEER_CHECK_INTERVAL_S = 0.02
# Interval of checks for a change of the source, in seconds, and that of kinds
# whose changes all hosts must know soon.
SOURCE_CHECK_INTERVAL_S = 0.25
URGENT_CHECK_INTERVAL_S = 0.1
_URGENT_KINDS = frozenset({CONFIGURATION_KIND, UPSTREAM_KIND})
# Pauses after failed calls, in seconds, doubled up to the maximum. Followers
# learn from their leader when the store is back, so they retry less often.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.4
FOLLOWER_RETRY_MAX_S = 2.0


class Replica:
    """Replicates the store to this host, through its leader if it has one.

    The leader of a region watches the store, and its followers watch the
    leader's mirrors, so that the store's load grows with the number of
    regions and not of hosts.
    """

    __slots__ = (
        "_node",
        "_leadership",
        "_mirrors",
        "_eras",
        "_first_sources",
        "_is_source_lost",
    )

    def __init__(self, node: EntryNode, leadership: Leadership):
        self._node = node
        self._leadership = leadership
        self._mirrors = {
            subscriber.kind: Mirror(subscriber.kind)
            for subscriber in SUBSCRIBERS
        }
        self._eras = EraObserver(node, self._mirrors)
        self._first_sources = {
            kind: FirstListSources() for kind in self._mirrors
        }
        self._is_source_lost = False

    def find_mirror(self, kind: str) -> Mirror:
        """Return the mirror of a kind; raises `WireError` if there is none."""
        mirror = self._mirrors.get(kind)
        if mirror is None:
            raise WireError(f"no objects of kind {kind!r} are kept here")
        return mirror

    async def run(self) -> None:
        """Replicate all kinds until cancelled."""
        async with asyncio.TaskGroup() as group:
            for subscriber_type in SUBSCRIBERS:
                subscriber = subscriber_type(self._node)
                group.create_task(self._follow(subscriber))
                if subscriber.kind == CONFIGURATION_KIND:
                    group.create_task(self._probe_store(subscriber))

    async def _follow(self, subscriber: Subscriber) -> None:
        """List a kind and watch it; list again if the history is lost."""
        mirror = self._mirrors[subscriber.kind]
        needs_list = True
        pause_s = RETRY_MIN_S
        while True:
            if mirror.retention.is_due(read_clock()):
                mirror.retention.end_due(read_clock())
                needs_list = True
            peer = self._find_peer(mirror)
            if peer is None and self._should_defer(subscriber):
                is_new = mirror.revision is None
                interval_s = (
                    PEER_CHECK_INTERVAL_S
                    if is_new
                    else _choose_check_interval(subscriber.kind)
                )
                await asyncio.sleep(interval_s)
                continue
            try:
                if needs_list:
                    needs_list = not await self._list(subscriber, mirror, peer)
                    self._record_success()
                    await asyncio.sleep(RETRY_MIN_S if needs_list else 0.0)
                    continue
                await self._watch_current_source(subscriber, mirror, peer)
                pause_s = RETRY_MIN_S
                self._record_success()
            except HistoryLostError as error:
                self._record_no_list(mirror, peer)
                _LOG.warning("replica: History lost, listing again: %s", error)
                needs_list = True
                await asyncio.sleep(RETRY_MIN_S)
            except PlatformError as error:
                self._record_no_list(mirror, peer)
                self._record_failure(subscriber, error)
                jittered_s = self._node.random.uniform(0.5, 1) * pause_s
                await self._pause(mirror, peer, jittered_s)
                is_leader = self._leadership.is_leading
                max_pause_s = (
                    RETRY_MAX_S if is_leader else FOLLOWER_RETRY_MAX_S
                )
                pause_s = min(2 * pause_s, max_pause_s)
            except Exception as error:
                if peer is None:
                    raise
                # What the peer sent may be applied in part.
                self._record_no_list(mirror, peer)
                self._leadership.peers.record_failure(peer.member, error)
                needs_list = True
                await asyncio.sleep(RETRY_MAX_S)

    async def _pause(
        self, mirror: Mirror, peer: Peer | None, pause_s: float
    ) -> None:
        """Pause after a failed call, or until the source changes."""
        until = read_clock() + pause_s
        while self._find_peer(mirror) is peer:
            left_s = until - read_clock()
            if left_s <= 0:
                return
            await asyncio.sleep(
                min(left_s, _choose_check_interval(mirror.kind))
            )

    async def _probe_store(self, subscriber: Subscriber) -> None:
        """While leading without the store, check whether it is back."""
        mirror = self._mirrors[subscriber.kind]
        while True:
            await asyncio.sleep(STORE_PROBE_INTERVAL_S)
            if not self._leadership.is_leading or mirror.revision is None:
                continue
            if self._leadership.find_source() is None:
                continue
            try:
                await self._refresh_from_store(subscriber, mirror)
            except PlatformError as error:
                _LOG.info(
                    "replica: Store still rejects this host.",
                    extra=log_fields(why=str(error)),
                )

    async def _refresh_from_store(
        self, subscriber: Subscriber, mirror: Mirror
    ) -> None:
        """Update a mirror from the store."""
        try:
            await self._watch(subscriber, mirror, None, 0.0)
        except HistoryLostError:
            await self._list(subscriber, mirror, None)

    def _should_defer(self, subscriber: Subscriber) -> bool:
        """Return whether to wait instead of calling the store.

        While it does not answer, only the configuration's task calls it.
        """
        if self._mirrors[subscriber.kind].revision is None:
            return self._should_await_peer(subscriber)
        if subscriber.kind == CONFIGURATION_KIND:
            return False
        return self._node.measure_store_answer_age() > FRESH_MAX_AGE_S

    def _should_await_peer(self, subscriber: Subscriber) -> bool:
        """Return whether to wait for a peer to read from.

        A host that has just started reads the hosts from the store, and the
        rest from a peer; the first host of a region waits less. Far from the
        store the hosts are not known in that time, and each would take itself
        for the first.
        """
        if subscriber.kind == HOST_KIND:
            return False
        is_first = self._node.hosts.is_local_first()
        wait_s = FIRST_HOST_PEER_WAIT_S if is_first else PEER_WAIT_S
        return self._node.measure_uptime() < wait_s

    def _find_peer(self, mirror: Mirror) -> Peer | None:
        """Return the peer to read a kind from, or None for the store."""
        if mirror.revision is not None:
            return self._leadership.find_source()
        peers = {p.member.host: p for p in self._leadership.list_initialized()}
        chosen = self._first_sources[mirror.kind].choose(list(peers))
        return None if chosen is None else peers[chosen]

    def _record_no_list(self, mirror: Mirror, peer: Peer | None) -> None:
        """Ask another source if this one had no first list to give."""
        if mirror.revision is None:
            host = None if peer is None else peer.member.host
            self._first_sources[mirror.kind].record_failure(host)

    def _open_source(self, peer: Peer | None) -> ObjectClient | PeerSource:
        """Return what to read a kind from; None stands for the store."""
        return self._node.store if peer is None else PeerSource(peer)

    async def _watch_current_source(
        self, subscriber: Subscriber, mirror: Mirror, peer: Peer | None
    ) -> None:
        """Watch once, and stop early if the source changes."""
        wait_s = self._choose_wait(subscriber, peer)
        check_s = _choose_check_interval(subscriber.kind)
        task = asyncio.ensure_future(
            self._watch(subscriber, mirror, peer, wait_s)
        )
        try:
            while not (
                task.done()
                or self._leadership.find_source() is not peer
                or mirror.retention.is_due(read_clock())
            ):
                await asyncio.wait({task}, timeout=check_s)
            if task.done():
                task.result()
        finally:
            task.cancel()

    def _choose_wait(self, subscriber: Subscriber, peer: Peer | None) -> float:
        is_stale = self._node.measure_store_answer_age() > FRESH_MAX_AGE_S
        if self._is_source_lost or (peer is None and is_stale):
            # After a failure, find out at once whether the source answers.
            return 0.0
        if peer is None and subscriber.kind == CONFIGURATION_KIND:
            return self._eras.choose_wait(subscriber.watch_s)
        if peer is None:
            return subscriber.watch_s
        return (
            REJECTED_LEADER_WATCH_S
            if self._leadership.is_leading
            else PEER_WATCH_S
        )

    async def _list(
        self, subscriber: Subscriber, mirror: Mirror, peer: Peer | None
    ) -> bool:
        """List a kind; return False if the source lags behind the mirror."""
        asked_at = read_boottime_clock()
        listing = await self._open_source(peer).list_kind(subscriber.kind)
        retained = mirror.list_retained()
        if not mirror.replace(listing):
            self._record_refused_list(mirror, listing, peer)
            return False
        self._eras.observe(mirror)
        self._eras.record_list(mirror, retained)
        # Not the listing: the mirror may retain objects.
        subscriber.replace(mirror.list_all())
        if peer is None:
            subscriber.confirm(asked_at, mirror)
            await asyncio.sleep(subscriber.list_pause_s)
        else:
            self._record_peer_data(subscriber, peer)
        return True

    async def _watch(
        self,
        subscriber: Subscriber,
        mirror: Mirror,
        peer: Peer | None,
        wait_s: float,
    ) -> None:
        asked_at = read_boottime_clock()
        until = read_clock() + wait_s
        known = mirror.revision
        source = self._open_source(peer)
        changes = await source.watch(subscriber.kind, mirror.revision, wait_s)
        for change in mirror.apply(changes):
            subscriber.apply(change)
        self._eras.observe(mirror)
        if peer is None:
            subscriber.confirm(asked_at, mirror)
            await asyncio.sleep(
                subscriber.change_pause_s if changes.changes else 0.0
            )
            return
        self._record_peer_data(subscriber, peer)
        if mirror.revision == known and read_clock() < until:
            # A peer that answers at once without news must not be asked in a
            # busy loop.
            await asyncio.sleep(RETRY_MIN_S)

    def _record_refused_list(
        self, mirror: Mirror, listing: Listing, peer: Peer | None
    ) -> None:
        _LOG.warning(
            "replica: List refused, as it is older than what is known.",
            extra=log_fields(
                kind=mirror.kind,
                revision=str(listing.revision),
                known=str(mirror.revision),
                source=str(peer.member) if peer else "store",
            ),
        )

    def _record_peer_data(self, subscriber: Subscriber, peer: Peer) -> None:
        """Record the age of the store data that a leader got from a peer.

        Followers would replace a leader whose data they take for old.
        """
        is_leading = self._leadership.is_leading
        if is_leading and subscriber.kind == CONFIGURATION_KIND:
            age_s = peer.measure_store_data_age(read_clock())
            self._node.record_store_data(read_boottime_clock() - age_s)

    def _record_success(self) -> None:
        if self._is_source_lost:
            self._is_source_lost = False
            _LOG.info("replica: Store available again.")

    def _record_failure(
        self, subscriber: Subscriber, error: PlatformError
    ) -> None:
        if not self._is_source_lost:
            self._is_source_lost = True
            _LOG.warning(
                "replica: Store unavailable.",
                extra=log_fields(kind=subscriber.kind, why=str(error)),
            )


def _choose_check_interval(kind: str) -> float:
    """Return the seconds between checks for a change of the source."""
    if kind in _URGENT_KINDS:
        return URGENT_CHECK_INTERVAL_S
    return SOURCE_CHECK_INTERVAL_S
