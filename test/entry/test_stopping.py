"""Tests of which requests a stopping host takes, and when it ends them.

A request that is taken too late is cut off by the end of the process, after it
has run in part.
"""

import asyncio
import json
import random
import unittest
from unittest.mock import patch

from radishstile.entry.claims import SlotClient
from radishstile.entry.stop_plan import StopPlan
from test.entry._common import CONFIGURATION, Caller, PlatformTestCase

# Requests that are sent later than this after the signal must not be cut, and
# none before the last sixth of the grace period.
FREE_S = 3.0
LAST_SHARE = 1 / 6
ROUNDS = 2000


class StopPlanTest(unittest.TestCase):
    def test_late_request_that_is_taken_ends_before_the_process(self):
        # Guards against limits that fit one grace period only.
        rng = random.Random(9)
        for _ in range(ROUNDS):
            grace_s = rng.uniform(0.5, 60.0)
            plan = StopPlan(100.0, grace_s)
            self.assertLess(plan.ends_at, 100.0 + grace_s)
            self.assertGreaterEqual(
                plan.ends_at, 100.0 + grace_s * (1 - LAST_SHARE)
            )
            received_at = 100.0 + rng.uniform(0.0, grace_s)
            deadline_at = received_at + rng.uniform(0.1, 30.0)
            if received_at > 100.0 + FREE_S:
                taken = plan.may_take(received_at, deadline_at)
                self.assertFalse(taken and deadline_at > plan.ends_at)

    def test_request_that_fits_is_taken_and_sent(self):
        # Guards against a host that turns away what it could serve, and
        # against runs that are known to be cut off.
        plan = StopPlan(100.0, 10.0)
        self.assertTrue(plan.may_take(102.9, 118.0))
        self.assertTrue(plan.may_take(104.0, 109.0))
        self.assertFalse(plan.may_take(104.0, 109.5))
        self.assertFalse(plan.may_take(105.1, 106.0))
        self.assertTrue(plan.may_send(106.0, 3.0, 118.0))
        self.assertFalse(plan.may_send(107.0, 3.0, 118.0))
        self.assertTrue(plan.may_send(107.0, 3.0, 108.0))


class StoppingHostTest(PlatformTestCase):
    configuration = {
        **CONFIGURATION,
        "routes": {
            name: {**route, "timeout_s": 10}
            for name, route in CONFIGURATION["routes"].items()
        },
    }

    async def stop_within(self, grace_s):
        self.host.entry.node.file.bounds.grace_s = grace_s
        self.host.stopping.set()
        await asyncio.sleep(0.1)

    async def check_refused(self, caller):
        """Check that the next answer says that others have to serve."""
        answer = await caller.receive()
        self.assertEqual(answer.status, 503)
        self.assertEqual(json.loads(answer.body)["reason"], "stopping")
        self.assertIn("retry-after", answer.headers)
        self.assertEqual([u.runs for u in self.upstreams], [[], []])

    async def test_late_order_that_may_outlast_the_host_is_refused(self):
        # Guards against orders that run, and are cut off with the process.
        await self.stop_within(8.0)
        await asyncio.sleep(3.2)
        async with Caller(self.host) as caller:
            caller.send("/order/1", "POST", b"x", deadline_ms=10_000)
            await self.check_refused(caller)

    async def test_request_without_a_slot_is_refused_at_the_end(self):
        # Guards against requests that wait, and get no answer at all.
        async with Caller(self.host) as caller:
            with patch.object(SlotClient, "claim", wait_forever):
                caller.send(deadline_ms=10_000)
                await asyncio.sleep(0.1)
                await self.stop_within(2.0)
                await self.check_refused(caller)

    async def test_run_that_is_expected_to_outlast_the_host_is_refused(self):
        # Guards against runs that are sent though they will be cut off.
        async with Caller(self.host) as caller:
            await self.stop_within(0.5)
            caller.send(deadline_ms=10_000)
            await self.check_refused(caller)


async def wait_forever(*_):
    await asyncio.sleep(1000)
