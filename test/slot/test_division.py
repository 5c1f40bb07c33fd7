"""Tests of dividing slots among the schedulers of a region.

Load: many hosts of a region are cut off from each other, so that each has a
small share of the slots. Each of them granted a slot of every upstream, which
then ran and queued several times what it has room for.
"""

import unittest
from collections import Counter

from radishstile.slot.division import divide_slots
from test.slot._common import (
    make_claim,
    make_registration,
    make_scheduler,
    submit,
)

HOSTS = 40
UPSTREAMS = 14
SLOTS = 4
REGISTRATIONS = [
    make_registration(f"u{n}", slots=SLOTS) for n in range(UPSTREAMS)
]


class DivisionTest(unittest.TestCase):
    def count_slots(self, shares):
        """Return the slots of each upstream over all hosts."""
        total = Counter()
        for number, share in enumerate(shares):
            total.update(
                divide_slots(REGISTRATIONS, share, f"front-akl-a-{number}")
            )
        return total

    def test_one_scheduler_has_all_slots(self):
        self.assertEqual(set(self.count_slots([1.0]).values()), {SLOTS})

    def test_isolated_hosts_overfill_no_service(self):
        total = self.count_slots([1 / HOSTS] * HOSTS)
        self.assertLessEqual(sum(total.values()), UPSTREAMS * SLOTS)

    def test_isolated_hosts_spread_over_the_upstreams(self):
        total = self.count_slots([1 / HOSTS] * HOSTS)
        self.assertLessEqual(max(total.values()), 2 * SLOTS)
        self.assertEqual(len(total), UPSTREAMS)

    def test_isolated_hosts_beside_a_leader_overfill_no_service(self):
        cut_off = 13
        shares = [(HOSTS - cut_off) / HOSTS] + [1 / HOSTS] * cut_off
        total = self.count_slots(shares)
        self.assertLessEqual(sum(total.values()), UPSTREAMS * SLOTS * 1.1)

    def test_each_host_can_serve_something(self):
        slots = divide_slots(REGISTRATIONS[:2], 1 / HOSTS, "front-akl-a-1")
        self.assertEqual(sum(slots.values()), 1)

    def test_each_host_can_serve_something_of_each_service(self):
        other = make_registration("v")
        other.service = "other"
        slots = divide_slots([*REGISTRATIONS, other], 1 / HOSTS, "front-akl-a")
        self.assertEqual((sum(slots.values()), slots["v"]), (2, 1))

    def test_without_a_share_there_are_no_slots(self):
        slots = divide_slots(REGISTRATIONS, 0.0, "front-akl-a-1")
        self.assertEqual(set(slots.values()), {0})


class SchedulerShareTest(unittest.TestCase):
    def test_isolated_hosts_start_no_more_runs_than_there_are_slots(self):
        started = 0
        for number in range(HOSTS):
            scheduler = make_scheduler(
                *REGISTRATIONS,
                share=1 / HOSTS,
                host=f"front-akl-a-{number}",
            )
            for claim in range(UPSTREAMS):
                submit(scheduler, make_claim(f"c{claim}"))
            started += scheduler.count_running()
        self.assertLessEqual(started, UPSTREAMS * SLOTS)
