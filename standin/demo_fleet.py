"""The demo's processes and their settings files."""

import asyncio
import hashlib
import json
import os
import signal
import sys
from pathlib import Path

import aiohttp

from radishstile.cli.client import OperatorClient
from radishstile.errors import OperatorError
from standin.free_ports import find_free_ports

OPERATOR = "ana"
TOKEN = "demo-token"
SECRET = "demo-fleet-secret"
ZONES = {"akl-a": "akl", "wlg-a": "wlg"}
HOSTS = ("akl-a-1", "akl-a-2", "wlg-a-1", "wlg-a-2")
UPSTREAMS = {
    "press-1": "akl-a",
    "press-2": "akl-a",
    "press-3": "wlg-a",
    "press-4": "wlg-a",
    "archive-1": "akl-a",
    "archive-2": "wlg-a",
}
STOP_TIMEOUT_S = 30.0
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

[lookup]
ttl_s = 1.0

[logging]
level = INFO
"""
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


class DemoFleet:
    """Starts, reaches and stops the demo's processes."""

    __slots__ = (
        "folder",
        "ports",
        "upstream_ports",
        "store_port",
        "keys",
        "_processes",
    )

    def __init__(self, folder: Path):
        self.folder = folder
        count = 3 * len(HOSTS) + len(UPSTREAMS) + 1
        numbers = iter(find_free_ports(count))
        self.store_port = next(numbers)
        self.upstream_ports = {name: next(numbers) for name in UPSTREAMS}
        self.ports = {
            host: HostPorts(next(numbers), next(numbers), next(numbers))
            for host in HOSTS
        }
        self.keys: dict[str, str] = {}
        self._processes: dict[str, asyncio.subprocess.Process] = {}

    async def start(self, timeout_s: float) -> None:
        """Start every process, load the configuration, wait until ready."""
        self._write_settings()
        await self._spawn("store", "standin.store")
        await self._spawn("upstreams", "standin.upstream")
        for host in HOSTS:
            await self._spawn(host, "radishstile.daemon.command")
        async with asyncio.timeout(timeout_s):
            await self._load_configuration()
            await self._wait_ready()

    async def stop(self) -> list[str]:
        """Ask every process to stop; return those that did not end well."""
        hosts = [name for name in self._processes if name in HOSTS]
        others = [name for name in self._processes if name not in HOSTS]
        unclean = await self._stop_all(hosts)
        return unclean + await self._stop_all(others)

    def operate(self, host: str = HOSTS[0]) -> OperatorClient:
        """Return an operator's client of one host."""
        url = f"http://127.0.0.1:{self.ports[host].operator}"
        return OperatorClient(url, OPERATOR, TOKEN)

    def find_caller_url(self, host: str) -> str:
        """Return where callers reach a host."""
        return f"http://127.0.0.1:{self.ports[host].http}"

    async def read_records(self, upstream: str) -> list[dict]:
        """Return what an upstream saw."""
        port = self.upstream_ports[upstream]
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://127.0.0.1:{port}/records") as response,
        ):
            return await response.json()

    def read_logs(self) -> str:
        """Return all that the daemons logged."""
        paths = [self.folder / f"{host}.log" for host in HOSTS]
        return "".join(path.read_text(errors="replace") for path in paths)

    def describe_commands(self) -> str:
        """Return commands that a user can try on the running fleet."""
        client = f".venv/bin/radishstile --settings {self.folder}/client.ini"
        key = self.keys.get("bureau", "KEY")
        return "\n".join(
            [
                "Running; try in another shell, and end with Ctrl-C:",
                f"  {client} status",
                f"  {client} show",
                f"  {client} lookup slips",
                f"  {client} send /slips/7 --key {key}",
                f"  {client} history",
                f"  {client} drain upstream press-1",
                f"  logs: {self.folder}/*.log",
            ]
        )

    def _write_settings(self) -> None:
        for host in HOSTS:
            self._write(host, self._format_host(host))
        names = ", ".join(UPSTREAMS)
        ports = ", ".join(str(self.upstream_ports[n]) for n in UPSTREAMS)
        self._write("store", f"[store]\nport = {self.store_port}\n")
        self._write(
            "upstreams", f"[upstream]\nnames = {names}\nports = {ports}\n"
        )
        first = HOSTS[0]
        client = CLIENT_INI.format(
            url=f"http://127.0.0.1:{self.ports[first].operator}",
            callers=self.find_caller_url(first),
            operator=OPERATOR,
            token=TOKEN,
        )
        self._write("client", client)

    def _format_host(self, host: str) -> str:
        zone = host.rpartition("-")[0]
        ports = self.ports[host]
        seeds = ", ".join(
            f"{name}@127.0.0.1:{self.ports[name].peer}" for name in HOSTS
        )
        return HOST_INI.format(
            name=host,
            zone=zone,
            region=ZONES[zone],
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

    async def _spawn(self, name: str, module: str) -> None:
        log = os.open(
            self.folder / f"{name}.log", os.O_WRONLY | os.O_CREAT | os.O_TRUNC
        )
        try:
            self._processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                str(self.folder / f"{name}.ini"),
                stdout=log,
                stderr=log,
            )
        finally:
            os.close(log)

    async def _load_configuration(self) -> None:
        patch = make_configuration(self.upstream_ports)
        client = self.operate()
        while True:
            try:
                await client.execute("patch", from_version=0, patch=patch)
                break
            except OperatorError:
                await asyncio.sleep(POLL_S)
        for workspace in patch["workspaces"]:
            issued = await client.execute("issue-key", workspace=workspace)
            self.keys[workspace] = issued["key"]

    async def _wait_ready(self) -> None:
        """Wait until each host has the last key and a home for each slot."""
        waiting = list(HOSTS)
        while waiting:
            if await self._is_ready(waiting[0]):
                waiting.pop(0)
            else:
                await asyncio.sleep(POLL_S)

    async def _is_ready(self, host: str) -> bool:
        try:
            status = await self.operate(host).execute("status")
        except OperatorError:
            return False
        wanted = 1 + len(self.keys)
        return (
            status["configuration_version"] >= wanted
            and "slots/pressdesk/wlg-a" in status["homes"]
            and len(status["members"]) == len(HOSTS)
            and status["current"] == "current"
        )

    async def _stop_all(self, names: list[str]) -> list[str]:
        for name in names:
            if self._processes[name].returncode is None:
                self._processes[name].send_signal(signal.SIGTERM)
        statuses = [await self._wait_end(name) for name in names]
        return [
            name
            for name, status in zip(names, statuses, strict=True)
            if status != 0
        ]

    async def _wait_end(self, name: str) -> int | None:
        process = self._processes[name]
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await process.wait()
        except TimeoutError:
            process.kill()
            return None


