"""Tests of the admission of requests on paused time."""

import asyncio
import random

from radishstile.errors import PeerLostError, RefusalError
from radishstile.fleet.allotment import Allotment, Claim, Inquiry
from radishstile.fleet.owner import LimitOwner
from radishstile.outcome import Reason
from radishstile.workspace.admission import RateAdmission, _wait_event
from radishstile.workspace.limiter import RateLimiter
from radishstile.workspace.settings import AdmissionSettings
from test._common import PausedTestCase

ONE_WAY_DELAY_S = 0.055
DEADLINE_S = 60.0
HOLDER = ("entry", 1)
RESOURCE = "rate/press"


class GateTest(PausedTestCase):
    async def asyncSetUp(self):
        self.is_owner_unreachable = False
        self.sent = []
        settings = AdmissionSettings()
        self.limiter = RateLimiter(RESOURCE, HOLDER, settings, self.now)
        self.admission = RateAdmission(settings, self.send_claim)
        self.admission.add("press", self.limiter)
        self.owner = LimitOwner(RESOURCE, 3, 100.0, 10, [HOLDER], self.now)
        self.task = asyncio.create_task(self.admission.run_claims("press"))

    async def asyncTearDown(self):
        self.task.cancel()

    async def send_claim(self, claim):
        self.sent.append(Claim.from_record(claim.to_record()))
        await asyncio.sleep(ONE_WAY_DELAY_S)
        if self.is_owner_unreachable:
            raise PeerLostError("cut off")
        dispatches = self.owner.receive(claim, self.now)
        await asyncio.sleep(ONE_WAY_DELAY_S)
        return [dispatch.message for dispatch in dispatches]

    async def admit(self):
        token = await self.admission.admit("press", self.now + DEADLINE_S)
        self.assertTrue(token.spend(self.now))

    async def expect_refusal(self, deadline_s=DEADLINE_S):
        with self.assertRaises(RefusalError) as caught:
            await self.admission.admit("press", self.now + deadline_s)
        return caught.exception

    async def admit_first(self):
        await self.admit()
        await asyncio.sleep(1)

    async def test_first_request_waits_for_the_owner(self):
        await self.admit()
        self.assertLessEqual(self.now, 1.0)

    async def test_held_tokens_are_spent_without_waiting(self):
        await self.admit_first()
        start = self.now
        for _ in range(3):
            await self.admit()
        self.assertEqual(self.now, start)

    async def test_overload_admits_the_rate_and_refuses_the_rest(self):
        await self.admit_first()
        start = self.now
        tasks = []
        for _ in range(1000):
            tasks.append(asyncio.create_task(self.admit()))
            await asyncio.sleep(0.002)
        results = await asyncio.gather(*tasks, return_exceptions=True)
        refused = [item for item in results if item is not None]
        admitted = len(results) - len(refused)
        self.assertLessEqual(admitted, (self.now - start) * 100 + 10)
        self.assertGreaterEqual(admitted, 2.0 * 100 * 0.95)
        self.assertEqual({e.reason for e in refused}, {Reason.RATE_EXCEEDED})
        self.assertTrue(all(e.retry_after > 0 for e in refused))

    async def test_overload_refuses_within_the_short_wait_limit(self):
        await self.admit_first()
        tasks = []
        for _ in range(400):
            tasks.append(asyncio.create_task(self.admit()))
            await asyncio.sleep(0.002)
        start = self.now
        await self.expect_refusal()
        self.assertLessEqual(self.now - start, 0.25)
        await asyncio.gather(*tasks, return_exceptions=True)

    async def test_wait_below_the_clock_resolution_lets_time_pass(self):
        event = asyncio.Event()
        start = self.now
        await _wait_event(event, 1e-12)
        self.assertGreaterEqual(self.now - start, 0.001)

    async def test_held_tokens_last_while_the_owner_is_unreachable(self):
        await self.admit_first()
        self.is_owner_unreachable = True
        for _ in range(300):
            await self.admit()
            await asyncio.sleep(0.02)

    async def test_unreachable_owner_refuses_as_overloaded(self):
        self.is_owner_unreachable = True
        error = await self.expect_refusal()
        self.assertEqual(error.reason, Reason.OVERLOADED)
        self.assertAlmostEqual(self.now, 1.0)

    async def test_deadline_before_the_wait_limit_is_the_reason(self):
        self.is_owner_unreachable = True
        error = await self.expect_refusal(deadline_s=0.3)
        self.assertEqual(error.reason, Reason.DEADLINE)
        self.assertAlmostEqual(self.now, 0.3)

    async def test_idle_host_returns_its_rate_and_tokens(self):
        await self.admit_first()
        await asyncio.sleep(10)
        self.assertEqual(self.limiter.holding.rate, 0)
        self.assertAlmostEqual(self.owner.pool.rate_per_s, 100)
        self.assertGreater(self.owner.pool.level, 9)

    async def test_idle_queue_sends_no_claims(self):
        await self.admit_first()
        await asyncio.sleep(10)
        count = len(self.sent)
        await asyncio.sleep(3600)
        self.assertEqual(len(self.sent), count)

    async def test_pushed_inquiry_is_answered_at_once(self):
        await self.admit_first()
        self.admission.accept("press", Inquiry(RESOURCE, 9))
        await asyncio.sleep(0.01)
        self.assertEqual(self.sent[-1].epoch, 9)
        self.assertGreater(self.sent[-1].burst, 0)

    async def test_repeated_inquiry_is_answered_if_the_claim_was_lost(self):
        """Guards against a new owner that waits for an idle host forever.

        The host hears the inquiry before it knows the owner, so its only
        claim fails.
        """
        self.is_owner_unreachable = True
        self.admission.accept("press", Inquiry(RESOURCE, 3))
        await asyncio.sleep(1)
        self.is_owner_unreachable = False
        self.admission.accept("press", Inquiry(RESOURCE, 3))
        await asyncio.sleep(1)
        self.assertTrue(self.owner.is_open)

    async def test_inquiry_of_an_older_owner_is_not_answered(self):
        await self.admit_first()
        count = len(self.sent)
        self.admission.accept("press", Inquiry(RESOURCE, 2))
        await asyncio.sleep(0.01)
        self.assertEqual(len(self.sent), count)


