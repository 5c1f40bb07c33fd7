"""Tests of admission: charges to workspaces' rates, and slots given back."""

import asyncio
import random
from types import SimpleNamespace
from unittest.mock import MagicMock

from radishstile.catalog.catalog import Service, Workspace
from radishstile.entry.admission import AdmissionController, ClaimTerms
from radishstile.entry.node import STARTUP_WAIT_S
from radishstile.errors import RefusalError
from radishstile.outcome import Reason
from radishstile.slot.claim import Ending
from test._common import PausedTestCase
from test.slot._common import SERVICE, make_claim, make_registration

REGISTERED_HOSTS = 113
REGION_SHARE = 1 / 3
# A tenth of the burst, a quarter of the allowance, and half a second's rate.
START_TOKENS = 3.4 + 5.0 + 17.0
SLOTS = 3
SEEDS = 50
STEPS = 120


class StubNode:
    """A node that started when the loop's clock was at zero."""

    def __init__(self, clock, slots=50):
        workspace = Workspace("bureau", frozenset(), 1, 34.0, 34.0)
        self._clock = clock
        self.local_member = SimpleNamespace(host="front-akl-a-1", region="akl")
        self.changed = asyncio.Event()
        self.file = SimpleNamespace(
            bounds=SimpleNamespace(quota_slack=20.0), shares_slots=False
        )
        self.catalog = SimpleNamespace(
            version=1,
            services={SERVICE: Service(SERVICE, 3.0, 8.0)},
            workspaces={"bureau": workspace},
        )
        self.registry = SimpleNamespace(
            list_usable=lambda: [make_registration("u", slots=slots)]
        )
        self.metrics = MagicMock()

        self.initialized = asyncio.Event()
        self.initialized.set()

    def measure_uptime(self):
        return self._clock.time()

    async def wait_initialized(self):
        await self.initialized.wait()


class RestartTest(PausedTestCase):
    """Load: all hosts restart at once, and their callers come back.

    A leader's share of the rates is tiny until its followers have found it.
    With a share of 1 in 113 it refused most requests of the first seconds as
    above their workspace's rate, which used up the callers' only retry.
    """

    async def asyncSetUp(self):
        self.node = StubNode(asyncio.get_running_loop())
        self.admission = AdmissionController(self.node)
        self.admission.resize(1 / REGISTERED_HOSTS, 1 / REGISTERED_HOSTS)
        self.admission.refresh()
        self.count = 0

    def claim(self):
        self.count += 1
        claim = make_claim(f"c{self.count}", now=self.now, workspace="bureau")
        terms = ClaimTerms(True, 0.5)
        return asyncio.create_task(self.admission.acquire(claim, terms))

    async def test_claims_wait_until_the_followers_have_joined(self):
        claims = [self.claim() for _ in range(6)]
        await asyncio.sleep(0.4)
        self.assertFalse(any(claim.done() for claim in claims))
        self.admission.resize(1.0, REGION_SHARE)
        await asyncio.sleep(0.05)
        self.assertTrue(all(claim.done() for claim in claims))
        for claim in claims:
            self.assertEqual(claim.result().upstream_id, "u")

    async def test_claims_wait_until_the_leader_knows_the_upstreams(self):
        self.node.initialized.clear()
        self.admission.resize(1.0, REGION_SHARE)
        claim = self.claim()
        await asyncio.sleep(0.3)
        self.assertFalse(claim.done())
        self.node.initialized.set()
        await asyncio.sleep(0.01)
        self.assertEqual(claim.result().upstream_id, "u")

    async def test_wait_ends_when_the_start_is_over(self):
        claims = [self.claim() for _ in range(6)]
        await asyncio.sleep(STARTUP_WAIT_S + 0.05)
        refused = [claim for claim in claims if claim.exception()]
        self.assertGreaterEqual(len(refused), 5)
        reason = refused[0].exception().reason
        self.assertIs(reason, Reason.RATE_EXCEEDED)

    async def test_later_claims_above_the_rate_are_refused_at_once(self):
        await asyncio.sleep(3.0)
        claims = [self.claim() for _ in range(6)]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertGreaterEqual(sum(claim.done() for claim in claims), 5)
        for claim in claims:
            claim.cancel()
            try:
                await claim
            except (RefusalError, asyncio.CancelledError):
                continue

    async def test_cancelled_claim_spends_no_token(self):
        claim = self.claim()
        await asyncio.sleep(0.1)
        claim.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await claim
        self.admission.resize(1.0, REGION_SHARE)
        count = 0
        while self.admission.quotas.take("bureau", self.now) is None:
            count += 1
        self.assertEqual(count, int(REGION_SHARE * START_TOKENS))


