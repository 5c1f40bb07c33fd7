"""Registration of this host, and removal of stale registrations."""

import asyncio
import logging
import time

from radishstile.entry.leadership import Leadership
from radishstile.entry.logs import log_fields
from radishstile.entry.node import EntryNode, read_clock
from radishstile.errors import (
    ObjectConflictError,
    ObjectMissingError,
    PlatformError,
)
from radishstile.fleet.hosts import RegisteredHost
from radishstile.platform.registrations import HOST_KIND, encode_host

_LOG = logging.getLogger("radishstile.registrar")

# Interval at which registrations are checked, in seconds.
CHECK_INTERVAL_S = 1.0
# How long a host must be absent from its region's leader before its
# registration is stale, in seconds: longer than a restart, which takes 1 to 3.
STALE_AFTER_S = 5.0
# Time after its start in which a host waits for the list of hosts before it
# registers, in seconds: the list tells since when its name is registered.
LIST_WAIT_S = 0.5
LIST_CHECK_INTERVAL_S = 0.02
# Time over which hosts register again after the store was restored, in
# seconds: within what others retain their registrations for.
RESTORE_SPREAD_S = 2.0


class Registrar:
    """Writes this host's registration, and as leader removes stale ones."""

    __slots__ = ("_node", "_leadership", "_absent_since", "_era")

    def __init__(self, node: EntryNode, leadership: Leadership):
        self._node = node
        self._leadership = leadership
        # The loop's time since which each absent host has been missed.
        self._absent_since: dict[str, float] = {}
        # The store's era in which this host has registered, if it has.
        self._era: int | None = None

    async def run(self) -> None:
        """Register, and check the registrations until cancelled."""
        await self._wait_for_list()
        while True:
            try:
                await self._register()
                await self._remove_stale()
            except PlatformError as error:
                _LOG.warning(
                    "registrar: Registration update failed: %s", error
                )
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _wait_for_list(self) -> None:
        """Wait a little until the registered hosts are known."""
        node = self._node
        while node.measure_uptime() < LIST_WAIT_S:
            if node.hosts.is_loaded:
                return
            await asyncio.sleep(LIST_CHECK_INTERVAL_S)

    async def mark_stopped(self) -> None:
        """Mark this host's registration as that of a stopped host.

        It is kept, as the host owns its part of the fleet's limits to its end
        and is usually started again. The leader removes it otherwise.
        """
        local = self._node.hosts.local_host
        stopped = RegisteredHost(
            local.member, local.cores, local.registered_at, is_stopped=True
        )
        try:
            await self._node.store.put(
                HOST_KIND, local.name, encode_host(stopped)
            )
        except PlatformError as error:
            _LOG.warning("registrar: Own registration not marked: %s", error)

    async def _register(self) -> None:
        node = self._node
        name = node.local_member.host
        known = node.hosts.find(name)
        if node.is_leaving:
            return
        era = node.era
        if known == node.hosts.local_host and self._era == era:
            return
        if self._era not in (None, era):
            # The store was restored, and all hosts register again.
            await asyncio.sleep(node.random.uniform(0, RESTORE_SPREAD_S))
        if known is not None:
            node.hosts.local_host.registered_at = known.registered_at
        elif not node.hosts.local_host.registered_at:
            node.hosts.local_host.registered_at = time.time()
            if node.hosts.is_loaded:
                self._leadership.peers.part.release_earlier()
        await self._write(name, encode_host(node.hosts.local_host))
        self._era = era
        node.hosts.put(node.hosts.local_host)
        node.changed.set()
        _LOG.info(
            "registrar: Host registered.",
            extra=log_fields(incarnation=node.local_member.incarnation),
        )

    async def _write(self, name: str, spec: dict) -> None:
        """Write this host's registration, usually over an earlier one.

        No other host writes it, so no revision is needed; a late write of an
        earlier start is detected and overwritten.
        """
        store = self._node.store
        if self._node.file.is_first_start:
            try:
                await store.create(HOST_KIND, name, spec)
            except ObjectConflictError:
                # The answer to an earlier attempt was lost, or the host has
                # been restarted since.
                await store.replace(HOST_KIND, name, spec)
            return
        await store.put(HOST_KIND, name, spec)

    async def _remove_stale(self) -> None:
        """Remove the registrations of this region's absent hosts.

        Only a leader that most of the region follows may do so: a partitioned
        one would remove hosts that are still serving.
        """
        node = self._node
        now = read_clock()
        live = self._leadership.followers.list_live(now)
        names = node.hosts.list_names(node.local_member.region)
        if 2 * len(live) <= len(names):
            self._absent_since.clear()
            return
        absent = [host for host in names if host not in live]
        self._absent_since = {
            host: self._absent_since.get(host, now) for host in absent
        }
        for host, since in self._absent_since.items():
            if now - since >= STALE_AFTER_S:
                await self._remove(host)

    async def _remove(self, host: str) -> None:
        node = self._node
        stored = await node.store.read(HOST_KIND, host)
        known = node.hosts.find(host)
        if stored is None or known is None:
            return
        if stored.spec.get("incarnation") != known.member.incarnation:
            return
        try:
            await node.store.delete(HOST_KIND, host, stored.revision)
        except (ObjectConflictError, ObjectMissingError):
            # The host has registered again, or another leader was faster.
            return
        _LOG.info(
            "registrar: Registration removed.",
            extra=log_fields(host=host, revision=stored.revision.number),
        )
