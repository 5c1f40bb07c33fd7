"""Tests of rate limits that several schedulers share."""

import random
import unittest

from radishstile.catalog.catalog import Workspace
from radishstile.workspace.quota import WorkspaceQuotas


def make_quotas(share, rate=100.0, burst=50.0):
    workspace = Workspace("bureau", frozenset(), 1, rate, burst)
    quotas = WorkspaceQuotas()
    quotas.apply_workspaces({"bureau": workspace}, 0.0)
    quotas.resize(share, 0.0)
    return quotas


def spend_all(quotas, now):
    count = 0
    while quotas.take("bureau", now) is None:
        count += 1
    return count


class WorkspaceQuotasTest(unittest.TestCase):
    def test_shares_together_stay_within_the_limit(self):
        instances = [make_quotas(share) for share in (0.5, 0.25, 0.25)]
        spent = sum(
            spend_all(quotas, step / 10)
            for step in range(51)
            for quotas in instances
        )
        self.assertLessEqual(spent, 100 * 5 + 50)

    def test_returns_the_wait_for_the_next_token(self):
        quotas = make_quotas(1.0)
        spend_all(quotas, 0.0)
        self.assertAlmostEqual(quotas.take("bureau", 0.0), 1 / 98, places=2)

    def test_refund_makes_a_token_available(self):
        quotas = make_quotas(1.0)
        spend_all(quotas, 0.0)
        quotas.refund("bureau")
        self.assertIsNone(quotas.take("bureau", 0.0))

    def test_workspace_without_a_limit_is_not_limited(self):
        quotas = make_quotas(1.0)
        for _ in range(1000):
            self.assertIsNone(quotas.take("other", 0.0))

    def test_lending_does_not_create_tokens(self):
        lender, borrower = make_quotas(0.5), make_quotas(0.5)
        spend_all(borrower, 1.0)
        before = spend_all(make_quotas(0.5), 1.0)
        lent = lender.lend("bureau", 10.0, 1.0)
        borrower.add_borrowed("bureau", lent)
        after = spend_all(lender, 1.0) + spend_all(borrower, 1.0)
        self.assertEqual(after, before)

    def test_zero_share_admits_nothing(self):
        self.assertEqual(spend_all(make_quotas(0.0), 1.0), 0)


# The platform's rule: requests of one workspace in any window.
WINDOW_S = 5.0
OVER = 0.1
SLACK = 20.0
STEP_S = 0.05
HOSTS = 113


class Instance:
    """The quotas of one region's leader, which is killed and starts again."""

    def __init__(self, workspace):
        self._workspace = workspace
        self.quotas = None
        self._started_at = 0.0
        self._joined_s = 0.3

    def start(self, now, joined_s):
        self.quotas = WorkspaceQuotas(SLACK)
        self.quotas.apply_workspaces({"bureau": self._workspace}, now)
        self._started_at = now
        self._joined_s = joined_s

    def grow(self, now):
        """Set the share of the hosts that have joined so far."""
        age_s = now - self._started_at
        share = min(1.0, age_s / self._joined_s) / 3
        self.quotas.resize(max(share, 1 / HOSTS), now)


class RestartTest(unittest.TestCase):
    """Load: all leaders restart while one workspace sends ten times its rate.

    What they admitted before is forgotten, so the tokens of a start must fit
    in what the platform allows beside a full burst.
    """

    def run_schedule(self, rate, burst, restarts, joined_s):
        """Return the times of all admitted requests."""
        workspace = Workspace("bureau", frozenset(), 1, rate, burst)
        instances = [Instance(workspace) for _ in range(3)]
        times = []
        for instance in instances:
            instance.start(0.0, joined_s)
        back_at = 0.0
        for step in range(int(30 / STEP_S)):
            now = step * STEP_S
            for down_at, down_s in restarts:
                if down_at <= now < down_at + STEP_S:
                    back_at = now + down_s
            for instance in instances:
                if now < back_at:
                    instance.quotas = None
                    continue
                if instance.quotas is None:
                    instance.start(now, joined_s)
                instance.grow(now)
                times += [now] * spend_all(instance.quotas, now)
        return times

    def check(self, times, rate, burst, case):
        limit = (rate * WINDOW_S + burst) * (1 + OVER) + SLACK
        start = 0
        for end, moment in enumerate(times):
            while times[start] <= moment - WINDOW_S:
                start += 1
            self.assertLessEqual(end - start + 1, limit, case)

    def test_restarts_stay_within_the_platforms_window(self):
        for seed in range(60):
            draw = random.Random(seed)
            rate = draw.choice((2.0, 5.0, 12.0, 34.0, 68.0))
            burst = rate * draw.choice((0.5, 1.0, 2.0))
            at = 10 + draw.random() * 10
            restarts = [
                (at + number * (1.0 + draw.random()), 0.5 + draw.random() / 2)
                for number in range(draw.choice((1, 2)))
            ]
            times = self.run_schedule(rate, burst, restarts, draw.random())
            self.check(times, rate, burst, (seed, rate, burst, restarts))

    def test_a_start_yields_tokens_for_its_first_second(self):
        times = self.run_schedule(34.0, 34.0, [], 0.3)
        first = [moment for moment in times if moment <= 1.0]
        self.assertGreaterEqual(len(first), 34)
