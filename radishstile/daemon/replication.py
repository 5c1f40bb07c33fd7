"""Replicates configuration and roster from the store and between peers."""

import asyncio
import json
import logging

from radishstile.configuration.delta import RevisionDelta, resolve_revision
from radishstile.configuration.revision import Revision
from radishstile.configuration.store import OBJECT_NAME
from radishstile.daemon.node import Node, read_clock
from radishstile.daemon.resources import list_required, list_transferable
from radishstile.errors import (
    ConfigurationError,
    PlatformError,
    VersionConflictError,
)
from radishstile.fleet.roster import Roster
from radishstile.member import Member
from radishstile.platform.answer import StoredObject
from radishstile.wire.client import PeerClient
from radishstile.wire.messages.fleet import (
    ConfigurationPush,
    RosterPush,
    StateQuery,
    StateReply,
)
from radishstile.wire.records import decode_record
from radishstile.wire.refusals import raise_for_error

ROSTER = "roster"
_LOG = logging.getLogger("radishstile.replication")
_CONFIGURATION_WATCH_S = 3.0
_ROSTER_WATCH_S = 30.0
_ROLE_CHECK_INTERVAL_S = 0.5
_RETRY_DELAY_S = 1.0
_PUSH_TIMEOUT_S = 5.0
_SEED_TIMEOUT_S = 2.0
_PULL_DELAY_S = 1.0


class EncodedRevision:
    """One revision, encoded for peers; each form is encoded once, lazily."""

    __slots__ = ("version", "_revision", "_delta", "_full")

    def __init__(self, revision: Revision):
        self.version = revision.version
        self._revision = revision
        self._delta: bytes | None = None
        self._full: bytes | None = None

    @property
    def delta(self) -> bytes:
        """Return the patch only, for a peer that is one version behind."""
        if self._delta is None:
            delta = RevisionDelta.for_revision(self._revision)
            self._delta = _encode(delta.to_record())
        return self._delta

    @property
    def full(self) -> bytes:
        """Return the entry with the full document."""
        if self._full is None:
            self._full = _encode(self._revision.to_record())
        return self._full


