"""An upstream with the platform's protocol that records its runs."""

import asyncio

import httptools

from soak.record import Arrival, Run

CHUNK_BYTES = 65_536
# Time that a draining upstream keeps serving after the drain bound, in
# seconds, so that requests that arrive too late are recorded.
DRAIN_OVERRUN_S = 1.5


class Upstream:
    """One incarnation of an upstream; rejects requests without a free slot."""

    __slots__ = (
        "name",
        "zone",
        "incarnation",
        "slots",
        "request_duration_s",
        "slowdown_factor",
        "is_leaving",
        "pause_s",
        "runs",
        "busy_slots",
        "_arrivals",
        "_clock",
        "_server",
        "_writers",
    )

    def __init__(
        self, name, zone, incarnation, slots, request_duration_s, record, clock
    ):
        self.name = name
        self.zone = zone
        self.incarnation = incarnation
        self.slots = slots
        self.request_duration_s = request_duration_s
        self.slowdown_factor = 1.0
        # Whether its answers name that it leaves.
        self.is_leaving = False
        # If above 0, it turns all requests away, and asks for such a pause.
        self.pause_s = 0.0
        # Shared by all upstreams, ordered by start.
        self.runs: list[Run] = record.runs
        self._arrivals: list[Arrival] = record.arrivals
        self.busy_slots = 0
        self._clock = clock
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def port(self) -> int:
        """Return the port that the upstream listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self) -> "Upstream":
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def make_registration(self, port: int) -> dict:
        """Return the registration for the store; hosts connect to `port`."""
        return {
            "address": f"127.0.0.1:{port}",
            "info": {
                "service": "press",
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "born": self.incarnation,
        }

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                writer.write(await self._answer(request))
                await writer.drain()
        except OSError:
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: "_ParsedRequest") -> bytes:
        request_id = request.headers.get("x-request-id", "")
        expected = request.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            return _encode_answer(421, request_id, b"", ["X-Not-Executed: 1"])
        now = self._clock()
        self._arrivals.append(
            Arrival(request_id, self.name, now, self.pause_s)
        )
        if self.pause_s or self.busy_slots >= self.slots:
            headers = ["X-Not-Executed: 1", *self._list_headers()]
            return _encode_answer(503, request_id, b"", headers)
        self.busy_slots += 1
        run = Run(
            request_id,
            request.target,
            request.headers.get("x-tenant", ""),
            request.headers.get("authorization", ""),
            self.name,
            self.zone,
            self._clock(),
        )
        self.runs.append(run)
        try:
            await asyncio.sleep(self.request_duration_s * self.slowdown_factor)
        finally:
            self.busy_slots -= 1
        body = make_body(request_id, request.target)
        headers = ["X-Response-Stamp: stamp", *self._list_headers()]
        return _encode_answer(200, request_id, body, headers)

    def _list_headers(self) -> list[str]:
        """Return the headers that tell the upstream's state."""
        headers = ["Server-Leaving: 1"] if self.is_leaving else []
        if self.pause_s:
            headers.append(f"Retry-After: {self.pause_s:.1f}")
        return headers


class _ParsedRequest:
    """Collects the request that the HTTP parser reads."""

    __slots__ = ("headers", "target", "is_complete")

    def __init__(self):
        self.headers: dict[str, str] = {}
        self.target = ""
        self.is_complete = False

    def on_url(self, part: bytes) -> None:
        """Append a part of the target."""
        self.target += part.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self.headers[name.lower().decode()] = value.decode("latin-1")

    def on_message_complete(self) -> None:
        """Mark the request as complete."""
        self.is_complete = True


async def _read_request(
    reader: asyncio.StreamReader,
) -> _ParsedRequest | None:
    request = _ParsedRequest()
    parser = httptools.HttpRequestParser(request)
    while not request.is_complete:
        data = await reader.read(CHUNK_BYTES)
        if not data:
            return None
        parser.feed_data(data)
    return request


def make_body(request_id: str, target: str) -> bytes:
    """Return the expected body of the answer to a request."""
    return f"{request_id} {target} ".encode() * 40


def _encode_answer(
    status: int, request_id: str, body: bytes, extra_headers: list[str]
) -> bytes:
    lines = (
        f"HTTP/1.1 {status} Status",
        f"X-Request-Id: {request_id}",
        f"Content-Length: {len(body)}",
        *extra_headers,
    )
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
