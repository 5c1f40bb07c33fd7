"""Life cycle of an entry host: start, serve, drain, stop."""

import asyncio
import logging
import os
from contextlib import suppress

from radishstile.entry.admission import AdmissionController
from radishstile.entry.attempt import AttemptRunner
from radishstile.entry.buffers import BufferBudget
from radishstile.entry.caller_server import CallerServer
from radishstile.entry.claims import SlotClient
from radishstile.entry.connection_pool import ConnectionPool
from radishstile.entry.crash_probes import CrashProber
from radishstile.entry.directory import METRICS_PORT, Directory
from radishstile.entry.forwarding import RequestForwarder
from radishstile.entry.handlers import MessageHandler
from radishstile.entry.leader_reports import LeaderReportSender
from radishstile.entry.leadership import Leadership
from radishstile.entry.loans import Loans
from radishstile.entry.logs import log_fields
from radishstile.entry.node import EntryNode, read_clock
from radishstile.entry.peers import Peers
from radishstile.entry.recorder import SchedulerRecorder
from radishstile.entry.registrar import Registrar
from radishstile.entry.remote_grants import RemoteGrants
from radishstile.entry.replica import Replica
from radishstile.entry.reports import ReportSender
from radishstile.entry.request_claims import RequestClaims
from radishstile.entry.stop_plan import StopPlan
from radishstile.errors import SettingsError
from radishstile.http.parser import AnswerLimits
from radishstile.platform.host_file import HostFile, read_host_file
from radishstile.run.budget import RetryBudget
from radishstile.run.settings import RunSettings
from radishstile.wire.server import PeerServer
from radishstile.wire.settings import WireSettings

_LOG = logging.getLogger("radishstile.service")

# Interval of checks of idle connections, slots and the settings file, in
# seconds.
MAINTENANCE_INTERVAL_S = 1.0
# Interval of checks for open connections while the host stops, in seconds.
DRAIN_INTERVAL_S = 0.1
# Timeout for closing what is still open, in seconds. It bounds the stop within
# the grace period when a connection is unresponsive.
CLOSE_TIMEOUT_S = 0.4
# Retries of the fleet's budget that one host may use at once, as the number
# of hosts is unknown at its start.
INITIAL_RETRY_TOKENS = 4.0
# Share of the allowed retry ratio that is used.
RETRY_SHARE_USED = 0.75
BYTES_PER_MB = 1_000_000
# Descriptors of files, and the parts of the others that connections of callers
# and to upstreams may take. The rest is for other hosts, the store, look-ups
# and connections that are being closed.
FILE_DESCRIPTORS = 200
CALLER_SHARE = 0.6
UPSTREAM_SHARE = 0.25


