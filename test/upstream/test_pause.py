"""Tests of the pauses that upstreams ask a host for."""

import unittest

from radishstile.upstream.pause import UpstreamPauses

KEY = ("i-1", 1)


class UpstreamPausesTest(unittest.TestCase):
    def setUp(self):
        self.pauses = UpstreamPauses()
        self.assertTrue(self.pauses.begin(KEY, 2.0, 10.0))

    def test_upstream_is_paused_until_the_end(self):
        self.assertTrue(self.pauses.is_paused(KEY, 11.9))
        self.assertFalse(self.pauses.is_paused(KEY, 12.0))
        self.assertEqual(self.pauses.list_paused(11.9), ["i-1"])
        self.assertEqual(self.pauses.list_paused(12.0), [])

    def test_shorter_pause_ends_none_and_a_longer_one_extends_it(self):
        self.assertFalse(self.pauses.begin(KEY, 0.5, 11.0))
        self.assertTrue(self.pauses.is_paused(KEY, 11.9))
        self.pauses.begin(KEY, 2.0, 11.0)
        self.assertTrue(self.pauses.is_paused(KEY, 12.9))

    def test_other_start_under_the_same_id_is_not_paused(self):
        self.assertFalse(self.pauses.is_paused(("i-1", 2), 11.0))