class Replication:
    """Watches the store on watchers, and exchanges versions with peers.

    Versions never go back. `changed` is set whenever the configuration or
    the roster was replaced.
    """

    __slots__ = (
        "_node",
        "changed",
        "_stored_versions",
        "_newest_stored_version",
        "_encoded",
        "_behind_since",
    )

    def __init__(self, node: Node):
        self._node = node
        self.changed = asyncio.Event()
        self._stored_versions = {OBJECT_NAME: 0, ROSTER: 0}
        # The newest version read from the store, in force here or not.
        self._newest_stored_version = 0
        self._encoded = EncodedRevision(node.revision)
        self._behind_since: float | None = None

    async def load(self) -> None:
        """Read configuration and roster; raises `PlatformError`."""
        started_at = read_clock()
        try:
            for name in (OBJECT_NAME, ROSTER):
                self._apply_stored(name, await self._node.store.read(name))
        except PlatformError:
            self._node.fleet.record_store_failed(read_clock())
            raise
        self._record_store_reached(started_at)

    # Watching the store

    async def watch_configuration(self) -> None:
        """Watch the configuration while this host is one of the watchers."""
        await self._watch(OBJECT_NAME, _CONFIGURATION_WATCH_S)

    async def watch_roster(self) -> None:
        """Watch the roster while this host is one of the watchers."""
        await self._watch(ROSTER, _ROSTER_WATCH_S)

    async def _watch(self, name: str, wait_s: float) -> None:
        while True:
            if not self._node.fleet.is_watcher(read_clock()):
                await asyncio.sleep(_ROLE_CHECK_INTERVAL_S)
                continue
            started_at = read_clock()
            after = self._stored_versions[name]
            try:
                stored = await self._node.store.watch(name, after, wait_s)
            except PlatformError as error:
                self._node.fleet.record_store_failed(read_clock())
                _LOG.warning(
                    "replication: Watching %s failed: %s", name, error
                )
                await asyncio.sleep(_RETRY_DELAY_S)
                continue
            self._apply_stored(name, stored)
            if name == OBJECT_NAME:
                # No object means that nothing changed during the watch.
                waited_s = wait_s if stored is None else 0.0
                self._record_store_reached(started_at + waited_s)

    def _record_store_reached(self, confirmed_at: float) -> None:
        now = read_clock()
        self._node.fleet.record_store_reached(
            min(confirmed_at, now), now, self._newest_stored_version
        )

    def _apply_stored(self, name: str, stored: StoredObject | None) -> None:
        if stored is None:
            return
        if stored.version <= self._stored_versions[name]:
            return
        self._stored_versions[name] = stored.version
        if name == ROSTER:
            self.apply_roster(Roster.from_record(stored.value))
            return
        revision = Revision.from_record(stored.value)
        self._newest_stored_version = revision.version
        self.apply_revision(revision)

    # Planning the roster

    async def plan_rosters(self) -> None:
        """Write a new roster when one is needed and this host is a planner."""
        while True:
            await asyncio.sleep(_ROLE_CHECK_INTERVAL_S)
            if self._node.fleet.is_planner(read_clock()):
                await self._plan_roster()

    async def _plan_roster(self) -> None:
        node = self._node
        required = list_required(node.configuration, node.settings.runs)
        registered = [node.local_member, *node.fleet.list_unregistered()]
        transferable = list_transferable(required)
        planned = node.fleet.plan_roster(
            required, registered, read_clock(), transferable
        )
        if planned is None:
            return
        try:
            await self._write_roster(planned)
        except PlatformError as error:
            _LOG.info("replication: Writing the roster failed: %s", error)
            await asyncio.sleep(_RETRY_DELAY_S)

    async def _write_roster(self, planned: Roster) -> None:
        expected = self._stored_versions[ROSTER]
        store = self._node.store
        try:
            version = await store.update(ROSTER, planned.to_record(), expected)
        except VersionConflictError:
            self._apply_stored(ROSTER, await store.read(ROSTER))
            return
        self._stored_versions[ROSTER] = version
        self.apply_roster(planned)
        _LOG.info("replication: Wrote roster %d.", planned.version)

    # Applying versions

    def apply_revision(self, update: Revision | RevisionDelta) -> bool:
        """Put a newer revision in force; return whether it was newer.

        A delta that is not based on the revision in force is ignored; the
        peer then sends the full revision.
        """
        node = self._node
        if update.version <= node.revision.version:
            return False
        try:
            revision = resolve_revision(update, node.revision)
            node.apply_revision(revision)
        except ConfigurationError as error:
            _LOG.warning(
                "replication: The revision can't be applied: %s", error
            )
            return False
        node.fleet.record_configuration(revision.version, read_clock())
        _LOG.info(
            "replication: Configuration %d is in force.", revision.version
        )
        self._record_applied()
        return True

    def apply_roster(self, roster: Roster) -> bool:
        """Apply a newer roster; return whether it was newer."""
        if not self._node.fleet.apply_roster(roster, read_clock()):
            return False
        self._record_applied()
        return True

    def _record_applied(self) -> None:
        self._behind_since = None
        self.changed.set()

    # Between peers

    async def push_to(self, peer) -> None:
        """Send a peer the versions that it does not have.

        Nothing is sent before the peer's first heartbeat reply, as it may
        have them all.
        """
        if peer.heard_at == float("-inf"):
            return
        if peer.configuration_version < self._node.revision.version:
            await self._push_configuration(peer)
        roster = self._node.fleet.roster
        if peer.roster_version < roster.version:
            push = RosterPush(
                version=roster.version, record=_encode(roster.to_record())
            )
            reply = await peer.client.call(push, _PUSH_TIMEOUT_S)
            raise_for_error(reply)
            peer.roster_version = reply.version

    async def _push_configuration(self, peer) -> None:
        """Send the revision, or only its patch to a peer just one behind."""
        revision = self._node.revision
        if self._encoded.version != revision.version:
            self._encoded = EncodedRevision(revision)
        encoded = self._encoded
        if peer.configuration_version == revision.entry.from_version:
            await _push_revision(peer, encoded.version, encoded.delta)
        if peer.configuration_version < encoded.version:
            await _push_revision(peer, encoded.version, encoded.full)

    async def pull_from(self, peer) -> None:
        """Fetch from a peer the versions that this host does not have.

        Neighbours push new versions, so this host queries only if none came
        for `_PULL_DELAY_S`, and then one peer at a time.
        """
        is_behind = (
            peer.configuration_version > self._node.revision.version
            or peer.roster_version > self._node.fleet.roster.version
        )
        if not is_behind or not peer.client.is_connected:
            return
        now = read_clock()
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since < _PULL_DELAY_S:
            return
        self._behind_since = now
        reply = await peer.client.call(StateQuery(), _PUSH_TIMEOUT_S)
        raise_for_error(reply)
        self.apply_state(reply)

    async def fetch_from_seed(self, seed: Member) -> None:
        """Fetch a seed's versions.

        Raises `WireError`, `RefusalError` and `TimeoutError`.

        The seed's incarnation is not known yet, so this uses a connection of
        its own.
        """
        node = self._node
        client = PeerClient(
            node.local_member,
            seed,
            node.settings.wire,
            node.wire_counters,
            node.random,
        )
        connection = asyncio.create_task(client.run())
        try:
            await client.wait_connected(_SEED_TIMEOUT_S)
            node.fleet.record_connected(client.peer_member, read_clock())
            reply = await client.call(StateQuery(), _PUSH_TIMEOUT_S)
            raise_for_error(reply)
            self.apply_state(reply)
        finally:
            connection.cancel()

    def make_state(self) -> StateReply:
        """Return the newest revision and roster as a message."""
        revision = self._node.revision
        roster = self._node.fleet.roster
        return StateReply(
            revision=_encode(revision.to_record()),
            roster=_encode(roster.to_record()),
        )

    def apply_state(self, reply: StateReply) -> None:
        """Apply a peer's newest revision and roster.

        Raises `FrameError` if one of them is malformed; none is applied then.
        """
        revision = decode_record(decode_revision, reply.revision)
        roster = decode_record(decode_roster, reply.roster)
        self.apply_revision(revision)
        self.apply_roster(roster)


async def _push_revision(peer, version: int, data: bytes) -> None:
    push = ConfigurationPush(version=version, revision=data)
    reply = await peer.client.call(push, _PUSH_TIMEOUT_S)
    raise_for_error(reply)
    peer.configuration_version = reply.version


def decode_revision(data: bytes) -> Revision | RevisionDelta:
    """Return the revision, or the delta to it, decoded from JSON."""
    record = json.loads(data)
    if "digest" in record:
        return RevisionDelta.from_record(record)
    return Revision.from_record(record)


def decode_roster(data: bytes) -> Roster:
    """Return the roster, decoded from JSON."""
    return Roster.from_record(json.loads(data))


def _encode(record: dict) -> bytes:
    return json.dumps(record, separators=(",", ":")).encode()
