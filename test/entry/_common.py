"""Test fixtures: store, upstreams and entry hosts on loopback."""

import asyncio
import json
import tempfile
import unittest
from pathlib import Path

import httptools

from radishstile.entry.service import EntryHost
from radishstile.platform.host_file import read_host_file
from standin.free_ports import find_free_ports
from standin.object_store import ObjectStore

KEY = "key-1"
HOSTNAME = "a.example"
# Longer than what an entry host buffers of an answer.
LONG_BODY_BYTES = 600_000
CONFIGURATION = {
    "version": "r1",
    "routes": {
        "r-read": {
            "hostname": HOSTNAME,
            "path_prefix": "/read/",
            "route_type": "safe",
            "timeout_s": 2,
            "target_latency_s": 0.5,
            "priority": 2,
            "service": "press",
            "attempts": 2,
            "public": False,
            "session_affinity": True,
        },
        "r-order": {
            "hostname": HOSTNAME,
            "path_prefix": "/order/",
            "route_type": "unsafe",
            "timeout_s": 2,
            "target_latency_s": 0.5,
            "priority": 1,
            "service": "press",
            "attempts": 2,
            "public": False,
            "session_affinity": False,
        },
    },
    "services": {"press": {"warmup_s": 0.0, "warmup_per_s": 100.0}},
    "limits": {
        "max_header_bytes": 4096,
        "max_body_bytes": 10_000,
        "header_timeout_s": 0.3,
        "idle_timeout_s": 5,
    },
    "tenants": {
        "bureau": {
            "api_keys": [KEY],
            "priority": 1,
            "rate_per_s": 0,
            "burst": 0,
        }
    },
}


class Upstream:
    """An upstream with scripted answers.

    `answers` holds functions that return the answer to a request, one for
    each request; when it is empty, requests are answered with status 200.
    `runs` are the requests received, `delay_s` is the time before each
    answer in seconds.
    """

    def __init__(self, name):
        self.name = name
        self.answers = []
        self.runs = []
        self.delay_s = 0.0
        self.closed_connections = 0
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    async def stop(self):
        self._server.close()

    @property
    def address(self):
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer):
        try:
            while True:
                head = _Head()
                parser = httptools.HttpRequestParser(head)
                while not head.is_whole:
                    data = await reader.read(65536)
                    if not data:
                        return
                    parser.feed_data(data)
                self.runs.append(head)
                await asyncio.sleep(self.delay_s)
                answer = self.answers.pop(0) if self.answers else answer_ok
                writer.write(answer(head))
                await writer.drain()
                if answer in (truncate, stop_within_head):
                    return
        except ConnectionError:
            pass
        finally:
            self.closed_connections += 1
            writer.close()


class _Head:
    """A received request, filled by the parser's callbacks."""

    def __init__(self):
        self.headers = {}
        self.target = b""
        self.body = b""
        self.is_whole = False

    def on_url(self, part):
        self.target += part

    def on_header(self, name, value):
        self.headers[name.lower().decode()] = value.decode()

    def on_body(self, part):
        self.body += part

    def on_message_complete(self):
        self.is_whole = True


def make_answer(request_id, status=200, body=b"done", stamp=True, extra=""):
    lines = [
        f"HTTP/1.1 {status} Status",
        f"X-Request-Id: {request_id}",
        f"Content-Length: {len(body)}",
    ]
    if stamp:
        lines.append("X-Response-Stamp: s")
    if extra:
        lines.append(extra)
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def answer_ok(head):
    return make_answer(head.headers["x-request-id"])


def answer_twice(head):
    return answer_ok(head) * 2


def answer_other_request(head):
    return make_answer("other", body=b"stale") + answer_ok(head)


def reject(head):
    request_id = head.headers["x-request-id"]
    return make_answer(
        request_id, 503, b"", stamp=False, extra="X-Not-Executed: 1"
    )


def fail(head):
    return make_answer(head.headers["x-request-id"], 500, b"failed")


def fail_at_length(head):
    body = b"x" * LONG_BODY_BYTES
    return make_answer(head.headers["x-request-id"], 500, body)


def answer_at_length(head):
    return make_answer(head.headers["x-request-id"], body=b"x" * 2_000_000)


def repeat_refusal(head):
    refusal = make_answer(
        "earlier", 503, b"", stamp=False, extra="X-Not-Executed: 1"
    )
    return refusal + answer_ok(head)


def repeat_refusal_without_id(head):
    refusal = b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"
    return refusal + answer_ok(head)


def send_head_without_end(head):
    return b"HTTP/1.1 200 OK\r\nX-Filler: " + b"x" * 3_000_000


def omit_stamp(head):
    return make_answer(head.headers["x-request-id"], stamp=False)


def truncate(head):
    return answer_ok(head)[:-2]


def stop_within_head(head):
    return answer_ok(head).partition(b"Content-Length")[0]


