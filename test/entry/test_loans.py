"""Tests of how often a leader renews its loans.

Load: all hosts have restarted, and the callers of a region with few upstreams
come back at once. Its leader asked the others for slots only after half a
second, and refused nearly all callers until then.
"""

import asyncio
from types import SimpleNamespace
from unittest import mock

from radishstile.entry.loans import RENEWAL_INTERVAL_S, Loans
from test._common import PausedTestCase

# Time in which a new leader must ask for slots, in seconds: less than the
# callers' shortest retry delay.
FIRST_RENEWAL_S = 0.2


class RenewalTest(PausedTestCase):
    async def asyncSetUp(self):
        await asyncio.sleep(50.0)
        self.leadership = SimpleNamespace(
            is_leading=True, followed_at=self.now
        )
        self.renewed_at = []
        renew = mock.AsyncMock(
            side_effect=lambda: self.renewed_at.append(self.now)
        )
        patch = mock.patch.object(Loans, "_renew", renew)
        patch.start()
        self.addCleanup(patch.stop)
        self.scheduler = SimpleNamespace(share=1.0)
        admission = SimpleNamespace(scheduler=self.scheduler)
        loans = Loans(None, self.leadership, admission)
        task = asyncio.create_task(loans.run())
        self.addCleanup(task.cancel)

    async def test_a_new_leader_asks_for_slots_at_once(self):
        await asyncio.sleep(FIRST_RENEWAL_S)
        self.assertTrue(self.renewed_at)

    async def test_renewals_are_rare_later(self):
        await asyncio.sleep(10.0)
        late = [at for at in self.renewed_at if at > self.now - 5.0]
        self.assertLessEqual(len(late), 5.0 / RENEWAL_INTERVAL_S)

    async def test_a_follower_does_not_ask(self):
        self.leadership.is_leading = False
        await asyncio.sleep(2.0)
        self.assertEqual(self.renewed_at, [])

    async def test_a_leader_of_few_hosts_does_not_ask(self):
        # Guards against loans of a region that are replaced by those of a
        # host that leads itself while it starts.
        self.scheduler.share = 0.5
        await asyncio.sleep(2.0)
        self.assertEqual(self.renewed_at, [])
