"""A fleet of processes on loopback: store, upstreams and daemons."""

import asyncio
import hashlib
import os
import signal
import sys
from pathlib import Path

import aiohttp

from radishstile.cli.client import OperatorClient
from radishstile.errors import OperatorError
from standin.free_ports import find_free_ports
from standin.layout import FleetLayout

OPERATOR_NAME = "ana"
OPERATOR_TOKEN = "operator-token"
FLEET_SECRET = "fleet-secret"
STORE_PROCESS = "store"
UPSTREAMS_PROCESS = "upstreams"
STOP_TIMEOUT_S = 45.0
POLL_S = 0.1

HOST_INI = """\
[host]
name = {name}
zone = {zone}
region = {region}
address = 127.0.0.1
peer_port = {peer_port}
http_port = {http_port}
operator_port = {operator_port}
seeds = {seeds}

[platform]
url = http://127.0.0.1:{store_port}

[wire]
fleet_secret = {secret}

[operators]
{operator} = {token_hash}

{extra}"""
CLIENT_INI = """\
[client]
url = {url}
callers = {callers}
operator = {operator}
token = {token}
"""


class HostPorts:
    """The ports of one host."""

    __slots__ = ("peer", "http", "operator")

    def __init__(self, peer: int, http: int, operator: int):
        self.peer = peer
        self.http = http
        self.operator = operator


