"""The daemon's life cycle: start, serve, stop."""

import asyncio
import logging

from radishstile.daemon.allotments import HeldAllotments
from radishstile.daemon.blocks import BlockTableLoader
from radishstile.daemon.components import Components
from radishstile.daemon.events import log_event
from radishstile.daemon.handlers import PeerMessageHandler
from radishstile.daemon.journals import JournalClient
from radishstile.daemon.links import LinkBudgets
from radishstile.daemon.machines import MachineListPoller
from radishstile.daemon.moves import MoveCoordinator
from radishstile.daemon.node import Node, read_clock
from radishstile.daemon.non_idempotent import NonIdempotentRequests
from radishstile.daemon.ownership import OwnedResources
from radishstile.daemon.peers import Peers
from radishstile.daemon.poison import PoisonMonitor
from radishstile.daemon.replication import Replication
from radishstile.daemon.retries import Retrier
from radishstile.daemon.sessions import RequestSession, SessionRegistry
from radishstile.daemon.settings import DaemonSettings, parse_seed
from radishstile.daemon.steering import Steering
from radishstile.daemon.targets import TargetSelector
from radishstile.errors import PeerLostError, PlatformError, RadishstileError
from radishstile.http.caller import CallerServer
from radishstile.http.operator import OperatorServer
from radishstile.member import Member
from radishstile.operation.command import Command
from radishstile.operation.executor import CommandExecutor
from radishstile.operation.status import measure_headroom
from radishstile.wire.server import PeerServer

_LOG = logging.getLogger("radishstile.service")
_TICK_INTERVAL_S = 0.25
_RETRY_INTERVAL_S = 2.0


