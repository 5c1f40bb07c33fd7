"""Entry hosts as child processes, controlled by signals."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

from radishstile.platform.host_file import PATH_VARIABLE
from soak.proxy import Proxy
from soak.settings import SoakSettings

CALLERS_PORT = 8388
READINESS_PORT = 8384
DIRECTORY_PORT = 8383
PEER_PORT = 7560
# Delay before a process that exited is restarted, in seconds.
RESTART_DELAY_S = 0.4


class Host:
    """One host; its process is restarted whenever it exits."""

    __slots__ = (
        "name",
        "zone",
        "address",
        "store_proxy",
        "_settings",
        "_process",
    )

    def __init__(
        self, name: str, zone: str, address: str, store_proxy: Proxy, settings
    ):
        self.name = name
        self.zone = zone
        self.address = address
        # The host connects to the store through this proxy.
        self.store_proxy = store_proxy
        self._settings: SoakSettings = settings
        self._process: asyncio.subprocess.Process | None = None

    async def run(self) -> None:
        """Run the process, restart it if it exits, kill it on cancellation."""
        path = self._write_host_file()
        environment = {**os.environ, PATH_VARIABLE: str(path)}
        command = [sys.executable, "-m", "radishstile.entry.command", "serve"]
        flags = os.O_CREAT | os.O_APPEND | os.O_WRONLY
        log = os.open(path.with_suffix(".log"), flags)
        try:
            while True:
                self._process = await asyncio.create_subprocess_exec(
                    *command, env=environment, stdout=log, stderr=log
                )
                await self._process.wait()
                await asyncio.sleep(RESTART_DELAY_S)
        finally:
            self.send_signal(signal.SIGKILL)
            if self._process is not None:
                await self._process.wait()
            os.close(log)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        process = self._process
        if process is None or process.returncode is not None:
            return
        process.send_signal(number)

    def _write_host_file(self) -> Path:
        path = Path(self._settings.folder) / f"{self.name}.yaml"
        path.write_text(json.dumps(self._make_host_file()), encoding="utf-8")
        return path

    def _make_host_file(self) -> dict:
        settings = self._settings
        host_ip = self.address
        return {
            "self": {
                "node": self.name,
                "ip": host_ip,
                "zone": self.zone,
                "region": settings.zones[self.zone],
            },
            "network": {
                "listen": {
                    "front": f"{host_ip}:{CALLERS_PORT}",
                    "ready": f"{host_ip}:{READINESS_PORT}",
                    "directory": f"{host_ip}:{DIRECTORY_PORT}",
                },
                "internal_ports": [PEER_PORT, PEER_PORT],
                "zones": settings.zones,
            },
            "platform": {
                "platform": {"address": f"127.0.0.1:{self.store_proxy.port}"}
            },
            "terms": {
                "bounds": {
                    "grace_s": settings.grace_s,
                    "revoke_s": settings.revoke_s,
                    "drain_s": settings.drain_s,
                }
            },
        }