def make_configuration(upstream_ports: dict[str, int]) -> dict:
    """Return a small payroll configuration for the demo."""
    groups: dict[str, dict] = {}
    for name, zone in UPSTREAMS.items():
        is_press = name.startswith("press")
        group = "pressdesk" if is_press else "sliparchive"
        upstreams = groups.setdefault(group, {"upstreams": {}})["upstreams"]
        upstreams[name] = {
            "zone": zone,
            "address": "127.0.0.1",
            "port": upstream_ports[name],
            "slots": 6 if is_press else 3,
        }
    return {
        "regions": {"akl": {}, "wlg": {}},
        "zones": {zone: {"region": r} for zone, r in ZONES.items()},
        "links": [
            {"from_region": "akl", "to_region": "wlg", "mbit_per_s": 4000},
            {"from_region": "wlg", "to_region": "akl", "mbit_per_s": 4000},
        ],
        "workspaces": {
            "bureau": {"rate_per_s": 200, "burst": 50},
            "employer": {"rate_per_s": 400, "burst": 100},
        },
        "groups": groups,
        "routes": {
            "payruns": {"path": "/payruns", "group": "pressdesk"},
            "batches": {
                "path": "/batches",
                "group": "pressdesk",
                "idempotent": False,
            },
            "slips": {"path": "/slips", "group": "sliparchive"},
        },
        "blocks": [{"client": "10.1.0.0/16", "region": "wlg"}],
    }


def format_json(value: object) -> str:
    """Return a value as one line of JSON."""
    return json.dumps(value, separators=(",", ":"))
