"""Tests that a request that crashes upstreams is recognised without others.

The upstreams get no other request until they are back, under a new id, and the
harmful one comes again.
"""

import asyncio

from test.entry._common import PlatformTestCase, Upstream


class CrashingUpstream(Upstream):
    """Ends as it begins to run a request."""

    address = ""

    async def start(self):
        await super().start()
        self.address = super().address
        return self

    async def _serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        self.runs.append(head)
        self._server.close()
        writer.transport.abort()
        writer.close()


class SilentUpstream(Upstream):
    """Runs a request and loses the answer, but goes on."""

    async def _serve(self, reader, writer):
        self.runs.append(await reader.readuntil(b"\r\n\r\n"))
        writer.transport.abort()
        writer.close()


class QuietTrafficTest(PlatformTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        for upstream in self.upstreams:
            self.register(upstream, state="draining")

    async def send_to(self, upstream):
        """Send the harmful request to a new upstream, and return the status.

        Upstreams that got it before are gone.
        """
        await upstream.start()
        self.addAsyncCleanup(upstream.stop)
        self.register(upstream)
        await asyncio.sleep(0.5)
        answer = await self.ask(
            "/order/1",
            method="POST",
            body=b"harmful",
            request_id=f"r-{upstream.name}",
        )
        await asyncio.sleep(0.5)
        self.register(upstream, state="draining")
        return answer.status

    async def test_request_that_crashed_three_upstreams_is_refused(self):
        # Guards against a harmful request that crashes each upstream that
        # comes back, as nobody asks whether it has crashed.
        upstreams = [CrashingUpstream(f"c-{n}") for n in range(4)]
        statuses = [await self.send_to(upstream) for upstream in upstreams]
        self.assertEqual(statuses[0], 502)
        self.assertEqual([len(u.runs) for u in upstreams], [1, 1, 0, 0])

    async def test_lost_answers_are_no_crashes(self):
        # Guards against a request that is refused as its answers were lost.
        upstreams = [SilentUpstream(f"s-{n}") for n in range(4)]
        statuses = [await self.send_to(upstream) for upstream in upstreams]
        self.assertEqual(statuses, [502] * 4)
