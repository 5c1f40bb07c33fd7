"""Tests of the pace of loans: a herd restart, a lost zone, and at rest."""

import unittest

from radishstile.slot.pace import FREE_S, STEP_SHARE, LoanPace

NEED = 60.0
ROUND_S = 0.5
# Largest part of a region's requests that may change the region where they
# run from one window of two seconds to the next.
SHIFT_MOST = 0.15


class PaceTest(unittest.TestCase):
    def setUp(self):
        self.pace = LoanPace()

    def grow(self, rounds, start, now, target=NEED):
        """Return the size of a loan after some rounds."""
        current = start
        for number in range(rounds):
            at = now + number * ROUND_S
            current = self.pace.step(current, target, NEED, at)
        return current

    def test_after_a_herd_restart_a_region_gets_what_it_needs_at_once(self):
        """A loan of nothing, made while the lender was not known yet."""
        self.pace.note_lead(30.0)
        self.assertEqual(self.grow(1, 0.0, 30.5), NEED)

    def test_a_region_that_loses_a_zone_gets_what_it_needs_at_once(self):
        self.pace.note_lead(0.0)
        self.pace.note_capacity("press", 48.0, 20.0)
        self.pace.note_capacity("press", 24.0, 20.5)
        self.assertEqual(self.grow(1, 0.0, 20.5), NEED)
        self.assertLess(self.grow(1, 0.0, 20.5 + FREE_S), NEED)

    def test_at_rest_few_requests_change_their_region(self):
        self.pace.note_capacity("press", 48.0, 20.0)
        self.pace.note_capacity("press", 47.0, 20.5)
        self.assertEqual(self.grow(1, None, 20.5), NEED)
        moved = self.grow(4, 10.0, 20.5) - 10.0
        self.assertLess(moved / NEED, SHIFT_MOST)
        self.assertAlmostEqual(moved / NEED, 4 * STEP_SHARE)
