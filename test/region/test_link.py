"""Tests of link budgets."""

import math
import unittest

from radishstile.region.link import LinkBudget
from radishstile.region.settings import RegionSettings

MBYTE = 1_000_000


class LinkBudgetTest(unittest.TestCase):
    def setUp(self):
        # 8 Mbit/s are 1 MB/s; half of it is this host's, burst 0.1 s.
        self.budget = LinkBudget(RegionSettings(), 8, 0.5, 0)

    def test_parts_are_paced_at_the_share(self):
        now = 0.0
        for _ in range(100):
            now += self.budget.reserve(50_000, now)
        self.assertAlmostEqual(now, 100 * 50_000 / (MBYTE / 2), delta=0.2)

    def test_senders_at_the_same_time_keep_to_the_rate_together(self):
        waits = [self.budget.reserve(50_000, 0) for _ in range(21)]
        self.assertEqual(waits[0], 0)
        self.assertAlmostEqual(waits[-1], 2.0)

    def test_idle_time_is_not_saved_up(self):
        self.budget.reserve(50_000, 100)
        self.assertAlmostEqual(self.budget.reserve(50_000, 100), 0.1)

    def test_no_share_sends_nothing(self):
        self.budget.apply_rate(8, 0, 0)
        self.assertEqual(self.budget.reserve(1, 0), math.inf)
        self.assertEqual(self.budget.measure_headroom(0), 0)

    def test_headroom_falls_with_use_and_comes_back(self):
        self.assertEqual(self.budget.measure_headroom(0), 1)
        self.budget.reserve(50_000, 0)
        self.assertAlmostEqual(self.budget.measure_headroom(0), 0.9)
        self.budget.reserve(MBYTE, 0)
        self.assertEqual(self.budget.measure_headroom(0), 0)
        self.assertGreater(self.budget.measure_headroom(20), 0.99)
