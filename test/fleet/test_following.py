"""Tests of leads: shares add up, and a lost lead is replaced."""

import random
import unittest

from radishstile.fleet.following import (
    FOLLOWER_S,
    Candidate,
    Followers,
    choose_lead,
    order_candidates,
)
from radishstile.member import Member


def make_member(name, incarnation):
    return Member(name, incarnation, "akl-a", "akl", "127.0.0.1", 1, 2)


class LeadTest(unittest.TestCase):
    def test_the_longest_lived_comes_first(self):
        members = [make_member("a", 9), make_member("b", 3)]
        names = [m.host for m in order_candidates(members)]
        self.assertEqual(names, ["b", "a"])

    def test_passes_over_the_unreachable(self):
        candidates = [Candidate("a", False, 0.0), Candidate("b", True, 0.0)]
        self.assertEqual(choose_lead(candidates), "b")

    def test_passes_over_one_that_lost_the_store(self):
        candidates = [Candidate("a", True, 9.0), Candidate("b", True, 1.0)]
        self.assertEqual(choose_lead(candidates), "b")

    def test_the_first_goes_on_where_the_store_is_out_for_all(self):
        candidates = [Candidate("a", True, 9.0), Candidate("b", True, 8.0)]
        self.assertEqual(choose_lead(candidates), "a")


class ShareTest(unittest.TestCase):
    def test_followers_count_until_they_fall_silent(self):
        followers = Followers()
        followers.hear("a", False, 0.0)
        followers.hear("b", False, 1.0)
        self.assertEqual(followers.measure_share(4, 1.0), 0.5)
        silent_at = FOLLOWER_S + 0.1
        self.assertEqual(followers.measure_share(4, silent_at), 0.25)

    def test_leaving_hosts_count_but_get_no_callers(self):
        followers = Followers()
        followers.hear("a", True, 0.0)
        followers.hear("b", False, 0.0)
        self.assertEqual(followers.list_serving(0.0), ["b"])
        self.assertEqual(len(followers.list_live(0.0)), 2)

    def test_more_followers_than_registered_hosts_are_no_more_than_all(self):
        followers = Followers()
        for name in "abc":
            followers.hear(name, False, 0.0)
        self.assertEqual(followers.measure_share(1, 0.0), 1.0)

    def test_shares_add_up_whoever_reaches_whom(self):
        names = "abcdefgh"
        for seed in range(200):
            rng = random.Random(seed)
            leads = {name: Followers() for name in names}
            for name in names:
                reach = [n for n in names if n == name or rng.random() < 0.5]
                leads[min(reach)].hear(name, False, 0.0)
            shares = [lead.measure_share(8, 0.0) for lead in leads.values()]
            self.assertAlmostEqual(sum(shares), 1.0, msg=f"seed {seed}")
