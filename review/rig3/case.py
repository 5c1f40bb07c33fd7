"""Runs a case: sets up a small deployment, records, and ends it."""

import asyncio
import itertools
import json
import os
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from rig3.backend import Backend, Run
from rig3.fleet import (
    ZONES,
    Host,
    NotBuiltError,
    choose_network,
    find_free_port,
    start_hosts,
)
from rig3.http import encode_request, send
from rig3.store import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
HOSTNAME = "slips.example"
DEADLINE_S = 3.0


class CaseError(Exception):
    """The case could not run."""


class Sent:
    """A request and its answer; the status is 0 if none came."""

    __slots__ = (
        "request_id",
        "host",
        "target",
        "key",
        "sent_at",
        "answered_at",
        "status",
        "headers",
    )

    def __init__(self, request_id: str, host: str, target: str, key: str):
        self.request_id = request_id
        self.host = host
        self.target = target
        self.key = key
        self.sent_at = time.monotonic()
        self.answered_at = 0.0
        self.status = 0
        self.headers: dict[str, str] = {}


class Deployment:
    """Store, backends and hosts of a script, and all that they saw.

    `has_trouble` is whether the disruption takes place.
    """

    def __init__(self, folder: Path, record_path: Path):
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.network = choose_network()
        self.folder = folder
        store_at = f"{self.network}.250"
        self.store = Store(store_at, find_free_port(store_at))
        self.backends: list[Backend] = []
        self.hosts: list[Host] = []
        self.runs: list[Run] = []
        self.requests: list[Sent] = []
        self._began_at = time.monotonic()
        self._record = record_path.open("w", encoding="utf-8")
        self._ids = itertools.count(1)

    def note(self, event: str, **fields) -> None:
        """Write a line to the record."""
        at = round(time.monotonic() - self._began_at, 3)
        line = json.dumps({"at": at, "event": event, **fields})
        self._record.write(line + "\n")

    def add_host(self, zone: str) -> Host:
        """Add a host, which the script starts."""
        number = len(self.hosts) + 1
        address = f"{self.network}.{number}"
        name = f"front-{zone}-{number:02}"
        host = Host(name, zone, address, self.store, self.folder)
        self.hosts.append(host)
        return host

    async def add_backend(
        self, service: str, zone: str, cold_s: float = 0.0
    ) -> Backend:
        """Start a backend, which registers itself."""
        backend = Backend(service, zone, f"{self.network}.200", self.store)
        backend.warm_at = time.monotonic() + cold_s
        await backend.start(self.runs)
        self.backends.append(backend)
        return backend

    async def request(
        self, host: Host, target: str, key: str = "", method: str = "GET"
    ) -> Sent:
        """Send a request to a host as a client does, and record it."""
        sent = Sent(f"{next(self._ids):016x}", host.name, target, key)
        self.requests.append(sent)
        headers = {
            "Host": HOSTNAME,
            "X-Request-Id": sent.request_id,
            "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
        }
        if key:
            headers["Authorization"] = f"Bearer {key}"
        content = encode_request(method, target, headers)
        answer = await send(
            host.address, host.ports["front"], content, DEADLINE_S
        )
        sent.answered_at = time.monotonic()
        if answer is not None:
            sent.status, sent.headers = answer.status, answer.headers
        return sent

    def find_runs(self, sent: Sent) -> list[Run]:
        """Return the runs of a request."""
        return [r for r in self.runs if r.request_id == sent.request_id]

    def write_traffic(self) -> None:
        """Write all requests with their runs to the record."""
        for sent in self.requests:
            runs = [[r.backend, r.service] for r in self.find_runs(sent)]
            self._record.write(
                json.dumps(
                    {
                        "sent_at": round(sent.sent_at - self._began_at, 3),
                        "id": sent.request_id,
                        "to": sent.host,
                        "target": sent.target,
                        "key": sent.key,
                        "status": sent.status,
                        "ran": runs,
                    }
                )
                + "\n"
            )

    async def close(self) -> None:
        """End all processes and close the record."""
        # The servers' tasks are cancelled as the script ends.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        for host in self.hosts:
            host.kill()
        for backend in self.backends:
            await backend.stop()
        self.write_traffic()
        self._record.close()


Script = Callable[[Deployment], Awaitable[bool]]


def run_case(folder: Path, script: Script, limit_s: float = 110.0) -> None:
    """Run a script, which returns whether the rule held, and exit."""
    with tempfile.TemporaryDirectory(prefix="review3-") as temporary:
        status = asyncio.run(
            _run(Path(temporary), folder / "record.txt", script, limit_s)
        )
        if "KEEP_LOGS" in os.environ:
            # For a reader who wants the hosts' own words.
            shutil.copytree(
                temporary, os.environ["KEEP_LOGS"], dirs_exist_ok=True
            )
    sys.exit(status)


async def _run(
    folder: Path, record_path: Path, script: Script, limit_s: float
) -> int:
    deployment = Deployment(folder, record_path)
    # A case that is stopped ends its processes, too.
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, asyncio.current_task().cancel
    )
    try:
        async with asyncio.timeout(limit_s):
            await deployment.store.start()
            held = await script(deployment)
    except (
        CaseError,
        NotBuiltError,
        OSError,
        TimeoutError,
        asyncio.CancelledError,
    ) as error:
        deployment.note("not run", why=f"{type(error).__name__}: {error}")
        print(f"not run: {type(error).__name__}: {error}", file=sys.stderr)
        return NOT_RUN
    finally:
        await deployment.close()
    print("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN


def make_configuration(
    version: int, routes: dict, keys: dict[str, list[str]]
) -> dict:
    """Return the operator's configuration."""
    return {
        "version": f"r{version}",
        "routes": routes,
        "services": {
            name: {
                "health_check": "/health",
                "warmup_s": 3.0,
                "warmup_per_s": 50.0,
            }
            for name in ("press", "archive")
        },
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 1_048_576,
            "header_timeout_s": 5,
            "idle_timeout_s": 30,
        },
        "tenants": {
            name: {
                "name": name,
                "api_keys": held,
                "priority": 1,
                "rate_per_s": 0,
                "burst": 0,
            }
            for name, held in keys.items()
        },
    }


def make_route(
    name: str,
    prefix: str,
    service: str,
    is_public: bool = False,
    kind: str = "safe",
) -> dict:
    """Return a route."""
    return {
        "name": name,
        "hostname": HOSTNAME,
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_s": 2.0,
        "target_latency_s": 0.5,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "public": is_public,
        "session_affinity": False,
    }


async def set_up(deployment: Deployment, hosts_per_zone: int = 1) -> None:
    """Start backends and hosts in all zones, and wait until they serve."""
    for zone in ZONES:
        for service in ("press", "archive"):
            await deployment.add_backend(service, zone)
    hosts = [
        deployment.add_host(zone)
        for zone in ZONES
        for _ in range(hosts_per_zone)
    ]
    await start_hosts(hosts)
