"""Tests of the limits that upstreams name, through one entry host.

Guards against LIMIT: nothing read the limit, and an upstream in need got as
many requests as before.
"""

import asyncio

from test._common import count_most
from test.entry._common import Caller, PlatformTestCase, make_answer

RATE_PER_S = 2.5
# Time after an upstream first named its limit from which it must hold, and
# the span in which requests are counted, in seconds.
CONTACT_S = 1.0
WINDOW_S = 4.0
# What the platform allows in a span.
MOST = 1.5 * RATE_PER_S * WINDOW_S + 5
OBSERVED_S = 6.0
CALLER_INTERVAL_S = 0.04


class NamedLimitTest(PlatformTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.arrivals = []
        self.limited = self.upstreams[0]
        self.limited.answers = _Endless(self.answer_with_limit)

    def answer_with_limit(self, head):
        self.arrivals.append(asyncio.get_running_loop().time())
        request_id = head.headers["x-request-id"]
        return make_answer(request_id, extra=f"Server-Limit: {RATE_PER_S}")

    async def call(self, hosts, for_s):
        """Send requests to hosts in turn; return the answers' statuses."""
        loop = asyncio.get_running_loop()
        until = loop.time() + for_s
        calls = []
        while loop.time() < until:
            host = hosts[len(calls) % len(hosts)]
            calls.append(asyncio.create_task(call(host, len(calls))))
            await asyncio.sleep(CALLER_INTERVAL_S)
        return [await call for call in calls]

    def count_most(self):
        """Return the most arrivals in a window once the limit must hold."""
        since = self.arrivals[0] + CONTACT_S
        return count_most(self.arrivals, since, WINDOW_S)

    # LIMIT: 4 slots of some milliseconds each were the only bound.
    async def test_limited_upstream_gets_what_it_takes_and_not_more(self):
        statuses = await self.call([self.host], OBSERVED_S)
        self.assertLessEqual(self.count_most(), MOST)
        # The other upstream has room for what the limited one doesn't take.
        self.assertGreater(statuses.count(200), 0.95 * len(statuses))
        # The limit is used.
        self.assertGreater(len(self.arrivals), RATE_PER_S * OBSERVED_S / 2)

    # LIMIT: the next leader did not know of the limit.
    async def test_hosts_keep_the_limit_together_through_a_leader_change(self):
        other = await self.start_host("front-2", "akl-a")
        await self.wait_followed(other)
        await self.call([self.host, other], 2.0)
        self.host.stopping.set()
        await self.call([other], 4.0)
        self.assertLessEqual(self.count_most(), MOST)

    async def wait_followed(self, follower):
        """Wait until a host follows the first one."""
        leadership = follower.entry._leadership
        for _ in range(300):
            leader = leadership.find_leader()
            if leader is not None and leader.member.host == "front-1":
                return
            await asyncio.sleep(0.01)
        raise TimeoutError("front-2 does not follow front-1")


async def call(host, number):
    """Send a request on a new connection, and return the answer's status."""
    async with Caller(host) as caller:
        caller.send(
            f"/read/{number % 20}",
            request_id=f"c{number}",
            extra=(f"X-Affinity-Key: {number % 20}",),
        )
        return (await caller.receive()).status


class _Endless:
    """Answers of one kind without end."""

    def __init__(self, answer):
        self._answer = answer

    def pop(self, _index):
        return self._answer

    def __bool__(self):
        return True
