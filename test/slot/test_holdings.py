"""Tests of slots that other hosts hold."""

import random
import unittest

from radishstile.slot.holdings import RECONNECT_TIMEOUT_S, Holding, Holdings

DEADLINE_S = 3.0
STEP_S = 0.05


class Host:
    """A holder: runs requests, loses connections and processes."""

    def __init__(self, name):
        self.name = name
        self.incarnation = 1
        self.connection = object()
        # End of each run at the upstream, by claim.
        self.runs = {}
        # Holdings that were not freed or reported yet, by claim.
        self.open = {}
        self.is_offline = False
        self.back_at = 0.0


class RandomScheduleTest(unittest.TestCase):
    """Hosts claim, report, fall silent, are reset, killed and come back.

    Guards against slots that are granted again while their request runs, and
    against slots that stay occupied after it.
    """

    def setUp(self):
        self.holdings = Holdings()
        self.freed = []

    def claim(self, host, now, rng):
        claim_id = f"{host.name}-{now:.2f}-{rng.random()}"
        ends_at = now + rng.uniform(0.1, DEADLINE_S)
        holding = Holding(
            host.name,
            host.incarnation,
            claim_id,
            host.connection,
            None,
            now + DEADLINE_S,
        )
        self.holdings.add(holding)
        host.runs[claim_id] = ends_at
        host.open[claim_id] = holding

    def lose_connection(self, host, is_silent, now, down_s):
        host.is_offline = True
        host.back_at = now + down_s
        for holding in host.open.values():
            if not holding.is_lost:
                self.holdings.lose(holding, is_silent, now)

    def reconnect(self, host):
        host.connection = object()
        ended = self.holdings.resume(
            host.name, host.incarnation, host.connection, set(host.runs)
        )
        self.freed += [(host, holding) for holding in ended]

    def play(self, seed):
        rng = random.Random(seed)
        hosts = [Host(f"h{n}") for n in range(4)]
        by_name = {host.name: host for host in hosts}
        for step in range(int(60 / STEP_S)):
            now = step * STEP_S
            for host in hosts:
                self.end_runs(host, now, rng)
                self.step(host, now, rng)
            for holding in self.holdings.take_expired(now):
                self.freed.append((by_name[holding.host], holding))
            for host, holding in self.freed:
                self.assertNotIn(holding.claim_id, host.runs, seed)
                host.open.pop(holding.claim_id, None)
            self.freed.clear()
            self.check_none_stays(hosts, now, seed)

    def end_runs(self, host, now, rng):
        """End the runs that are due; some reports are lost."""
        for claim_id, ends_at in list(host.runs.items()):
            if ends_at > now:
                continue
            del host.runs[claim_id]
            if host.back_at <= now and rng.random() < 0.9:
                host.open.pop(claim_id, None)
                self.holdings.remove(host.name, claim_id)

    def step(self, host, now, rng):
        if host.is_offline:
            if now >= host.back_at:
                host.is_offline = False
                self.reconnect(host)
            return
        draw = rng.random()
        if draw < 0.3:
            self.claim(host, now, rng)
        elif draw < 0.31:
            # Silent for a while, or reset and connected again.
            is_silent = rng.random() < 0.5
            down_s = rng.uniform(0, 8) if is_silent else 0.2
            self.lose_connection(host, is_silent, now, down_s)
        elif draw < 0.315:
            # The process is killed: its requests end with it.
            host.runs.clear()
            is_silent = rng.random() < 0.5
            self.lose_connection(host, is_silent, now, rng.uniform(1, 6))
            host.incarnation += 1

    def check_none_stays(self, hosts, now, seed):
        for host in hosts:
            for holding in host.open.values():
                if holding.is_lost:
                    limit = holding.deadline_at + 0.5
                    self.assertLess(now, limit, seed)

    def test_slots_are_free_when_their_requests_have_ended(self):
        for seed in range(30):
            self.setUp()
            self.play(seed)


class HoldingsTest(unittest.TestCase):
    def test_new_process_of_a_host_frees_its_slots(self):
        # Guards against slots of a restarted host held to the deadline.
        holdings = Holdings()
        holding = Holding("a", 1, "c", object(), None, 10.0)
        holdings.add(holding)
        self.assertEqual(holdings.resume("a", 2, object(), {"c"}), [holding])

    def test_claims_of_the_new_connection_stay(self):
        # Guards against a claim that is freed as it came after the list.
        holdings = Holdings()
        connection = object()
        holdings.add(Holding("a", 1, "c", connection, None, 10.0))
        self.assertEqual(holdings.resume("a", 1, connection, set()), [])

    def test_close_limits_a_slot_to_the_time_of_a_reconnect(self):
        holdings = Holdings()
        holding = Holding("a", 1, "c", object(), None, 10.0)
        holdings.add(holding)
        holdings.lose(holding, False, 1.0)
        self.assertEqual(holdings.count_lost(), 1)
        self.assertEqual(holdings.take_expired(1.4), [])
        expired = holdings.take_expired(1.0 + RECONNECT_TIMEOUT_S)
        self.assertEqual(expired, [holding])


if __name__ == "__main__":
    unittest.main()
