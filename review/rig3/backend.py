"""A backend that runs requests, and registers itself in the store."""

import asyncio
import itertools
import random
import time
from contextlib import suppress

from rig3.http import READ_LIMIT_BYTES, Message, encode_answer, read_message
from rig3.store import Store

HEARTBEAT_S = 1.5
_incarnations = itertools.count(1)


class Run:
    """A request that a backend began to run; `at` is on the steady clock."""

    __slots__ = ("at", "request_id", "backend", "service", "target", "tenant")

    def __init__(self, request: Message, backend: "Backend"):
        self.at = time.monotonic()
        self.request_id = request.headers.get("x-request-id", "")
        self.backend = backend.name
        self.service = backend.service
        self.target = request.first[1]
        self.tenant = request.headers.get("x-tenant", "")


class Backend:
    """Serves one service; `runs` is shared by all backends of a script.

    `state` is what it registers; an empty one keeps it out of the store.
    """

    __slots__ = (
        "name",
        "service",
        "zone",
        "address",
        "state",
        "work_s",
        "slots",
        "warm_at",
        "is_leaving",
        "runs",
        "_store",
        "_born",
        "_server",
        "_port",
        "_task",
        "_writers",
    )

    def __init__(self, service: str, zone: str, address: str, store: Store):
        self.name = f"i-{next(_incarnations):04}"
        self.service = service
        self.zone = zone
        self.address = address
        self.state = "ready"
        self.work_s = 0.02
        self.slots = 6
        # When it is warm, on the steady clock; what is left until then stands
        # in the entry.
        self.warm_at = 0.0
        # Whether its answers say that it leaves.
        self.is_leaving = False
        self.runs: list[Run] = []
        self._store = store
        self._born = time.time_ns() // 1_000_000
        self._server: asyncio.Server | None = None
        self._port = 0
        self._task: asyncio.Task | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, runs: list[Run]) -> None:
        """Listen, register, and register again with each heartbeat."""
        self.runs = runs
        self._server = await asyncio.start_server(
            self._serve, self.address, 0, limit=READ_LIMIT_BYTES
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.register()
        self._task = asyncio.create_task(self._beat())

    def register(self) -> None:
        """Write the entry, which changes nothing if it stands already."""
        if self._store.is_away or not self.state:
            return
        spec = {
            "address": f"{self.address}:{self._port}",
            "born": self._born,
            "info": {
                "service": self.service,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
            },
        }
        left_s = round(max(0.0, self.warm_at - time.monotonic()), 1)
        status = {"state": self.state, "sequence": 1, "warmup_left_s": left_s}
        self._store.put("servers", self.name, spec, status)

    async def stop(self) -> None:
        """Stop listening and beating."""
        self._task.cancel()
        self._server.close()

    async def exit(self) -> None:
        """End as a process does: what it runs ends with its connections."""
        await self.stop()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _beat(self) -> None:
        await asyncio.sleep(random.uniform(0, HEARTBEAT_S))
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while request := await read_message(reader):
                writer.write(await self._answer(request))
                await writer.drain()
        except ConnectionError:
            return
        finally:
            self._writers.discard(writer)
            with suppress(ConnectionError):
                writer.close()

    async def _answer(self, request: Message) -> bytes:
        request_id = request.headers.get("x-request-id", "")
        headers = {"X-Request-Id": request_id}
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        expected = request.headers.get("x-expect-instance")
        if expected not in (None, self.name):
            headers["X-Not-Executed"] = "1"
            return encode_answer(421, headers)
        self.runs.append(Run(request, self))
        await asyncio.sleep(self.work_s)
        headers["X-Response-Stamp"] = f"{self.name}.{request_id}"
        return encode_answer(200, headers, f"{self.service}\n".encode())
