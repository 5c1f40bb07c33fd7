"""Processes of a fleet that is measured, and what they use."""

import asyncio
import hashlib
import os
import re
import signal
import sys
from pathlib import Path

import aiohttp

from radishstile.cli.client import OperatorClient
from radishstile.errors import OperatorError
from standin.demo_fleet import HOST_INI, OPERATOR, SECRET, TOKEN, HostPorts
from standin.free_ports import find_free_ports

TREE = Path(__file__).resolve().parent.parent
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_STOP_TIMEOUT_S = 30.0
_READY_TIMEOUT_S = 90.0
_POLL_S = 0.2
_SEEDS = 3
_TAIL_LINES = 4
_COUNTER = re.compile(r'^radishstile_wire\{counter="bytes_\w+"\} (\S+)$', re.M)


class Plan:
    """Which hosts and upstreams a fleet has.

    `zones` maps a zone to its region, `hosts` and `upstreams` a name to its
    zone; `slots` are those of each upstream, and `workspaces` a count.
    """

    __slots__ = ("zones", "hosts", "upstreams", "slots", "workspaces")

    def __init__(
        self,
        zones: dict[str, str],
        hosts: int,
        upstreams: dict[str, str],
        slots: int,
        workspaces: int,
    ):
        self.zones = zones
        names = list(zones)
        self.hosts = {
            f"{names[i % len(names)]}-{i // len(names) + 1}": names[
                i % len(names)
            ]
            for i in range(hosts)
        }
        self.upstreams = upstreams
        self.slots = slots
        self.workspaces = workspaces


class ServiceFleet:
    """Starts, reads and stops a store, upstreams and daemons.

    The daemons run the code of the source tree `tree`.
    """

    __slots__ = (
        "plan",
        "tree",
        "folder",
        "store_port",
        "ports",
        "upstream_ports",
        "key",
        "_processes",
    )

    def __init__(self, plan: Plan, tree: Path, folder: Path):
        self.plan = plan
        self.tree = tree
        self.folder = folder
        count = 3 * len(plan.hosts) + len(plan.upstreams) + 1
        numbers = iter(find_free_ports(count))
        self.store_port = next(numbers)
        self.upstream_ports = {name: next(numbers) for name in plan.upstreams}
        self.ports = {
            host: HostPorts(next(numbers), next(numbers), next(numbers))
            for host in plan.hosts
        }
        self.key = ""
        self._processes: dict[str, asyncio.subprocess.Process] = {}

    async def start(self) -> None:
        """Start every process and wait until each host serves."""
        self._write_settings()
        await self._spawn("store", "standin.store", TREE)
        await self._spawn("upstreams", "standin.upstream", TREE)
        for host in self.plan.hosts:
            await self._spawn(host, "radishstile.daemon.command", self.tree)
        try:
            async with asyncio.timeout(_READY_TIMEOUT_S):
                await self._configure()
                for host in self.plan.hosts:
                    await self._wait_ready(host)
        except TimeoutError as error:
            raise RuntimeError(await self._describe()) from error

    async def stop(self) -> None:
        """End the daemons, then the rest."""
        others = ["store", "upstreams"]
        await stop_processes(
            [p for n, p in self._processes.items() if n not in others]
        )
        await stop_processes(
            [self._processes[n] for n in others if n in self._processes]
        )

    def operate(self, host: str) -> OperatorClient:
        """Return an operator's client of one host."""
        url = f"http://127.0.0.1:{self.ports[host].operator}"
        return OperatorClient(url, OPERATOR, TOKEN)

    def get_process_id(self, name: str) -> int:
        """Return the process id of a host or stand-in."""
        return self._processes[name].pid

    def read_processor_s(self) -> float:
        """Return the processor time of all daemons, in seconds."""
        return sum(
            read_processor_s(self.get_process_id(host))
            for host in self.plan.hosts
        )

    def list_resident_mb(self) -> list[float]:
        """Return the resident memory of each daemon."""
        return [
            read_resident_mb(self.get_process_id(host))
            for host in self.plan.hosts
        ]

    async def read_store_calls(self) -> dict[str, int]:
        """Return the calls that the store has counted, by kind."""
        url = f"http://127.0.0.1:{self.store_port}/v1/calls"
        async with (
            aiohttp.ClientSession() as session,
            session.get(url) as response,
        ):
            calls = await response.json()
        del calls["by_name"]
        return calls

    async def read_wire_bytes(self) -> float:
        """Return the bytes that all daemons have sent and received."""
        total = 0.0
        async with aiohttp.ClientSession() as session:
            for ports in self.ports.values():
                url = f"http://127.0.0.1:{ports.operator}/metrics"
                async with session.get(url) as response:
                    text = await response.text()
                found = _COUNTER.findall(text)
                if len(found) != 2:
                    raise ValueError("the scrape has no counters of bytes")
                total += sum(map(float, found))
        return total

    async def find_home(self, resource: str) -> str:
        """Return the host that is the home of a resource."""
        status = await self.operate(next(iter(self.plan.hosts))).execute(
            "status"
        )
        return status["homes"][resource]

    async def _describe(self) -> str:
        """Return the state of each process, for a fleet that isn't ready."""
        lines = ["the fleet is not ready"]
        for name, process in self._processes.items():
            log = (self.folder / f"{name}.log").read_text(errors="replace")
            tail = " | ".join(log.splitlines()[-_TAIL_LINES:])
            lines.append(f"{name}: status {process.returncode}: {tail}")
        for host in self.plan.hosts:
            try:
                status = await self.operate(host).execute("status")
            except OperatorError as error:
                status = error
            lines.append(f"{host}: {status}")
        return "\n".join(lines)

    def _write_settings(self) -> None:
        for host in self.plan.hosts:
            self._write(host, self._format_host(host))
        names = ", ".join(self.upstream_ports)
        ports = ", ".join(map(str, self.upstream_ports.values()))
        self._write("store", f"[store]\nport = {self.store_port}\n")
        self._write(
            "upstreams",
            f"[upstream]\nnames = {names}\nports = {ports}\n"
            f"slots = {self.plan.slots}\nmax_queue = {self.plan.slots}\n"
            "service_s = 0.0\n",
        )

    def _format_host(self, host: str) -> str:
        zone = self.plan.hosts[host]
        ports = self.ports[host]
        seeds = ", ".join(
            f"{name}@127.0.0.1:{self.ports[name].peer}"
            for name in list(self.plan.hosts)[:_SEEDS]
        )
        return HOST_INI.format(
            name=host,
            zone=zone,
            region=self.plan.zones[zone],
            peer_port=ports.peer,
            http_port=ports.http,
            operator_port=ports.operator,
            seeds=seeds,
            store_port=self.store_port,
            secret=SECRET,
            operator=OPERATOR,
            token_hash=hashlib.sha256(TOKEN.encode()).hexdigest(),
        )

    def _write(self, name: str, text: str) -> None:
        (self.folder / f"{name}.ini").write_text(text)

    async def _spawn(self, name: str, module: str, tree: Path) -> None:
        path = self.folder / f"{name}.log"
        with path.open("wb") as log:
            self._processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                str(self.folder / f"{name}.ini"),
                cwd=tree,
                stdout=log,
                stderr=log,
            )

    async def _configure(self) -> None:
        patch = make_configuration(self.plan, self.upstream_ports)
        client = self.operate(next(iter(self.plan.hosts)))
        while True:
            try:
                await client.execute("patch", from_version=0, patch=patch)
                break
            except OperatorError:
                await asyncio.sleep(_POLL_S)
        issued = await client.execute("issue-key", workspace="workspace-1")
        self.key = issued["key"]

    async def _wait_ready(self, host: str) -> None:
        while True:
            if await self._is_ready(host):
                return
            await asyncio.sleep(_POLL_S)

    async def _is_ready(self, host: str) -> bool:
        try:
            status = await self.operate(host).execute("status")
        except OperatorError:
            return False
        zone = next(iter(self.plan.upstreams.values()))
        return (
            status["configuration_version"] >= 2
            and f"slots/pressdesk/{zone}" in status["homes"]
            and len(status["members"]) == len(self.plan.hosts)
            and status["current"] == "current"
        )


