"""Keeps this host's copy of what the store holds, one task for each kind."""

import asyncio
import logging

from radishstile.entry.leads import Leads
from radishstile.entry.logs import describe
from radishstile.entry.node import EntryNode, read_clock, read_lasting_clock
from radishstile.entry.peers import Peer
from radishstile.entry.sources import PeerSource
from radishstile.errors import (
    ConfigurationError,
    HistoryLostError,
    PlatformError,
    WireError,
)
from radishstile.fleet.following import FRESH_S
from radishstile.fleet.hosts import RegisteredHost
from radishstile.platform.configuration import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    decode_catalog,
)
from radishstile.platform.entries import (
    EVACUATION_KIND,
    HOST_KIND,
    UPSTREAM_KIND,
    MalformedEntryError,
    decode_host,
    decode_upstream,
)
from radishstile.platform.mirror import Mirror
from radishstile.platform.objects import (
    Change,
    Listing,
    ObjectClient,
    PlatformObject,
)

_LOG = logging.getLogger("radishstile.replica")

# Longest wait of a watch in seconds. The configuration's is short, as each
# answer confirms that keys are still valid; the others' bounds how long a
# connection that has gone silent goes unnoticed.
CONFIGURATION_WAIT_S = 0.8
UPSTREAM_WAIT_S = 1.5
EVACUATION_WAIT_S = 3.0
HOST_WAIT_S = 5.0
# Longest wait of a watch at a peer, in seconds; heartbeats show whether it
# lives and is in touch, and the watch ends when it is not.
PEER_WAIT_S = 10.0
# Pause after reading the hosts and after each change of them, in seconds:
# they start within 0.3 s, and each registration would be a call of its own.
HOST_PAUSE_S = 0.3
# Time after its start in which a host waits for a peer that knows what the
# store would tell, and in which the first one of a region waits for others to
# register, in seconds.
START_WAIT_S = 0.8
SETTLE_S = 0.25
# Time between looks at whether another source is to be followed, in seconds.
SOURCE_REVIEW_S = 0.25
# Pauses between failed calls, in seconds, doubled up to the longest.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.4


class ConfigurationFeed:
    """Takes the newest configuration in force."""

    __slots__ = ("_node", "_is_readable")

    kind = CONFIGURATION_KIND
    wait_s = CONFIGURATION_WAIT_S
    pause_s = 0.0

    def __init__(self, node: EntryNode):
        self._node = node
        self._is_readable = True

    def replace(self, listing: Listing) -> None:
        """Take all objects of the kind."""
        for stored in listing.objects:
            self._take(stored)

    def apply(self, change: Change) -> None:
        """Take one change; a configuration is never removed."""
        if not change.is_removed:
            self._take(change.object)

    def confirm(self, asked_at: float) -> None:
        """Note that the store had nothing newer at `asked_at`."""
        self._node.note_store(asked_at)
        if self._is_readable:
            self._node.freshness.confirm(asked_at)

    def _take(self, stored: PlatformObject) -> None:
        if stored.name != CONFIGURATION_NAME:
            return
        try:
            catalog = decode_catalog(stored.spec)
        except ConfigurationError as error:
            self._is_readable = False
            _LOG.error("replica: Keeps the older configuration: %s", error)
            return
        self._is_readable = True
        known = self._node.catalog
        if known is not None and catalog.version <= known.version:
            return
        self._node.catalog = catalog
        self._node.changed.set()
        _LOG.info(
            "replica: A configuration is in force.",
            extra=describe(version=catalog.version, revision=stored.revision),
        )