class PlatformTestCase(unittest.IsolatedAsyncioTestCase):
    """A test case with a store, two upstreams and one entry host."""

    upstream_type = Upstream
    upstream_count = 2
    configuration = CONFIGURATION

    async def asyncSetUp(self):
        self.store = ObjectStore()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        if self.configuration is not None:
            self.store.put("config", "main", self.configuration)
        self.upstreams = []
        for number in range(self.upstream_count):
            upstream = await self.upstream_type(f"i-{number}").start()
            self.addAsyncCleanup(upstream.stop)
            self.upstreams.append(upstream)
            self.register(upstream)
        self.host = await self.start_host("front-1", "akl-a")

    def register(self, upstream, state="ready", **info):
        record = {
            "address": upstream.address,
            "info": {
                "service": "press",
                "version": "v1",
                "zone": "akl-a",
                "slots": 4,
                **info,
            },
            "born": 1,
        }
        status = {"state": state, "sequence": 1, "warmup_left_s": 0}
        self.store.put("servers", upstream.name, record, status)

    async def start_host(self, name, zone):
        host = self.make_host(self.make_file(name, zone))
        await self.run_host(host)
        return host

    def make_host(self, file, incarnation=1):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "node.yaml"
        path.write_text(json.dumps(file))
        has_configuration = self.configuration is not None
        return RunningHost(
            read_host_file(str(path)),
            str(path),
            has_configuration,
            incarnation,
        )

    async def run_host(self, host):
        await host.start()
        self.addAsyncCleanup(host.stop)

    def make_file(self, name, zone):
        ports = find_free_ports(4)
        loopback = "127.0.0.1"
        return {
            "self": {
                "node": name,
                "ip": loopback,
                "zone": zone,
                "region": zone.partition("-")[0],
            },
            "network": {
                "listen": {
                    "front": f"{loopback}:{ports[0]}",
                    "ready": f"{loopback}:{ports[1]}",
                    "directory": f"{loopback}:{ports[2]}",
                },
                "internal_ports": [ports[3], ports[3]],
                "zones": {"akl-a": "akl", "wlg-a": "wlg"},
            },
            "platform": {
                "platform": {"address": f"{loopback}:{self.store.port}"}
            },
            "terms": {"bounds": {"grace_s": 1.0, "revoke_s": 5}},
        }

    async def wait_until(self, condition):
        for _ in range(400):
            if condition():
                return
            await asyncio.sleep(0.02)
        self.fail("the condition did not hold within 8 s")

    async def ask(self, target="/read/1", **options):
        """Send one request on a new connection, and return the answer."""
        async with Caller(self.host) as caller:
            caller.send(target, **options)
            return await caller.receive()


class RunningHost:
    """An entry host that runs in the test's loop.

    `has_configuration` tells whether to wait for one at the start.
    """

    def __init__(self, file, path, has_configuration, incarnation):
        self._has_configuration = has_configuration
        self.file = file
        self.entry = EntryHost(file, path, incarnation, find_free_ports(1)[0])
        self.stopping = asyncio.Event()
        self._task = None

    async def start(self):
        self._task = asyncio.create_task(
            self.entry.run(self.stopping, asyncio.Event())
        )
        for _ in range(500):
            if self._is_started():
                return
            await asyncio.sleep(0.01)
        raise TimeoutError("the host did not start within 5 s")

    def _is_started(self):
        node = self.entry.node
        is_initialized = node.catalog and node.registry.count()
        is_registered = node.hosts.find(node.local_member.host) is not None
        return is_registered and (
            is_initialized or not self._has_configuration
        )

    async def stop(self):
        self.stopping.set()
        await asyncio.wait_for(self._task, 5)


class Answer:
    """An answer as received by a caller."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class Caller:
    """A caller's connection."""

    def __init__(self, host):
        self._endpoint = host.file.callers
        self._reader = self._writer = None
        self._sent = 0

    async def __aenter__(self):
        self._reader, self._writer = await asyncio.open_connection(
            self._endpoint.address, self._endpoint.port
        )
        return self

    async def __aexit__(self, *_):
        self._writer.close()

    def send(
        self,
        target="/read/1",
        method="GET",
        body=b"",
        key=KEY,
        request_id=None,
        extra=(),
        deadline_ms=3000,
    ):
        self._sent += 1
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {HOSTNAME}",
            f"X-Request-Id: {request_id or f'q{self._sent}'}",
            f"X-Deadline-Ms: {deadline_ms}",
            *extra,
        ]
        if key:
            lines.append(f"Authorization: Bearer {key}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def write(self, content):
        self._writer.write(content)

    def disconnect(self):
        self._writer.transport.abort()

    async def receive(self, limit_s=5):
        head = await asyncio.wait_for(
            self._reader.readuntil(b"\r\n\r\n"), limit_s
        )
        first, *lines = head.decode().rstrip().split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(": ")
            headers[name.lower()] = value
        size = int(headers.get("content-length", 0))
        body = await asyncio.wait_for(self._reader.readexactly(size), 5)
        return Answer(int(first.split()[1]), headers, body)

    async def is_closed(self):
        return await asyncio.wait_for(self._reader.read(1), 5) == b""