class Daemon:
    """Wires the components together, and serves the HTTP front ends."""

    __slots__ = (
        "components",
        "_node",
        "_executor",
        "_caller_server",
        "_operator_server",
        "_peer_server",
        "_stopped",
    )

    def __init__(self, settings: DaemonSettings, incarnation: int):
        node = Node(settings, incarnation)
        self._node = node
        self.components = build_components(node)
        self._executor = CommandExecutor(self.components)
        self._caller_server = CallerServer(self, settings.http)
        self._operator_server = OperatorServer(self, settings.operators)
        self._peer_server = PeerServer(
            node.local_member,
            settings.wire,
            PeerMessageHandler(self.components),
            node.wire_counters,
        )
        self._stopped = asyncio.Event()

    # Interface of the HTTP servers

    def look_up(self, route: str, client: str) -> dict:
        """Return the answer to a look-up."""
        self._node.metrics.lookup_count += 1
        return self.components.steering.look_up(route, client)

    def open_session(self, traceparent: str | None) -> RequestSession:
        """Open a session for one request of a caller."""
        return self.components.sessions.open_session(traceparent)

    async def execute(self, command: Command, operator: str) -> object:
        """Execute an operator's command."""
        return await self._executor.execute(command, operator)

    def list_unready_reasons(self) -> list[str]:
        """Return why this host should not get requests now."""
        node = self._node
        reason = node.fleet.find_outdated_reason(read_clock())
        reasons = [] if reason is None else [reason]
        if node.is_stopping:
            reasons.append("the host is stopping")
        if not node.revision.version:
            reasons.append("no configuration is known")
        return reasons

    def render_metrics(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Return the body and headers of a scrape."""
        self._update_metrics()
        return self._node.metrics.render(accept)

    # Life cycle

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set, then stop gracefully."""
        node = self._node
        await node.store.open()
        await node.upstream_client.open()
        await self._peer_server.start()
        async with asyncio.TaskGroup() as group:
            tasks = self._start_tasks(group)
            await self._load_initial_state()
            await self._start_http_servers()
            _LOG.info("service: %s is up.", node.local_member)
            await stop.wait()
            await self._stop()
            for task in tasks:
                task.cancel()
        await self._close()

    def _start_tasks(self, group: asyncio.TaskGroup) -> list[asyncio.Task]:
        components = self.components
        components.non_idempotent.use_task_group(group)
        coroutines = [
            components.peers.run(),
            components.replication.watch_configuration(),
            components.replication.watch_roster(),
            components.replication.plan_rosters(),
            components.machines.run(),
            components.moves.run(),
            components.blocks.run(),
            self._run_fleet_ticks(),
            self._apply_changes(),
        ]
        return [group.create_task(each) for each in coroutines]

    async def _load_initial_state(self) -> None:
        """Load versions from the store and from the seeds."""
        try:
            await self.components.replication.load()
        except PlatformError as error:
            _LOG.warning("service: Starting without the store: %s", error)
            self._node.fleet.record_store_failed(read_clock())
        for text in self._node.settings.host.seeds:
            host, address, port = parse_seed(text)
            if host != self._node.local_member.host:
                await self._fetch_from_seed(
                    Member(host, 0, "", "", address, port, 0)
                )

    async def _fetch_from_seed(self, seed: Member) -> None:
        try:
            await self.components.replication.fetch_from_seed(seed)
        except (PeerLostError, TimeoutError):
            _LOG.info("service: Seed %s can't be reached.", seed.host)
        except (RadishstileError, OSError) as error:
            _LOG.warning("service: Seed %s is not used: %s", seed.host, error)

    async def _start_http_servers(self) -> None:
        host = self._node.settings.host
        await self._caller_server.start(host.address, host.http_port)
        await self._operator_server.start(host.address, host.operator_port)

    async def _run_fleet_ticks(self) -> None:
        """Let the fleet apply its time-outs, and log its events."""
        while True:
            now = read_clock()
            for event in self._node.fleet.tick(now):
                log_event(event)
            self.components.steering.refresh_members()
            await asyncio.sleep(_TICK_INTERVAL_S)

    async def _apply_changes(self) -> None:
        """Apply each new configuration or roster to every component."""
        components = self.components
        async with asyncio.TaskGroup() as group:
            while True:
                components.replication.changed.clear()
                components.sessions.cancel_revoked()
                components.peers.wake_all()
                components.allotments.sync(group)
                await components.owned_resources.sync(group)
                components.steering.apply_configuration()
                await self._wait_for_change()

    async def _wait_for_change(self) -> None:
        """Wait for a change, or until failed resources are to be retried."""
        try:
            async with asyncio.timeout(_RETRY_INTERVAL_S):
                await self.components.replication.changed.wait()
        except TimeoutError:
            return

    async def _stop(self) -> None:
        """Leave look-ups, drain requests, release resources and leave."""
        node = self._node
        _LOG.info("service: Stopping.")
        node.fleet.leave()
        self._caller_server.start_draining()
        is_drained = await self._try_drain()
        node.is_stopping = True
        if is_drained:
            node.fleet.record_own_release(read_clock())
        self.components.peers.wake_all()
        await asyncio.sleep(node.settings.fleet.heartbeat_s)

    async def _try_drain(self) -> bool:
        try:
            async with asyncio.timeout(
                self._node.settings.http.stop_timeout_s
            ):
                await self._drain()
        except TimeoutError:
            _LOG.warning("service: Stopped with requests still running.")
            return False
        return True

    async def _drain(self) -> None:
        # Callers use a look-up's answer for its TTL, so requests still arrive.
        await asyncio.sleep(self._node.settings.lookup.ttl_s)
        await self._caller_server.stop()
        await self.components.non_idempotent.drain()
        await self.components.owned_resources.release_all()

    async def _close(self) -> None:
        node = self._node
        await self._operator_server.stop()
        # Peers that find the peer port closed assume that upstream connections
        # are closed, so these are closed first.
        await node.upstream_client.close()
        await self._peer_server.stop()
        await node.store.close()
        node.tracing.close()
        _LOG.info("service: %s has stopped.", node.local_member)

    def _update_metrics(self) -> None:
        node = self._node
        metrics = node.metrics
        now = read_clock()
        metrics.lookups.set({}, metrics.lookup_count)
        for region, free in measure_headroom(self.components, now).items():
            metrics.headroom.set({"region": region}, free)
        calls = node.store.calls
        for kind in ("reads", "writes", "watches", "lists", "failed"):
            metrics.store_calls.set({"kind": kind}, getattr(calls, kind))
        for name in node.wire_counters.__slots__:
            metrics.wire.set(
                {"counter": name}, getattr(node.wire_counters, name)
            )
        metrics.versions.set(
            {"object": "configuration"}, node.revision.version
        )
        metrics.versions.set({"object": "roster"}, node.fleet.roster.version)
        metrics.is_current.set({}, int(node.fleet.is_current(now)))
        count = len(node.fleet.list_entry_members(now))
        metrics.peers.set({"state": "live"}, count)


def build_components(node: Node) -> Components:
    """Build the components of a daemon and wire them together."""
    components = Components()
    components.node = node
    components.replication = Replication(node)
    components.peers = Peers(components)
    components.owned_resources = OwnedResources(node, components.peers)
    components.allotments = HeldAllotments(
        node, components.peers, components.owned_resources
    )
    components.owned_resources.allotments = components.allotments
    components.steering = Steering(node, components.allotments.admission)
    components.moves = MoveCoordinator(
        node, components.peers, components.owned_resources, components.steering
    )
    components.blocks = BlockTableLoader(
        node, components.peers, components.steering
    )
    components.machines = MachineListPoller(
        node, components.peers, components.owned_resources
    )
    components.poison = PoisonMonitor(node, components.peers)
    components.links = LinkBudgets(node)
    components.target_selector = TargetSelector(
        node,
        components.peers,
        components.owned_resources,
        components.steering,
        components.replication,
        components.links,
    )
    journal = JournalClient(node, components.peers, components.owned_resources)
    components.non_idempotent = NonIdempotentRequests(journal)
    components.sessions = SessionRegistry(
        components, Retrier(node.settings.runs, node.random)
    )
    return components