class LimiterTest(PausedTestCase):
    async def asyncSetUp(self):
        self.limiter = self.make_limiter()

    def make_limiter(self, is_registered=True):
        settings = AdmissionSettings()
        limiter = RateLimiter(RESOURCE, HOLDER, settings, 0.0, is_registered)
        limiter.adopt(1, 0.0)
        return limiter

    def allot(self, limiter, number, now=0.0, **amounts):
        amounts = {"rate": 0.0, "burst": 0} | amounts
        allotment = Allotment(RESOURCE, 1, number, **amounts)
        record = allotment.to_record()
        return limiter.apply(Allotment.from_record(record), now)

    async def test_new_bucket_has_only_transferred_tokens(self):
        self.allot(self.limiter, 1, rate=10.0, burst=5, level=1.0)
        self.assertIsNotNone(self.limiter.reserve(0.0))
        self.assertIsNone(self.limiter.reserve(0.0))
        self.assertAlmostEqual(self.limiter.time_until_available(0.0), 0.1)

    async def claim_demand(self, limiter, arrivals):
        for at in arrivals:
            limiter.record_arrival(at)
        return limiter.make_claim(arrivals[-1]).demand

    async def test_claimed_demand_is_steady_and_follows_a_change(self):
        draw = random.Random(1)
        now = 0.0
        arrivals = []
        while now < 60:
            now += draw.expovariate(50.0)
            arrivals.append(now)
        for seconds in (20, 30, 40, 50, 60):
            limiter = self.make_limiter()
            part = [at for at in arrivals if at < seconds]
            demand = await self.claim_demand(limiter, part)
            self.assertAlmostEqual(demand, 50, delta=50 * 0.1)
        burst = [60 + number / 500 for number in range(250)]
        limiter = self.make_limiter()
        demand = await self.claim_demand(limiter, arrivals + burst)
        self.assertGreater(demand, 100)

    async def test_short_queue_is_served_without_a_claim(self):
        self.allot(self.limiter, 1, rate=100.0, burst=5)
        self.limiter.make_claim(0.0)
        self.limiter.record_waiting(2)
        self.assertGreater(self.limiter.claim_due_at(0.0), 0.5)
        self.limiter.record_waiting(50)
        self.assertLess(self.limiter.claim_due_at(0.0), 0.05)

    async def test_host_without_a_burst_waits_under_overload(self):
        for burst, is_futile in ((0, False), (1, True)):
            limiter = self.make_limiter()
            self.allot(limiter, 1, rate=1.0, burst=burst, is_exhausted=True)
            limiter.record_waiting(5)
            self.assertEqual(limiter.is_wait_futile(0.0), is_futile)

    async def test_tokens_are_applied_once_for_each_number(self):
        for _ in range(3):
            self.allot(self.limiter, 1, burst=5, level=1.0)
        self.assertEqual(self.limiter.bucket.level, 1.0)

    async def test_reserved_tokens_count_against_the_burst(self):
        self.allot(self.limiter, 1, rate=10.0, burst=5, level=5.0)
        queue = [self.limiter.reserve(0.0) for _ in range(5)]
        self.assertIsNone(self.limiter.reserve(60.0))
        for reservation in queue:
            self.assertTrue(reservation.spend(60.0))
        self.assertIsNone(self.limiter.reserve(60.0))

    async def test_tokens_to_spend_at_once_are_not_kept(self):
        self.limiter.record_waiting(2)
        self.allot(self.limiter, 1, at_once=5)
        self.assertIsNotNone(self.limiter.reserve(0.0))
        self.limiter.record_waiting(-2)
        self.assertIsNone(self.limiter.reserve(0.0))

    async def test_recalled_tokens_are_claimed_as_borrowed(self):
        self.allot(self.limiter, 1, burst=5, level=5.0)
        tokens = [self.limiter.reserve(0.0) for _ in range(3)]
        self.allot(self.limiter, 2, burst=1)
        claim = self.limiter.make_claim(0.0)
        self.assertEqual((claim.burst, claim.borrowed), (1, 2))
        self.assertAlmostEqual(claim.returned, 2.0)
        self.assertTrue(all(token.spend(1.0) for token in tokens))
        self.assertEqual(self.limiter.make_claim(1.0).borrowed, 0)

    async def test_reservation_is_spent_or_cancelled_once(self):
        self.allot(self.limiter, 1, burst=2, level=2.0)
        spent, kept = [self.limiter.reserve(0.0) for _ in range(2)]
        self.assertTrue(spent.spend(0.0))
        spent.cancel(0.0)
        self.assertFalse(spent.spend(0.0))
        kept.cancel(0.0)
        kept.cancel(0.0)
        self.assertEqual(self.limiter.bucket.level, 1.0)
        self.assertEqual(self.limiter.bucket.reserved, 0)

    async def test_unregistered_host_loses_borrowed_tokens(self):
        for act in ("wait", "new epoch"):
            with self.subTest(act):
                limiter = self.make_limiter(is_registered=False)
                limiter.record_waiting(1)
                self.allot(limiter, 1, at_once=1)
                token = limiter.reserve(0.0)
                if act == "new epoch":
                    limiter.adopt(2, 0.0)
                self.assertFalse(token.spend(5.0 if act == "wait" else 0.0))
                self.assertEqual(limiter.borrowed, 0)
