"""State that the components of an entry host share."""

import asyncio
import logging
import random
import time

from radishstile.catalog.catalog import Catalog
from radishstile.catalog.freshness import Freshness
from radishstile.entry.logs import log_fields
from radishstile.entry.metrics import EntryMetrics
from radishstile.entry.stop_plan import StopPlan
from radishstile.fleet.hosts import HostTable, RegisteredHost
from radishstile.fleet.leadership import FRESH_MAX_AGE_S
from radishstile.member import Member
from radishstile.platform.host_file import HostFile
from radishstile.platform.objects import ObjectClient
from radishstile.upstream.pause import UpstreamPauses
from radishstile.upstream.registration import UpstreamRegistry

_LOG = logging.getLogger("radishstile.node")

# Time after its start in which a host holds requests until it is initialized,
# in seconds: a fleet that starts far from the store takes most of it.
STARTUP_WAIT_S = 0.9
# Upper limit of reported ages, in seconds; stands for "never".
AGE_LIMIT_S = 1e9


class EntryNode:
    """The host's identity, its replicated state and its store client.

    `catalog` is None until a configuration has been read, and `stop_plan`
    until the host is asked to stop.
    """

    __slots__ = (
        "file",
        "local_member",
        "store",
        "metrics",
        "random",
        "catalog",
        "freshness",
        "era",
        "_accepted_keys",
        "_store_answered_at",
        "_store_data_at",
        "registry",
        "pauses",
        "hosts",
        "is_leaving",
        "stop_plan",
        "changed",
        "initialized",
        "_started_at",
    )

    def __init__(self, file: HostFile, incarnation: int):
        self.file = file
        self.local_member = Member(
            file.host,
            incarnation,
            file.zone,
            file.region,
            file.address,
            file.peer_port,
            file.callers.port,
        )
        self.store = ObjectClient(file.store)
        self.metrics = EntryMetrics()
        self.random = random.Random()
        self.catalog: Catalog | None = None
        self.freshness = Freshness(file.bounds.withdrawal_s)
        # The store's highest era that a list or change was read in.
        self.era = 0
        # Whether keys were accepted at the last check.
        self._accepted_keys = False
        # Boot-time clock: when the store answered this host last.
        self._store_answered_at = float("-inf")
        # Boot-time clock: the time that the newest store data dates from,
        # read directly or through a peer.
        self._store_data_at = float("-inf")
        self.registry = UpstreamRegistry()
        self.pauses = UpstreamPauses()
        self.hosts = HostTable(RegisteredHost(self.local_member, file.cores))
        self.update_own_endpoints()
        self.is_leaving = False
        self.stop_plan: StopPlan | None = None
        # Set when the catalog, the registry or the hosts have changed.
        self.changed = asyncio.Event()
        # Set once a confirmed configuration and the upstreams are known.
        self.initialized = asyncio.Event()
        # Boot-time clock.
        self._started_at = read_boottime_clock()

    def measure_uptime(self) -> float:
        """Return the seconds since this host started."""
        return read_boottime_clock() - self._started_at

    def measure_confirmation_age(self) -> float:
        """Return the age of the configuration's confirmation, in seconds."""
        return min(
            self.freshness.measure_age(read_boottime_clock()), AGE_LIMIT_S
        )

    def record_store_answer(self) -> None:
        """Record that the store has just answered this host.

        A watch without changes covers the whole time it waited, so its end
        counts here. A confirmation counts from the start of the watch.
        """
        self._store_answered_at = read_boottime_clock()
        self.record_store_data(self._store_answered_at)

    def record_store_data(self, as_of: float) -> None:
        """Record that this host has the store data of that time.

        `as_of` is on the boot-time clock, in seconds.
        """
        self._store_data_at = max(self._store_data_at, as_of)

    def observe_era(self, era: int) -> bool:
        """Record the store's era of objects that were read.

        Returns whether it is a new one.
        """
        if era <= self.era:
            return False
        self.era = era
        self.freshness.begin_era(read_boottime_clock())
        # A host that starts can't know how old the era is.
        level = logging.INFO if self.catalog is None else logging.WARNING
        _LOG.log(
            level, "node: Store is in a new era.", extra=log_fields(era=era)
        )
        return True

    def measure_store_data_age(self) -> float:
        """Return the age of this host's store data, in seconds."""
        return min(read_boottime_clock() - self._store_data_at, AGE_LIMIT_S)

    def measure_store_answer_age(self) -> float:
        """Return the time since the store answered this host, in seconds."""
        return min(
            read_boottime_clock() - self._store_answered_at, AGE_LIMIT_S
        )

    def accept_confirmation(self, version: int, as_of: float) -> None:
        """Accept a peer's confirmation that `version` was the newest.

        `as_of` is the time that it holds for, on the boot-time clock. It
        counts only if this host has the same version.
        """
        if self.catalog is not None and version == self.catalog.version:
            self.freshness.confirm(as_of)
        self.check_initialized()

    def check_initialized(self) -> None:
        """Set `initialized` once this host can serve requests."""
        is_current = self.freshness.accepts_keys(read_boottime_clock())
        is_known = self.catalog is not None and self.registry.is_loaded
        if is_current and is_known:
            self.initialized.set()

    def check_acceptance(self) -> None:
        """Log a change of whether keys are accepted, and what it rests on."""
        accepts_keys = self.freshness.accepts_keys(read_boottime_clock())
        if accepts_keys == self._accepted_keys:
            return
        self._accepted_keys = accepts_keys
        _LOG.log(
            logging.INFO if accepts_keys else logging.WARNING,
            "node: Acceptance of keys changed.",
            extra=log_fields(
                accepted=accepts_keys,
                version=self.catalog.version if self.catalog else 0,
                era=self.era,
                confirmed_age_s=round(self.measure_confirmation_age(), 3),
                store_answer_age_s=round(self.measure_store_answer_age(), 3),
                store_data_age_s=round(self.measure_store_data_age(), 3),
            ),
        )

    async def wait_initialized(self) -> None:
        """Wait until the host is initialized, if it has just started."""
        if self.initialized.is_set():
            return
        left_s = STARTUP_WAIT_S - self.measure_uptime()
        if left_s <= 0:
            return
        try:
            async with asyncio.timeout(left_s):
                await self.initialized.wait()
        except TimeoutError:
            # The store is unavailable: the request is refused later on.
            return

    def is_settled(self) -> bool:
        """Return whether all hosts that admit requests know of this one."""
        local = self.hosts.find(self.local_member.host)
        if local is None:
            return False
        return time.time() - local.registered_at >= self.settling_s

    @property
    def settling_s(self) -> float:
        """Return the seconds in which hosts learn of each other.

        A host that has learned nothing for longer accepts no keys, and limits
        count requests with keys only.
        """
        return FRESH_MAX_AGE_S + self.freshness.limit_s

    def update_own_endpoints(self) -> bool:
        """Let the registry know all hosts; return whether they have changed.

        Ports that a host doesn't register are the same on each.
        """
        file = self.file
        members = self.hosts.list_members()
        ports = {file.callers.port, file.readiness.port, file.directory.port}
        ports.update(member.peer_port for member in members)
        ports.update(member.http_port for member in members)
        return self.registry.replace_own(
            frozenset(member.address for member in members), frozenset(ports)
        )

    def list_region_hosts(self) -> list[Member]:
        """Return the hosts of the local region, the preferred leader first."""
        return self.hosts.list_leader_order(self.local_member.region)


def read_clock() -> float:
    """Return the time of the running event loop, in seconds."""
    return asyncio.get_running_loop().time()


def read_boottime_clock() -> float:
    """Return a clock in seconds that also runs while the host is suspended.

    The loop's clock stops then, which would make an old confirmation look
    fresh.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