class ProcessFleet:
    """Starts, calls, signals and stops the processes of a layout.

    It signals only processes that it started.
    """

    __slots__ = (
        "layout",
        "folder",
        "ports",
        "upstream_ports",
        "store_port",
        "keys",
        "_processes",
    )

    def __init__(self, layout: FleetLayout, folder: Path):
        self.layout = layout
        self.folder = folder
        count = 3 * len(layout.hosts) + len(layout.upstreams) + 1
        free_ports = iter(find_free_ports(count))
        self.store_port = next(free_ports)
        self.upstream_ports = {
            u.name: next(free_ports) for u in layout.upstreams
        }
        self.ports = {
            host: HostPorts(
                next(free_ports), next(free_ports), next(free_ports)
            )
            for host in layout.hosts
        }
        self.keys: dict[str, str] = {}
        self._processes: dict[str, asyncio.subprocess.Process] = {}

    @property
    def hosts(self) -> list[str]:
        """Return the names of the hosts."""
        return list(self.layout.hosts)

    # Process lifecycle

    async def start(self, timeout_s: float) -> None:
        """Start all processes, load the configuration, wait until ready."""
        self._write_settings()
        await self._spawn(STORE_PROCESS, "standin.store")
        await self._spawn(UPSTREAMS_PROCESS, "standin.upstream")
        for host in self.hosts:
            await self.start_host(host)
        async with asyncio.timeout(timeout_s):
            await self._load_configuration()
            await self.wait_ready(self.hosts)

    async def start_host(self, host: str) -> None:
        """Start the daemon of a host."""
        await self._spawn(host, "radishstile.daemon.command")

    async def stop(self) -> list[str]:
        """Stop all processes; return those whose exit status is not 0."""
        unclean = await self._stop_all(self.hosts)
        return unclean + await self._stop_all(
            [UPSTREAMS_PROCESS, STORE_PROCESS]
        )

    async def stop_host(self, host: str) -> int | None:
        """Stop a host by SIGTERM and return its exit status."""
        self.signal_host(host, signal.SIGTERM)
        return await self._wait_exit(host)

    def signal_host(self, host: str, number: signal.Signals) -> None:
        """Send a signal to the daemon of a host."""
        self._processes[host].send_signal(number)

    def find_pid(self, name: str) -> int:
        """Return the process id of a host, the store or the upstreams."""
        return self._processes[name].pid

    async def wait_ready(self, hosts: list[str]) -> None:
        """Wait until each host serves requests and accepts patches."""
        waiting = list(hosts)
        while waiting:
            if await self._is_ready(waiting[0]):
                waiting.pop(0)
            else:
                await asyncio.sleep(POLL_S)

    def find_working_directory(self, name: str) -> Path | None:
        """Return the working directory of a process, or None to inherit it."""
        return None

    # Calls to the processes

    def make_operator_client(self, host: str = "") -> OperatorClient:
        """Return an operator client for a host, by default the first one."""
        ports = self.ports[host or self.hosts[0]]
        url = f"http://127.0.0.1:{ports.operator}"
        return OperatorClient(url, OPERATOR_NAME, OPERATOR_TOKEN)

    def find_caller_url(self, host: str) -> str:
        """Return the URL of a host for callers."""
        return f"http://127.0.0.1:{self.ports[host].http}"

    async def read_records(self, upstream: str) -> list[dict]:
        """Return the records of the requests that an upstream received."""
        port = self.upstream_ports[upstream]
        return await self._fetch("GET", f"http://127.0.0.1:{port}/records")

    async def set_store_faults(self, **faults) -> None:
        """Set faults of the store."""
        await self._call_store("PUT", "faults", faults)

    async def set_machine(self, name: str, state: str) -> None:
        """Change a machine's state in the platform's list."""
        await self._call_store("PUT", f"machines/{name}", {"state": state})

    async def count_store_calls(self) -> dict:
        """Return the call counters of the store."""
        return await self._call_store("GET", "calls", None)

    async def _call_store(self, method: str, path: str, body: object):
        url = f"http://127.0.0.1:{self.store_port}/v1/{path}"
        return await self._fetch(method, url, body)

    async def _fetch(self, method: str, url: str, body: object = None):
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, url, json=body) as response,
        ):
            response.raise_for_status()
            if response.content_type != "application/json":
                return None
            return await response.json()

    def read_logs(self) -> str:
        """Return the logs of all daemons."""
        paths = [self.folder / f"{host}.log" for host in self.hosts]
        return "".join(path.read_text(errors="replace") for path in paths)

    # Settings and processes

    def _write_settings(self) -> None:
        for host in self.hosts:
            self._write(host, self._format_host(host))
        self._write(STORE_PROCESS, f"[store]\nport = {self.store_port}\n")
        self._write(UPSTREAMS_PROCESS, self._format_upstreams())
        first = self.hosts[0]
        client = CLIENT_INI.format(
            url=f"http://127.0.0.1:{self.ports[first].operator}",
            callers=self.find_caller_url(first),
            operator=OPERATOR_NAME,
            token=OPERATOR_TOKEN,
        )
        self._write("client", client)

    def _format_upstreams(self) -> str:
        names = ", ".join(self.upstream_ports)
        ports = ", ".join(str(port) for port in self.upstream_ports.values())
        return (
            f"[upstream]\nnames = {names}\nports = {ports}\n"
            f"service_s = {self.layout.service_s}\n"
            f"{self.layout.upstream_settings}"
        )

    def _format_host(self, host: str) -> str:
        zone = self.layout.hosts[host]
        ports = self.ports[host]
        seeds = ", ".join(
            f"{name}@127.0.0.1:{self.ports[name].peer}"
            for name in self.hosts[:4]
        )
        return HOST_INI.format(
            name=host,
            zone=zone,
            region=self.layout.zones[zone],
            peer_port=ports.peer,
            http_port=ports.http,
            operator_port=ports.operator,
            seeds=seeds,
            store_port=self.store_port,
            secret=FLEET_SECRET,
            operator=OPERATOR_NAME,
            token_hash=hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest(),
            extra=self.layout.host_settings,
        )

    def _write(self, name: str, text: str) -> None:
        (self.folder / f"{name}.ini").write_text(text)

    async def _spawn(self, name: str, module: str) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        log = os.open(self.folder / f"{name}.log", flags)
        try:
            self._processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                str(self.folder / f"{name}.ini"),
                cwd=self.find_working_directory(name),
                stdout=log,
                stderr=log,
            )
        finally:
            os.close(log)

    async def _load_configuration(self) -> None:
        patch = self.layout.make_configuration(self.upstream_ports)
        await self._retry("patch", from_version=0, patch=patch)
        for workspace in self.layout.workspaces:
            issued = await self._retry("issue-key", workspace=workspace)
            self.keys[workspace] = issued["key"]

    async def _retry(self, command: str, **fields) -> dict:
        """Repeat a command until the starting host accepts it."""
        while True:
            try:
                return await self.make_operator_client().execute(
                    command, **fields
                )
            except OperatorError:
                await asyncio.sleep(POLL_S)

    async def _is_ready(self, host: str) -> bool:
        try:
            status = await self.make_operator_client(host).execute("status")
        except OperatorError:
            return False
        slots = {f"slots/{u.group}/{u.zone}" for u in self.layout.upstreams}
        is_complete = status["configuration_version"] > len(self.keys)
        has_owners = slots <= status["homes"].keys()
        is_current = status["current"] == "current"
        return is_complete and has_owners and is_current and status["joined"]

    async def _stop_all(self, names: list[str]) -> list[str]:
        started = [name for name in names if name in self._processes]
        for name in started:
            if self._processes[name].returncode is None:
                self._processes[name].send_signal(signal.SIGTERM)
        statuses = [await self._wait_exit(name) for name in started]
        pairs = zip(started, statuses, strict=True)
        return [name for name, status in pairs if status != 0]

    async def _wait_exit(self, name: str) -> int | None:
        process = self._processes[name]
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await process.wait()
        except TimeoutError:
            process.kill()
            return None