class EndedLoanTest(PausedTestCase):
    """A borrower was lost, and its slots are taken back."""

    # The grants were not delivered: the claims waited until their deadlines,
    # and their slots stayed occupied for good.
    async def test_claims_that_wait_get_the_slots_taken_back(self):
        admission = AdmissionController(
            StubNode(asyncio.get_running_loop()),
        )
        admission.resize(1.0, 1.0)
        admission.refresh()
        admission.scheduler.loans.lend(SERVICE, "wlg", 49, self.now)
        claims = [self.claim(admission, f"c{n}") for n in range(2)]
        await asyncio.sleep(0)
        self.assertEqual(admission.scheduler.count_waiting(), 1)
        admission.end_loan("wlg")
        await asyncio.sleep(0.1)
        self.assertTrue(all(claim.done() for claim in claims))

    def claim(self, admission, name):
        claim = make_claim(name, now=self.now)
        claim.objective_at = self.now + 2.0
        terms = ClaimTerms(False, 0.5)
        return asyncio.create_task(admission.acquire(claim, terms))


class CancelledClaimTest(PausedTestCase):
    """Load: callers leave while their claims wait for slots."""

    async def asyncSetUp(self):
        self.admission = AdmissionController(
            StubNode(asyncio.get_running_loop(), SLOTS)
        )
        self.admission.resize(1.0, 1.0)
        self.admission.refresh()
        self.tasks = {}
        self.granted = {}

    def start_claim(self, name):
        claim = make_claim(name, now=self.now)
        claim.objective_at = claim.deadline_at = self.now + 60.0
        self.tasks[name] = asyncio.create_task(self.hold(claim))

    async def hold(self, claim):
        terms = ClaimTerms(False, 0.5)
        grant = await self.admission.acquire(claim, terms)
        self.granted[claim.claim_id] = claim, grant

    def release(self, name):
        claim, grant = self.granted.pop(name)
        self.admission.release(claim, grant, Ending.SERVED, 0.1)

    async def check_all_free(self):
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)
        for name in list(self.granted):
            self.release(name)
        scheduler = self.admission.scheduler
        self.assertEqual(scheduler.count_running(), 0)
        self.assertEqual(scheduler.count_waiting(), 0)
        for number in range(SLOTS):
            self.start_claim(f"last-{number}")
        await asyncio.sleep(0.01)
        self.assertEqual(len(self.granted), SLOTS)

    async def test_slot_granted_to_a_cancelled_claim_is_given_back(self):
        # Guards against slots that stay occupied for good: the claim's task
        # runs only after the slot was granted to it.
        for number in range(SLOTS + 1):
            self.start_claim(f"c{number}")
        await asyncio.sleep(0.01)
        self.tasks[f"c{SLOTS}"].cancel()
        self.release("c0")
        await self.check_all_free()

    async def test_slot_without_a_holder_is_released_at_the_second_check(self):
        # Guards against slots that any other fault leaves occupied, and
        # against the release of those in use.
        for number in range(2):
            self.start_claim(f"c{number}")
        await asyncio.sleep(0.01)
        self.admission._granted.discard("c0")
        del self.granted["c0"]
        for left in (2, 1, 1):
            self.admission.reconcile()
            self.assertEqual(self.admission.scheduler.count_running(), left)
        await self.check_all_free()

    async def test_all_slots_are_free_after_random_grants_and_cancels(self):
        for seed in range(SEEDS):
            with self.subTest(seed):
                await self.asyncSetUp()
                await self.play(random.Random(seed))
                await self.check_all_free()

    async def play(self, rng):
        for step in range(STEPS):
            for _ in range(rng.randrange(3)):
                self.start_claim(f"{step}-{rng.randrange(10**9)}")
            for name in rng.sample(sorted(self.granted), len(self.granted)):
                if rng.random() < 0.4:
                    self.release(name)
            for task in self.tasks.values():
                if rng.random() < 0.1:
                    task.cancel()
            for name in sorted(self.granted)[: rng.randrange(2)]:
                self.release(name)
            if rng.random() < 0.7:
                await asyncio.sleep(rng.choice((0, 0, 0.01)))
        for task in self.tasks.values():
            task.cancel()