def make_configuration(plan: Plan, ports: dict[str, int]) -> dict:
    """Return the document of a fleet, with rates that never refuse."""
    upstreams = {
        name: {
            "zone": zone,
            "address": "127.0.0.1",
            "port": ports[name],
            "slots": plan.slots,
        }
        for name, zone in plan.upstreams.items()
    }
    regions = sorted(set(plan.zones.values()))
    return {
        "regions": {region: {} for region in regions},
        "zones": {zone: {"region": r} for zone, r in plan.zones.items()},
        "links": [
            {"from_region": a, "to_region": b, "mbit_per_s": 4000}
            for a in regions
            for b in regions
            if a != b
        ],
        "workspaces": {
            f"workspace-{number + 1}": {
                "rate_per_s": 100_000,
                "burst": 100_000,
            }
            for number in range(plan.workspaces)
        },
        "groups": {"pressdesk": {"upstreams": upstreams}},
        "routes": {"payruns": {"path": "/payruns", "group": "pressdesk"}},
    }


async def stop_processes(processes: list) -> None:
    """Ask processes to stop and wait; end those that do not."""
    for process in processes:
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
    for process in processes:
        try:
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()


def read_processor_s(process_id: int) -> float:
    """Return the processor time of a process, in seconds."""
    text = Path(f"/proc/{process_id}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def read_resident_mb(process_id: int) -> float:
    """Return the resident memory of a process, in MB of 10^6 bytes."""
    text = Path(f"/proc/{process_id}/status").read_text()
    line = next(x for x in text.splitlines() if x.startswith("VmRSS:"))
    return int(line.split()[1]) * 1024 / 1e6
