"""Tests of upstreams that say in their answers that they leave."""

import unittest

from radishstile.upstream.departure import (
    DEPARTED_LIMIT,
    DepartedUpstreams,
    LeavingReport,
)
from radishstile.upstream.registration import (
    Readiness,
    Registration,
    UpstreamRegistry,
)


def make_registration(born=1, name="i-1"):
    return Registration(
        name, "s", "10.0.0.1", 80, "a", "r", 4, Readiness.READY, 0, born, 0
    )


class LeavingUpstreamTest(unittest.TestCase):
    def setUp(self):
        self.registry = UpstreamRegistry()
        self.registry.add(make_registration())
        self.assertTrue(self.registry.record_leaving(LeavingReport("i-1", 1)))

    def is_usable(self):
        return self.registry.find_usable("i-1") is not None

    def test_leaving_upstream_is_not_usable_though_it_is_ready(self):
        self.assertFalse(self.is_usable())
        self.registry.replace_all([make_registration()])
        self.assertFalse(self.is_usable())
        self.assertEqual(self.registry.list_usable(), [])

    def test_later_start_under_the_same_id_is_usable(self):
        self.registry.add(make_registration(born=2))
        self.assertTrue(self.is_usable())
        self.assertEqual(self.registry.list_leaving(), [])

    def test_upstream_without_a_start_is_forgotten_with_its_entry(self):
        self.registry.add(make_registration(born=0))
        self.registry.record_leaving(LeavingReport("i-1", 0))
        self.assertFalse(self.is_usable())
        self.registry.remove("i-1")
        self.registry.add(make_registration(born=0))
        self.assertTrue(self.is_usable())

    def test_memory_is_bounded(self):
        departed = DepartedUpstreams()
        for number in range(DEPARTED_LIMIT + 1):
            departed.record(LeavingReport(f"i-{number}", 1))
        self.assertFalse(departed.has(("i-0", 1)))
        self.assertTrue(departed.has(("i-1", 1)))