class EntryHost:
    """Creates the components of an entry host, and runs and stops them."""

    __slots__ = (
        "node",
        "_path",
        "_file_state",
        "_admission",
        "_leadership",
        "_loans",
        "_connections",
        "_request_claims",
        "_caller_server",
        "_directory",
        "_registrar",
        "_replica",
        "_recorder",
        "_report_sender",
        "_leader_report_sender",
        "_crash_prober",
        "_grants",
        "_peer_server",
    )

    def __init__(
        self,
        file: HostFile,
        path: str,
        incarnation: int,
        metrics_port: int = METRICS_PORT,
    ):
        node = EntryNode(file, incarnation)
        wire = make_wire_settings()
        self.node = node
        self._path = path
        self._file_state = _read_file_state(path)
        self._admission = AdmissionController(node)
        self._leadership = Leadership(node, self._admission, Peers(node, wire))
        self._loans = Loans(node, self._leadership, self._admission)
        buffers = BufferBudget(file.memory_mb * BYTES_PER_MB, read_clock)
        sockets = max(1, file.max_fds - FILE_DESCRIPTORS)
        self._connections = ConnectionPool(
            buffers, max(1, int(sockets * UPSTREAM_SHARE))
        )
        budget = RetryBudget(
            RunSettings(
                retry_share=file.bounds.retry_ratio * RETRY_SHARE_USED,
                retry_tokens_max=INITIAL_RETRY_TOKENS,
            )
        )
        slot_client = SlotClient(
            self._leadership, self._admission, node.local_member.region
        )
        self._request_claims = RequestClaims(node, slot_client)
        runner = AttemptRunner(
            node, self._admission, self._connections, AnswerLimits(), buffers
        )
        forwarder = RequestForwarder(
            node, self._request_claims, runner, budget
        )
        self._caller_server = CallerServer(
            node, forwarder, buffers, int(sockets * CALLER_SHARE)
        )
        self._grants = RemoteGrants(slot_client, node.metrics)
        self._directory = Directory(
            node,
            self._leadership,
            self._admission,
            self._grants,
            metrics_port,
        )
        self._registrar = Registrar(node, self._leadership)
        self._replica = Replica(node, self._leadership)
        self._recorder = SchedulerRecorder(
            node, self._leadership, self._admission
        )
        self._report_sender = ReportSender(
            self._admission, self._leadership.peers
        )
        self._crash_prober = CrashProber(
            node, self._admission, self._connections
        )
        self._leader_report_sender = LeaderReportSender(
            node, self._admission, self._leadership
        )
        handler = MessageHandler(
            self._leadership,
            self._grants,
            self._loans,
            self._replica,
            self._admission,
        )
        self._peer_server = PeerServer(
            node.local_member,
            wire,
            handler,
            self._leadership.peers.counters,
        )

    async def run(self, stop: asyncio.Event, reload: asyncio.Event) -> None:
        """Serve until `stop` is set, then drain and stop.

        `reload` requests that the settings file be read again.
        """
        await self.node.store.open()
        await self._peer_server.start()
        await self._directory.start()
        await self._caller_server.start(self.node.file.callers)
        _LOG.info(
            "service: Host started.",
            extra=log_fields(
                incarnation=self.node.local_member.incarnation,
                callers=str(self.node.file.callers),
            ),
        )
        async with asyncio.TaskGroup() as group:
            components = [
                self._replica.run(),
                self._registrar.run(),
                self._leadership.run(),
                self._loans.run(),
                self._recorder.run(),
                self._report_sender.run(),
                self._leader_report_sender.run(),
                self._crash_prober.run(),
                self._admission.run(),
                self._grants.run(),
                self._caller_server.run(),
                self._apply_changes(),
                self._run_maintenance(reload),
            ]
            tasks = [group.create_task(component) for component in components]
            await stop.wait()
            await self._drain()
            for task in tasks:
                task.cancel()
        await self._close()

    def count_held_slots(self) -> int:
        """Return the number of slots granted by this host's scheduler."""
        return self._admission.scheduler.count_running()

    async def _apply_changes(self) -> None:
        """Apply the replica's changes to admission and leadership."""
        while True:
            await self.node.changed.wait()
            self.node.changed.clear()
            self._admission.refresh()
            self._leadership.notify_hosts_changed()

    async def _run_maintenance(self, reload: asyncio.Event) -> None:
        while True:
            usable = {
                registration.incarnation
                for registration in self.node.registry.list_usable()
            }
            self._connections.prune(usable)
            self._admission.reconcile()
            self.node.check_acceptance()
            if reload.is_set() or self._has_file_changed():
                reload.clear()
                self._reload()
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)

    def _has_file_changed(self) -> bool:
        state = _read_file_state(self._path)
        is_new = state != self._file_state
        self._file_state = state
        return is_new

    def _reload(self) -> None:
        """Apply the bounds and zones of the file; addresses don't change."""
        try:
            file = read_host_file(self._path)
        except SettingsError as error:
            _LOG.error(
                "service: Invalid settings, keeping the previous ones: %s",
                error,
            )
            return
        self.node.file.bounds = file.bounds
        self.node.file.zones = file.zones
        _LOG.info("service: Settings reloaded.")

    async def _drain(self) -> None:
        """Unregister, and keep serving until callers use other hosts."""
        node = self.node
        plan = StopPlan(read_clock(), node.file.bounds.grace_s)
        node.is_leaving = True
        node.stop_plan = plan
        self._request_claims.limit_waits(plan)
        _LOG.info(
            "service: Draining.",
            extra=log_fields(connections=self._caller_server.count_open()),
        )
        with suppress(TimeoutError):
            async with asyncio.timeout_at(plan.takes_until):
                await self._registrar.mark_stopped()
        while read_clock() < plan.ends_at:
            if read_clock() > plan.takes_until:
                self._caller_server.stop_listening()
                self._caller_server.close_idle()
                if not self._caller_server.count_open():
                    return
            await asyncio.sleep(DRAIN_INTERVAL_S)

    async def _close(self) -> None:
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self._close_all()
        except TimeoutError:
            _LOG.warning("service: Stopping with open connections.")
        _LOG.info("service: Host stopped.")

    async def _close_all(self) -> None:
        await self._caller_server.stop()
        await self._directory.stop()
        self._connections.close()
        await self._peer_server.stop()
        await self.node.store.close()


def make_wire_settings() -> WireSettings:
    """Return the settings of connections between hosts.

    There is no shared secret: the platform's machines have a network of their
    own, and their settings hold none.
    """
    return WireSettings(
        fleet_secret="",
        connect_timeout_s=1.0,
        handshake_timeout_s=1.0,
        backoff_min_s=0.05,
        backoff_max_s=0.5,
        stop_timeout_s=0.2,
        keepalive_s=0.5,
        silence_timeout_s=1.5,
    )


def _read_file_state(path: str) -> tuple[int, int]:
    """Return a file's modification time and size, zeros if it is missing."""
    try:
        state = os.stat(path)
    except OSError:
        return 0, 0
    return state.st_mtime_ns, state.st_size
