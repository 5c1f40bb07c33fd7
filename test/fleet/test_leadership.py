"""Tests of the choice of leaders and sources, and of followers' shares."""

import unittest

from radishstile.fleet.leadership import (
    FOLLOW_INTERVAL_S,
    FOLLOWER_TIMEOUT_S,
    FRESH_MAX_AGE_S,
    LEADER_REJECTED_AGE_S,
    PROBE_INTERVAL_S,
    Candidate,
    Followers,
    choose_leader,
    choose_leader_source,
    choose_source,
)


class LeaderTest(unittest.TestCase):
    def test_skips_an_unreachable_host(self):
        candidates = [Candidate("a", False, 0.0), Candidate("b", True, 0.0)]
        self.assertEqual(choose_leader(candidates), "b")

    def test_skips_a_host_that_lost_the_store(self):
        candidates = [Candidate("a", True, 9.0), Candidate("b", True, 1.0)]
        self.assertEqual(choose_leader(candidates), "b")

    def test_the_first_leads_while_the_store_is_down(self):
        candidates = [Candidate("a", True, 9.0), Candidate("b", True, 8.0)]
        self.assertEqual(choose_leader(candidates), "a")


class SourceTest(unittest.TestCase):
    """The leader gets no answers from the store."""

    def choose(self, ages, local_host, leader="a", followed_s=60.0):
        candidates = [
            Candidate(host, True, age_s) for host, age_s in ages.items()
        ]
        return choose_source(candidates, local_host, leader, followed_s)

    def test_hosts_watch_through_a_leader_that_reaches_the_store(self):
        for host in "bc":
            self.assertEqual(
                self.choose({"a": 1.2, "b": 9, "c": 9}, host), "a"
            )

    def test_hosts_probe_the_store_two_at_a_time(self):
        ages = {"a": 1.3, "b": 9, "c": 9, "d": 9}
        self.assertEqual(
            [self.choose(ages, host) for host in "bcd"], ["a"] * 3
        )
        ages["a"] = FRESH_MAX_AGE_S + 0.05
        self.assertEqual(
            [self.choose(ages, host) for host in "bcd"], ["b", "a", "a"]
        )
        ages["a"] += PROBE_INTERVAL_S
        self.assertEqual(
            [self.choose(ages, host) for host in "bcd"], ["b", "c", "d"]
        )

    def test_one_answer_serves_all(self):
        self.assertEqual(self.choose({"a": 2.3, "b": 0.1, "c": 9}, "c"), "b")

    def test_a_new_leader_gets_time_for_its_first_call(self):
        ages = {"a": 9, "b": 9}
        self.assertEqual(self.choose(ages, "b", followed_s=0.5), "a")
        self.assertEqual(self.choose(ages, "b", followed_s=5.0), "b")

    def test_all_learn_of_a_change_within_the_shortest_drain_bound(self):
        # The second and third host are rejected too; the fourth calls, and
        # the others learn of it one heartbeat later.
        self.assertLess(
            FRESH_MAX_AGE_S + PROBE_INTERVAL_S + FOLLOW_INTERVAL_S, 2.5
        )


class LeaderSourceTest(unittest.TestCase):
    """The store rejects some hosts, the leaders of regions first."""

    def choose(self, age_s, local_hosts=(), remote_leaders=()):
        return choose_leader_source(
            Candidate("me", True, age_s),
            [Candidate("me", True, 0.0), *local_hosts],
            list(remote_leaders),
        )

    def test_a_leader_calls_the_store_itself(self):
        self.assertEqual(
            self.choose(0.9, remote_leaders=[Candidate("x", True, 0.1)]), "me"
        )

    def test_a_rejected_leader_watches_through_another_region(self):
        remote_leaders = [Candidate("x", True, 9.0), Candidate("y", True, 0.5)]
        local_hosts = [Candidate("b", True, 0.2)]
        self.assertEqual(self.choose(1.3, local_hosts, remote_leaders), "y")

    def test_it_uses_its_own_region_if_all_leaders_are_rejected(self):
        remote_leaders = [
            Candidate("x", True, 9.0),
            Candidate("y", False, 0.0),
        ]
        self.assertEqual(
            self.choose(3.0, [Candidate("b", True, 0.2)], remote_leaders), "b"
        )

    def test_it_keeps_calling_while_the_store_is_down(self):
        remote_leaders = [Candidate("x", True, 9.0)]
        self.assertEqual(
            self.choose(9.0, [Candidate("b", True, 8.0)], remote_leaders), "me"
        )

    def test_it_changes_source_before_its_followers_do(self):
        # Leaves time for a check, a watch of a peer and a heartbeat.
        self.assertLess(LEADER_REJECTED_AGE_S, FRESH_MAX_AGE_S)


class FollowersTest(unittest.TestCase):
    def test_followers_count_until_their_heartbeats_time_out(self):
        followers = Followers()
        followers.record_heartbeat("a", False, 0.0)
        followers.record_heartbeat("b", False, 1.0)
        self.assertEqual(followers.list_live(1.0), ["a", "b"])
        silent_at = FOLLOWER_TIMEOUT_S + 0.1
        self.assertEqual(followers.list_live(silent_at), ["b"])

    def test_leaving_hosts_count_but_get_no_callers(self):
        followers = Followers()
        followers.record_heartbeat("a", True, 0.0)
        followers.record_heartbeat("b", False, 0.0)
        self.assertEqual(followers.list_serving(0.0), ["b"])
        self.assertEqual(len(followers.list_live(0.0)), 2)
