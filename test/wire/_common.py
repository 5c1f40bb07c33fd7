"""Shared fixtures: members, settings and peers connected over loopback."""

import asyncio
import contextlib
import random

from radishstile.member import Member
from radishstile.wire.client import PeerClient
from radishstile.wire.counters import WireCounters
from radishstile.wire.messages.run import RunRequest
from radishstile.wire.server import PeerServer
from radishstile.wire.settings import WireSettings
from test._common import PausedTestCase

POLL_INTERVAL_S = 0.01
SECRET = "fleet secret of the tests"
SECRET_BYTES = SECRET.encode()


def make_member(host: str, port: int = 0, incarnation: int = 1) -> Member:
    return Member(host, incarnation, "akl-a", "akl", "127.0.0.1", port, 0)


def make_settings(secret: str = SECRET, **values) -> WireSettings:
    return WireSettings(secret, **values)


def make_request(request_id: str) -> RunRequest:
    return RunRequest(
        request_id=request_id,
        workspace="bureau",
        weight=1.0,
        route="slips",
        group="pressdesk",
        zone="akl-a",
        method="POST",
        path="/slips",
        headers=[["x-name", "v"]],
        deadline_ms=1000,
        is_idempotent=False,
        traceparent="",
        excluded=[],
        fingerprint=b"",
    )


class PeerTestCase(PausedTestCase):
    """Starts servers and clients and stops them after the test."""

    async def start_server(
        self, handle, port: int = 0, incarnation: int = 1, **values
    ) -> PeerServer:
        member = make_member("b", port, incarnation)
        settings = make_settings(**values)
        server = PeerServer(member, settings, handle, WireCounters())
        await server.start()
        self.addAsyncCleanup(server.stop)
        return server

    def start_client(
        self, port: int, secret=SECRET, host="b", **values
    ) -> PeerClient:
        client = PeerClient(
            make_member("a"),
            make_member(host, port),
            make_settings(secret, **values),
            WireCounters(),
            random.Random(1),
        )
        task = asyncio.create_task(client.run())
        self.addAsyncCleanup(self._end, task)
        return client

    async def connect(self, handle, **values):
        server = await self.start_server(handle, **values)
        client = self.start_client(server.port)
        await client.wait_connected(5)
        return client, server

    async def wait_until(self, check, timeout_s: float = 5.0) -> None:
        for _ in range(round(timeout_s / POLL_INTERVAL_S)):
            if check():
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        self.fail("condition was not met in time")

    async def _end(self, task: asyncio.Task) -> None:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
