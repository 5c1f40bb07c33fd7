"""Tests that a host cut off from the store rejects revoked keys in time."""

import unittest

from radishstile.catalog.freshness import ERA_SETTLE_S, Freshness


class FreshnessTest(unittest.TestCase):
    def test_accepts_no_keys_before_a_confirmation(self):
        self.assertFalse(Freshness(5.0).accepts_keys(0.0))

    def test_rejects_keys_before_the_revocation_limit(self):
        freshness = Freshness(5.0)
        freshness.confirm(100.0)
        self.assertTrue(freshness.accepts_keys(103.0))
        self.assertFalse(freshness.accepts_keys(104.1))

    def test_older_confirmation_changes_nothing(self):
        freshness = Freshness(5.0)
        freshness.confirm(100.0)
        freshness.confirm(90.0)
        self.assertEqual(freshness.measure_age(101.0), 1.0)

    def test_store_confirms_nothing_just_after_it_was_restored(self):
        # Guards against a revoked key that is accepted since the backup lacks
        # the revocation, until the operator writes it again.
        freshness = Freshness(5.0)
        freshness.begin_era(100.0)
        freshness.confirm_by_store(100.0 + ERA_SETTLE_S / 2)
        self.assertFalse(freshness.accepts_keys(101.0))
        freshness.confirm_by_store(100.0 + ERA_SETTLE_S)
        self.assertTrue(freshness.accepts_keys(102.0))
