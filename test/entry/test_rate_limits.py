"""Tests of the limits that upstreams name, through one entry host.

Guards against LIMIT: nothing read the limit, and an upstream in need got as
many requests as before.
"""

import asyncio

from test.entry._common import PlatformTestCase, make_answer

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

    async def call(self, until):
        calls = []
        while asyncio.get_running_loop().time() < until:
            target = f"/read/{len(calls) % 20}"
            extra = (f"X-Affinity-Key: {len(calls) % 20}",)
            call = self.ask(target, request_id=f"c{len(calls)}", extra=extra)
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(CALLER_INTERVAL_S)
        return [(await call).status for call in calls]

    # LIMIT: 4 slots of some milliseconds each were the only bound.
    async def test_limited_upstream_gets_what_it_takes_and_not_more(self):
        statuses = await self.call(
            asyncio.get_running_loop().time() + OBSERVED_S
        )
        since = self.arrivals[0] + CONTACT_S
        counted = [at for at in self.arrivals if at >= since]
        most = max(
            sum(at <= other < at + WINDOW_S for other in counted)
            for at in counted
        )
        self.assertLessEqual(most, MOST)
        # The other upstream has room for what the limited one doesn't take.
        self.assertGreater(statuses.count(200), 0.95 * len(statuses))
        # The limit is used.
        self.assertGreater(len(counted), RATE_PER_S * 2)


class _Endless:
    """Answers of one kind without end."""

    def __init__(self, answer):
        self._answer = answer

    def pop(self, _index):
        return self._answer

    def __bool__(self):
        return True
