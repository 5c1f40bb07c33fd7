"""The store, the upstreams and the hosts of one soak test."""

import asyncio
import copy
import os
import random
from collections import deque

from soak.configuration import make_added_route, make_configuration
from soak.hosts import Host
from soak.proxy import Proxy
from soak.record import Evacuation, SoakRecord
from soak.settings import SoakSettings
from soak.upstream import DRAIN_OVERRUN_S, Upstream
from standin.object_store import FailureMode, ObjectStore, StoreBackup

# Processing time of a request at an upstream, in seconds.
REQUEST_DURATION_S = 0.06
# Interval and number of the store's backups that are kept.
BACKUP_INTERVAL_S = 0.25
BACKUP_LIMIT = 40
# Longest time, in seconds, in which the operator and the upstreams write again
# what a restored store lacks.
OPERATOR_PAUSE_S = 0.5
UPSTREAM_PAUSE_S = 1.5


class Fleet:
    """Starts and stops all components; `record` is what they observed."""

    __slots__ = (
        "settings",
        "record",
        "store",
        "hosts",
        "upstreams",
        "upstream_proxies",
        "upstream_zones",
        "store_present",
        "rng",
        "configuration",
        "_started_at",
        "_last_incarnation",
        "_task_group",
        "_host_tasks",
        "_states",
        "_backups",
    )

    def __init__(self, settings: SoakSettings):
        self.settings = settings
        self.record = SoakRecord()
        self.store = ObjectStore()
        self.hosts: list[Host] = []
        self.upstreams: dict[str, Upstream] = {}
        # The proxy in front of each upstream, by name.
        self.upstream_proxies: dict[str, Proxy] = {}
        self.upstream_zones: dict[str, str] = {}
        # Set unless the store is away until it is restored.
        self.store_present = asyncio.Event()
        self.store_present.set()
        self.rng = random.Random(settings.seed)
        self.configuration = make_configuration(self.record)
        self._started_at = asyncio.get_running_loop().time()
        self._last_incarnation = 0
        self._task_group: asyncio.TaskGroup | None = None
        self._host_tasks: list[asyncio.Task] = []
        # The state that each upstream has registered last, None if removed.
        self._states: dict[str, str | None] = {}
        # Backups of the store with the time of each, the oldest first.
        self._backups: deque[tuple[float, StoreBackup]] = deque(
            maxlen=BACKUP_LIMIT
        )

    def read_clock(self) -> float:
        """Return the seconds since the test started."""
        return asyncio.get_running_loop().time() - self._started_at

    async def start(self, group: asyncio.TaskGroup) -> None:
        """Start all components; the hosts run as tasks of `group`."""
        self._task_group = group
        await self.store.start()
        self._store_configuration()
        self._host_tasks.append(group.create_task(self._back_up_store()))
        for zone in self.settings.zones:
            for _ in range(self.settings.upstreams_per_zone):
                await self.add_upstream(zone)
        network = f"127.{os.getpid() % 200 + 20}.{self.settings.seed % 250}"
        for zone in self.settings.zones:
            for number in range(self.settings.hosts_per_zone):
                store_proxy = await Proxy(self.store.port).start()
                host = Host(
                    f"{zone}-{number}",
                    zone,
                    f"{network}.{len(self.hosts) + 1}",
                    store_proxy,
                    self.settings,
                )
                self.hosts.append(host)
                self._host_tasks.append(group.create_task(host.run()))

    async def stop(self) -> None:
        """Kill the hosts, and stop the upstreams, proxies and store."""
        for task in self._host_tasks:
            task.cancel()
        for upstream in self.upstreams.values():
            upstream.crash()
        for proxy in [
            *self.upstream_proxies.values(),
            *(h.store_proxy for h in self.hosts),
        ]:
            await proxy.stop()
        store = self.store
        self.record.store_reads_per_s = max(store.reads_by_s.values())
        self.record.store_writes_per_s = max(store.writes_by_s.values())
        await store.stop()

    async def add_upstream(self, zone: str, name: str = "") -> Upstream:
        """Start and register an upstream; `name` restarts an earlier one."""
        self._last_incarnation += 1
        name = name or f"i-{self._last_incarnation}"
        upstream = await Upstream(
            name,
            zone,
            self._last_incarnation,
            self.settings.slots,
            REQUEST_DURATION_S,
            self.record,
            self.read_clock,
        ).start()
        self.upstreams[name] = upstream
        self.upstream_zones[name] = zone
        self.upstream_proxies[name] = await Proxy(upstream.port).start()
        self._register(upstream, "ready")
        return upstream

    async def crash_upstream(self, name: str) -> None:
        """Stop an upstream without changing its registration."""
        self.upstreams.pop(name).crash()
        await self.upstream_proxies.pop(name).stop()

    def drain_upstream(self, name: str) -> None:
        """Register an upstream as draining, and remove it later."""
        upstream = self.upstreams[name]
        upstream.is_leaving = True
        self._register(upstream, "draining")
        self.record.upstream_drains[name] = self.read_clock()
        self._task_group.create_task(self._remove_after_drain(name))

    def withdraw_upstream(self, name: str) -> None:
        """Let an upstream leave without telling the store, but for its end."""
        self.upstreams[name].is_leaving = True
        self.record.upstream_withdrawals.add(name)
        self._task_group.create_task(self._remove_after_drain(name))

    def take_store_away(self) -> None:
        """Let the store answer nothing until it is restored."""
        self.store_present.clear()
        self.store.failure_mode = FailureMode.RESET

    def restore_store(self, backup_age_s: float) -> None:
        """Restore the store from a backup; its writers write again soon."""
        until = self.read_clock() - backup_age_s
        backups = [backup for at, backup in self._backups if at <= until]
        backup = backups[-1] if backups else self._backups[0][1]
        self.store.restore(backup)
        self.store.failure_mode = FailureMode.NONE
        self.store_present.set()
        self._task_group.create_task(self._write_again())

    async def _back_up_store(self) -> None:
        while True:
            if self.store_present.is_set():
                backup = self.store.back_up()
                self._backups.append((self.read_clock(), backup))
            await asyncio.sleep(BACKUP_INTERVAL_S)

    async def _write_again(self) -> None:
        """Write what a restored store lacks, as its writers do."""
        await asyncio.sleep(self.rng.uniform(0, OPERATOR_PAUSE_S))
        self._store_configuration()
        self._write_evacuations_again()
        for name in list(self._states):
            await asyncio.sleep(
                self.rng.uniform(0, UPSTREAM_PAUSE_S / len(self._states))
            )
            state = self._states[name]
            if state is None:
                self._unregister(name)
            elif name in self.upstreams:
                self._register(self.upstreams[name], state)

    def evacuate(self, zone: str) -> None:
        """Tell in the store that a zone is evacuated."""
        if self._find_evacuation(zone) is None:
            self.store.put("evacuations", zone, {})
            evacuation = Evacuation(zone, self.read_clock())
            self.record.evacuations.append(evacuation)

    def end_evacuation(self, zone: str) -> None:
        """Take the evacuation of a zone back."""
        evacuation = self._find_evacuation(zone)
        if evacuation is None:
            return
        evacuation.end = self.read_clock()
        # A restored store may lack it.
        if self.store.get_spec("evacuations", zone) is not None:
            self.store.remove("evacuations", zone)

    def _find_evacuation(self, zone: str) -> Evacuation | None:
        """Return the evacuation of a zone that goes on, if there is one."""
        for evacuation in self.record.evacuations:
            if evacuation.zone == zone and evacuation.end == float("inf"):
                return evacuation
        return None

    def _write_evacuations_again(self) -> None:
        for zone in self.settings.zones:
            is_stored = self.store.get_spec("evacuations", zone) is not None
            if self._find_evacuation(zone) is not None:
                self.store.put("evacuations", zone, {})
            elif is_stored:
                self.store.remove("evacuations", zone)

    def list_added_routes(self) -> list[str]:
        """Return the path prefixes of routes that all hosts must serve."""
        until = self.read_clock() - self.settings.apply_s
        additions = self.record.route_additions.items()
        return [prefix for prefix, added_at in additions if added_at <= until]

    def add_route(self) -> None:
        """Add a route to the configuration."""
        prefix = f"/added-{len(self.record.route_additions)}/"
        self.configuration["routes"][prefix] = make_added_route(prefix)
        self.publish_new_version()
        self.record.route_additions[prefix] = self.read_clock()

    def revoke_key(self) -> str | None:
        """Revoke a key and return it, or None if none may be revoked."""
        workspaces = self.configuration["tenants"].values()
        for workspace in workspaces:
            if len(workspace["api_keys"]) > 1:
                key = workspace["api_keys"].pop()
                self.publish_new_version()
                self.record.key_revocations[key] = self.read_clock()
                return key
        return None

    def publish_new_version(self) -> None:
        """Write the configuration to the store under a new version."""
        number = int(self.configuration["version"][1:]) + 1
        self.configuration["version"] = f"r{number}"
        self._store_configuration()

    def _store_configuration(self) -> None:
        # Copied because the store keeps the object, and later versions
        # change the configuration in place.
        self.store.put("config", "main", copy.deepcopy(self.configuration))

    def _register(self, upstream: Upstream, state: str) -> None:
        registration = upstream.make_registration(
            self.upstream_proxies[upstream.name].port
        )
        status = {"state": state, "sequence": 1, "warmup_left_s": 0}
        self.store.put("servers", upstream.name, registration, status)
        self._states[upstream.name] = state

    def _unregister(self, name: str) -> None:
        self._states[name] = None
        if self.store.get_spec("servers", name) is not None:
            self.store.remove("servers", name)

    async def _remove_after_drain(self, name: str) -> None:
        await asyncio.sleep(self.settings.drain_s + DRAIN_OVERRUN_S)
        self._unregister(name)
        if name in self.upstreams:
            await self.crash_upstream(name)