class UpstreamFeed:
    """Takes the entries of upstreams."""

    __slots__ = ("_node",)

    kind = UPSTREAM_KIND
    wait_s = UPSTREAM_WAIT_S
    pause_s = 0.0

    def __init__(self, node: EntryNode):
        self._node = node

    def replace(self, listing: Listing) -> None:
        """Take all entries; those that can't be used are left out."""
        decoded = [self._decode(entry) for entry in listing.objects]
        self._node.registry.replace_all([r for r in decoded if r])
        self._node.changed.set()

    def apply(self, change: Change) -> None:
        """Take one change of an entry."""
        registry = self._node.registry
        registration = None
        if not change.is_removed:
            registration = self._decode(change.object)
        if registration is None:
            registry.remove(change.object.name)
        else:
            registry.put(registration)
        self._node.changed.set()
        state = registration.readiness.value if registration else "gone"
        _LOG.info(
            "replica: An upstream has changed.",
            extra=describe(
                upstream=change.object.name,
                state=state,
                revision=change.object.revision,
            ),
        )

    def confirm(self, asked_at: float) -> None:
        """Entries need no proof of freshness."""

    def _decode(self, entry: PlatformObject):
        try:
            return decode_upstream(entry, self._node.file.zones, read_clock())
        except MalformedEntryError as error:
            self._node.metrics.malformed_entries.inc({"kind": self.kind})
            _LOG.warning("replica: Ignores a malformed entry: %s", error)
            return None


class EvacuationFeed:
    """Takes the zones that the operator empties."""

    __slots__ = ("_node", "_zones")

    kind = EVACUATION_KIND
    wait_s = EVACUATION_WAIT_S
    pause_s = 0.0

    def __init__(self, node: EntryNode):
        self._node = node
        self._zones: set[str] = set()

    def replace(self, listing: Listing) -> None:
        """Take all evacuations."""
        self._zones = {stored.name for stored in listing.objects}
        self._publish()

    def apply(self, change: Change) -> None:
        """Take the begin or the end of an evacuation."""
        if change.is_removed:
            self._zones.discard(change.object.name)
        else:
            self._zones.add(change.object.name)
        self._publish()
        _LOG.info(
            "replica: Evacuations have changed.",
            extra=describe(
                zones=sorted(self._zones), revision=change.object.revision
            ),
        )

    def confirm(self, asked_at: float) -> None:
        """Evacuations need no proof of freshness."""

    def _publish(self) -> None:
        self._node.registry.evacuate(frozenset(self._zones))
        self._node.changed.set()


class HostFeed:
    """Takes the registered entry hosts."""

    __slots__ = ("_node",)

    kind = HOST_KIND
    wait_s = HOST_WAIT_S
    pause_s = HOST_PAUSE_S

    def __init__(self, node: EntryNode):
        self._node = node

    def replace(self, listing: Listing) -> None:
        """Take all hosts."""
        decoded = [self._decode(entry) for entry in listing.objects]
        self._node.hosts.replace_all([host for host in decoded if host])
        self._node.changed.set()

    def apply(self, change: Change) -> None:
        """Take one change of a host."""
        host = None if change.is_removed else self._decode(change.object)
        if host is None:
            self._node.hosts.remove(change.object.name)
        else:
            self._node.hosts.put(host)
        self._node.changed.set()

    def confirm(self, asked_at: float) -> None:
        """Hosts need no proof of freshness; peers show who lives."""

    def _decode(self, entry: PlatformObject) -> RegisteredHost | None:
        try:
            return decode_host(entry)
        except MalformedEntryError as error:
            self._node.metrics.malformed_entries.inc({"kind": self.kind})
            _LOG.warning("replica: Ignores a malformed entry: %s", error)
            return None


Feed = ConfigurationFeed | UpstreamFeed | EvacuationFeed | HostFeed


