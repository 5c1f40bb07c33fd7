"""A backend: registers in the store, has slots, drains and crashes."""

import asyncio
import time

from lab.messages import Message, encode_message, read_message
from lab.store import Store

HEARTBEAT_S = 1.5
RESTART_S = 3.0


class Arrival:
    """A request that reached a backend."""

    def __init__(self, request_id: str, backend: str, target: str):
        self.request_id = request_id
        self.backend = backend
        self.target = target
        self.at = time.monotonic()
        self.has_run = False
        self.ended = "running"


class Backend:
    """Serves requests; `work_s` is how long each one takes.

    A request whose path contains `poison` crashes it while it runs, if
    `crashes` is set; it is back under a new id after `RESTART_S`.
    """

    def __init__(
        self,
        store: Store,
        arrivals: list[Arrival],
        name: str,
        zone: str = "a",
        slots: int = 6,
        work_s: float = 0.1,
        service: str = "press",
    ):
        self.name = name
        self.store = store
        self.arrivals = arrivals
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.service = service
        self.port = 0
        self.state = "ready"
        self.is_leaving = False
        self.crash_count = 0
        self._starts = 0
        self._born = 0
        self._sequence = 0
        self._running = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._heartbeat: asyncio.Task | None = None

    @property
    def instance(self) -> str:
        """Return the id of the current incarnation."""
        return f"i-{self.name}-{self._starts}"

    async def start(self) -> None:
        """Listen and register."""
        self._starts += 1
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._heartbeat = asyncio.create_task(self._beat())

    async def drain(self) -> float:
        """Report `draining`; return the time of the acknowledgement."""
        self.state = "draining"
        self.is_leaving = True
        return self.report()

    def unregister(self) -> float:
        """Remove the entry; return the time of the acknowledgement."""
        self._heartbeat.cancel()
        return self.store.remove("servers", self.instance)

    def stop(self) -> None:
        """End: close the listener and all connections."""
        self._heartbeat.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def report(self) -> float:
        """Write the entry; return the time of the acknowledgement."""
        self._sequence += 1
        spec = {
            "address": f"127.0.0.1:{self.port}",
            "born": self._born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self._sequence,
                "warmup_left_s": 0,
            },
        }
        return self.store.put("servers", self.instance, spec)

    async def _beat(self) -> None:
        while True:
            self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def _crash(self) -> None:
        self.crash_count += 1
        entry = self.instance
        self.stop()
        await asyncio.sleep(RESTART_S)
        await self.start()
        # The platform drops the entry after three silent heartbeats.
        await asyncio.sleep(3 * HEARTBEAT_S - RESTART_S)
        if self.store.find("servers", entry):
            self.store.remove("servers", entry)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                answer = await self._answer(request)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Message) -> bytes | None:
        headers = {"X-Request-Id": request.headers.get("x-request-id", "")}
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        if request.target == "/health":
            headers["X-Instance-Id"] = self.instance
            return encode_message("HTTP/1.1 200 OK", headers)
        if request.headers.get("x-expect-instance") != self.instance:
            headers["X-Not-Executed"] = "1"
            return encode_message("HTTP/1.1 421 Misdirected", headers)
        arrival = Arrival(
            headers["X-Request-Id"], self.instance, request.target
        )
        self.arrivals.append(arrival)
        if self._running >= self.slots:
            arrival.ended = "shed"
            headers["X-Not-Executed"] = "1"
            return encode_message("HTTP/1.1 503 Busy", headers)
        arrival.has_run = True
        self._running += 1
        try:
            if "poison" in request.target:
                await asyncio.sleep(0.05)
                arrival.ended = "crash"
                asyncio.get_running_loop().create_task(self._crash())
                return None
            await asyncio.sleep(self.work_s)
            arrival.ended = "answered"
        finally:
            self._running -= 1
        headers["X-Response-Stamp"] = f"stamp-{self.instance}"
        return encode_message(
            "HTTP/1.1 200 OK", headers, headers["X-Request-Id"].encode()
        )