class Replica:
    """Follows the store for this host, through its lead where it has one.

    The lead of a region watches the store; the others watch the lead's
    mirrors, so that calls to the store grow with regions and not with hosts.
    """

    __slots__ = ("_node", "_leads", "_mirrors", "_is_lost", "_started_at")

    def __init__(self, node: EntryNode, leads: Leads):
        self._node = node
        self._leads = leads
        self._mirrors = {feed.kind: Mirror(feed.kind) for feed in _FEEDS}
        self._is_lost = False
        self._started_at = 0.0

    def find_mirror(self, kind: str) -> Mirror:
        """Return this host's copy of a kind; raises `WireError` if none."""
        mirror = self._mirrors.get(kind)
        if mirror is None:
            raise WireError(f"no objects of kind {kind!r} are kept here")
        return mirror

    async def run(self) -> None:
        """Follow all kinds until cancelled."""
        self._started_at = read_clock()
        async with asyncio.TaskGroup() as group:
            for feed in _FEEDS:
                group.create_task(self._follow(feed(self._node)))

    async def _follow(self, feed: Feed) -> None:
        """List a kind, watch it, and begin again where history is lost."""
        mirror = self._mirrors[feed.kind]
        is_behind = True
        pause_s = RETRY_MIN_S
        while True:
            peer = self._find_peer(mirror)
            source = self._node.store if peer is None else PeerSource(peer)
            if peer is None and self._must_wait(feed):
                await asyncio.sleep(SOURCE_REVIEW_S)
                continue
            try:
                if is_behind:
                    is_behind = not await self._list(feed, mirror, source)
                    self._note_answer()
                    await asyncio.sleep(RETRY_MIN_S if is_behind else 0.0)
                    continue
                await self._watch_while(peer, feed, mirror, source)
                pause_s = RETRY_MIN_S
                self._note_answer()
            except HistoryLostError as error:
                _LOG.warning("replica: Reads a kind anew: %s", error)
                is_behind = True
                await asyncio.sleep(RETRY_MIN_S)
            except PlatformError as error:
                self._note_failure(feed, error)
                await asyncio.sleep(
                    self._node.random.uniform(0.5, 1) * pause_s
                )
                pause_s = min(2 * pause_s, RETRY_MAX_S)

    def _must_wait(self, feed: Feed) -> bool:
        """Return whether to spare the store a call.

        While it does not answer, the configuration's task asks for all.
        """
        if self._mirrors[feed.kind].revision is None:
            return self._hopes_for_peer(feed)
        if feed.kind == CONFIGURATION_KIND:
            return False
        return self._node.measure_store_age() > FRESH_S

    def _hopes_for_peer(self, feed: Feed) -> bool:
        """Return whether a peer may soon tell what the store would.

        A host that has just started reads the hosts itself, and the rest
        from a peer that knows it; the first host of a region asks early.
        """
        if feed.kind == HOST_KIND:
            return False
        is_first = self._node.list_region()[0] == self._node.me
        wait_s = SETTLE_S if is_first else START_WAIT_S
        return read_clock() - self._started_at < wait_s

    def _find_peer(self, mirror: Mirror) -> Peer | None:
        """Return the peer to follow a kind through, or None for the store."""
        if mirror.revision is None:
            return self._leads.find_informed()
        return self._leads.find_source()

    async def _watch_while(
        self,
        peer: Peer | None,
        feed: Feed,
        mirror: Mirror,
        source: ObjectClient | PeerSource,
    ) -> None:
        """Watch once, but no longer than the source is the one to follow."""
        task = asyncio.ensure_future(self._watch(feed, mirror, source))
        try:
            while not task.done() and self._leads.find_source() is peer:
                await asyncio.wait({task}, timeout=SOURCE_REVIEW_S)
            if task.done():
                task.result()
        finally:
            task.cancel()

    async def _list(
        self, feed: Feed, mirror: Mirror, source: ObjectClient | PeerSource
    ) -> bool:
        """Take all objects; return False where the source lags behind."""
        asked_at = read_lasting_clock()
        listing = await source.list_kind(feed.kind)
        if not mirror.replace(listing):
            return False
        feed.replace(listing)
        if source is self._node.store:
            feed.confirm(asked_at)
            await asyncio.sleep(feed.pause_s)
        return True

    async def _watch(
        self, feed: Feed, mirror: Mirror, source: ObjectClient | PeerSource
    ) -> None:
        asked_at = read_lasting_clock()
        is_store = source is self._node.store
        wait_s = feed.wait_s if is_store else PEER_WAIT_S
        if self._is_lost:
            # The answer itself is the news after a failure.
            wait_s = 0.0
        changes = await source.watch(feed.kind, mirror.revision, wait_s)
        for change in mirror.apply(changes):
            feed.apply(change)
        if is_store:
            feed.confirm(asked_at)
            await asyncio.sleep(feed.pause_s if changes.changes else 0.0)

    def _note_answer(self) -> None:
        if self._is_lost:
            self._is_lost = False
            _LOG.info("replica: The store is followed again.")

    def _note_failure(self, feed: Feed, error: PlatformError) -> None:
        if not self._is_lost:
            self._is_lost = True
            _LOG.warning(
                "replica: The store can't be followed.",
                extra=describe(kind=feed.kind, why=str(error)),
            )


_FEEDS = (ConfigurationFeed, UpstreamFeed, EvacuationFeed, HostFeed)
