"""Tests how fast all hosts learn of a change while the store rejects some.

A model of three regions in time steps, with the real choice of leaders and
sources. A rejected host, leader or not, gets no answer from the store.
"""

import random
import unittest

from radishstile.entry.replica import URGENT_CHECK_INTERVAL_S
from radishstile.fleet.leadership import (
    FOLLOW_INTERVAL_S,
    Candidate,
    Contact,
    FreshHosts,
    choose_dialled_hosts,
    choose_heartbeat_interval,
    choose_leader,
    choose_leader_source,
    choose_source,
)

STEP_S = 0.05
# Interval of a leader's answers from the store, in seconds.
WATCH_S = 0.8
# Duration of a call to a slow store from a region far away, in seconds.
SLOW_CALL_S = 0.35
# Seeds at which it took longest to learn of a change from such a store.
SLOW_SEEDS = (768, 1298)
# Message delay between regions, in seconds; none within a region.
REGION_DELAY_S = 0.1
REGIONS = ("akl", "wlg", "chc")
HOSTS = 8
# Limit for applying a configuration and learning of a leaving upstream.
LIMIT_S = 2.5
# Time before the first event, for the model to settle, in seconds.
WARMUP_S = 4.0


class SimulatedHost:
    """State of one host; times are of the model's clock."""

    def __init__(self, region, number, phase_s):
        self.name = f"{region}-{number}"
        self.region = region
        self.leader = f"{region}-0"
        self.followed_at = 0.0
        self.source = self.leader
        self.version = 0
        self.store_answered_at = self.store_data_at = float("-inf")
        # Time of each peer's store data and its leader, from its last
        # heartbeat.
        self.peer_data_at = {}
        self.peer_leaders = {}
        self.fresh_hosts = FreshHosts()
        # When the store answers the call that is under way.
        self.answer_at = None
        self.next_call_at = self.next_heartbeat_at = self.next_check_at = (
            phase_s
        )
        self.learned_at = None


class PropagationModel:
    """All hosts; the store's version is 1 from `changed_at` on."""

    def __init__(
        self,
        seed,
        rejected,
        changed_at,
        rejected_from,
        region_hosts=HOSTS,
        call_s=0.0,
    ):
        self.call_s = call_s
        draw = random.Random(seed)
        self.hosts = {}
        self.region_hosts = region_hosts
        for region in REGIONS:
            for number in range(region_hosts):
                host = SimulatedHost(
                    region, number, draw.uniform(0, FOLLOW_INTERVAL_S)
                )
                self.hosts[host.name] = host
        self.rejected = rejected
        self.changed_at = changed_at
        self.rejected_from = rejected_from

    def run(self, seconds):
        now = 0.0
        while now < seconds:
            for host in self.hosts.values():
                self.step(host, now)
            now += STEP_S

    def step(self, host, now):
        if now >= host.next_heartbeat_at:
            host.next_heartbeat_at += choose_heartbeat_interval(
                self.measure_data_age(host, now)
            )
            connected = self.list_connected(host, now)
            for name in connected:
                self.hosts[name].fresh_hosts.record(
                    host.name, now - host.store_data_at, now
                )
            host.peer_data_at = {
                name: self.hosts[name].store_data_at for name in connected
            }
            host.peer_leaders = {
                name: self.hosts[name].leader for name in connected
            }
        if now >= host.next_check_at:
            host.next_check_at += URGENT_CHECK_INTERVAL_S
            self.choose_source(host, now)
        if host.source == host.name:
            self.call_store(host, now)
        else:
            self.watch_peer(host, self.hosts[host.source], now)

    def measure_data_age(self, host, now):
        """Return the age of the leader's store data, as the host sees it."""
        if host.leader == host.name:
            return now - host.store_data_at
        return now - host.peer_data_at.get(host.leader, float("-inf"))

    def list_connected(self, host, now):
        local_hosts = self.list_region(host.region)
        local_hosts.remove(host.name)
        contacts = {
            name: Contact(False, leader)
            for name, leader in host.peer_leaders.items()
            if name in local_hosts
        }
        names = choose_dialled_hosts(
            local_hosts,
            contacts,
            host.fresh_hosts.find_first(local_hosts, now),
        )
        if host.leader == host.name:
            names += [f"{r}-{n}" for r in REGIONS for n in (0, 1)]
            names += map(self.find_leader, REGIONS)
        return {name for name in names if name != host.name}

    def list_region(self, region):
        return [f"{region}-{n}" for n in range(self.region_hosts)]

    def choose_source(self, host, now):
        local_hosts = [
            self.describe(host, name, now)
            for name in self.list_region(host.region)
        ]
        leader = choose_leader(local_hosts)
        if leader != host.leader:
            host.leader, host.followed_at = leader, now
        if leader == host.name:
            remote_leaders = [
                self.describe(host, self.find_leader(region), now)
                for region in REGIONS
                if region != host.region
            ]
            local = Candidate(host.name, True, now - host.store_answered_at)
            host.source = choose_leader_source(
                local, local_hosts, remote_leaders
            )
            return
        followed_s = now - host.followed_at
        host.source = choose_source(local_hosts, host.name, leader, followed_s)

    def find_leader(self, region):
        return self.hosts[f"{region}-0"].leader

    def describe(self, host, name, now):
        if name == host.name:
            return Candidate(name, True, now - host.store_data_at)
        if name not in host.peer_data_at:
            return Candidate(name, False, 0.0)
        return Candidate(name, True, now - host.peer_data_at[name])

    def call_store(self, host, now):
        """Get an answer every `WATCH_S`, and at once after a change."""
        if host.name in self.rejected and now >= self.rejected_from:
            return
        has_changed = now >= self.changed_at and not host.version
        is_lost = now - host.store_answered_at > WATCH_S + REGION_DELAY_S
        if host.answer_at is None and (
            has_changed or is_lost or now >= host.next_call_at
        ):
            host.answer_at = now + self.call_s
        if host.answer_at is not None and now >= host.answer_at:
            host.answer_at = None
            host.next_call_at = now + WATCH_S
            host.store_answered_at = host.store_data_at = now
            self.learn(host, int(now >= self.changed_at), now)

    def watch_peer(self, host, source, now):
        """Watch the store through a peer, which reports changes at once."""
        delay_s = REGION_DELAY_S if source.region != host.region else STEP_S
        if source.version and now >= source.learned_at + delay_s:
            self.learn(host, source.version, now)
        if host.leader == host.name:
            host.store_data_at = max(
                host.store_data_at,
                host.peer_data_at.get(source.name, float("-inf")),
            )

    def learn(self, host, version, now):
        if version > host.version:
            host.version, host.learned_at = version, now

    def find_latest(self):
        """Return when the last host not rejected learned of the change."""
        times = [
            host.learned_at
            for host in self.hosts.values()
            if host.name not in self.rejected
        ]
        return max(float("inf") if t is None else t for t in times)


class PropagationTest(unittest.TestCase):
    def measure(self, seed, rejected, call_s=0.0):
        draw = random.Random(f"when {seed}")
        rejected_from = WARMUP_S + draw.uniform(0, 1)
        changed_at = rejected_from + draw.uniform(0, 4)
        model = PropagationModel(
            seed, rejected, changed_at, rejected_from, call_s=call_s
        )
        model.run(changed_at + LIMIT_S + 1)
        return model.find_latest() - changed_at

    def draw_hosts(self, seed, leaders):
        """Return a third of the hosts, including `leaders` leaders."""
        draw = random.Random(seed)
        names = [f"{r}-{n}" for r in REGIONS for n in range(HOSTS)]
        chosen = {f"{r}-0" for r in draw.sample(REGIONS, leaders)}
        rest = [name for name in names if not name.endswith("-0")]
        return chosen | set(draw.sample(rest, len(names) // 3 - leaders))

    def test_all_learn_at_once_while_the_store_answers_all(self):
        for seed in range(10):
            self.assertLess(self.measure(seed, set()), 0.3, seed)

    def test_accepted_hosts_learn_in_time_if_two_leaders_are_rejected(self):
        for seed in range(60):
            rejected = self.draw_hosts(seed, 2)
            took_s = self.measure(seed, rejected)
            self.assertLess(took_s, LIMIT_S, (seed, sorted(rejected)))

    def test_accepted_hosts_learn_in_time_if_all_leaders_are_rejected(self):
        for seed in range(60):
            rejected = self.draw_hosts(seed, 3)
            took_s = self.measure(seed, rejected)
            self.assertLess(took_s, LIMIT_S, (seed, sorted(rejected)))

    def test_accepted_hosts_learn_in_time_from_a_slow_store(self):
        # Guards against a key that runs too long after it was taken away: a
        # hunt found 2.55 s, with the leaders and a further host rejected.
        for seed in (*range(20), *SLOW_SEEDS):
            rejected = self.draw_hosts(seed, 3)
            took_s = self.measure(seed, rejected, SLOW_CALL_S)
            self.assertLess(took_s, LIMIT_S, (seed, sorted(rejected)))


class RejectedFirstHostsTest(unittest.TestCase):
    """The store rejects the first hosts of each region, more than are dialled.

    The others saw only those, whose data was old, so each of them led itself
    until the end of the day: upstreams got several times their slots.
    """

    HOSTS = 40
    REJECTED = 5
    # Time after which a host must know what it is told, in seconds.
    CONTACT_S = 4.0

    def count_leaders(self, seed):
        """Return the largest number of leaders of a region at the end."""
        rejected = {f"{r}-{n}" for r in REGIONS for n in range(self.REJECTED)}
        model = PropagationModel(
            seed, rejected, float("inf"), WARMUP_S, self.HOSTS
        )
        model.run(WARMUP_S + self.CONTACT_S)
        leaders = {(host.region, host.leader) for host in model.hosts.values()}
        return max(
            sum(region == name for region, _ in leaders) for name in REGIONS
        )

    def test_all_hosts_follow_one_leader_soon(self):
        for seed in range(5):
            self.assertEqual(self.count_leaders(seed), 1, seed)


class DialledHostsTest(unittest.TestCase):
    ORDER = [f"akl-{n}" for n in range(9)]

    def choose(self, lost=(), fresh_host=None, **leaders):
        contacts = {host: Contact(True, "") for host in lost}
        for host, leader in leaders.items():
            contacts[host.replace("_", "-")] = Contact(False, leader)
        return choose_dialled_hosts(self.ORDER, contacts, fresh_host)

    def test_the_first_hosts_are_dialled(self):
        self.assertEqual(self.choose(), self.ORDER[:4])

    def test_others_take_the_place_of_lost_ones(self):
        lost = self.ORDER[:4]
        self.assertEqual(self.choose(lost), self.ORDER[:8])
        self.assertEqual(self.choose(lost[1:3]), self.ORDER[:6])

    def test_those_that_contacts_follow_are_dialled(self):
        self.assertEqual(
            self.choose(akl_1="akl-7"), [*self.ORDER[:4], "akl-7"]
        )

    def test_one_that_has_fresh_data_is_dialled(self):
        dialled = self.choose(fresh_host="akl-6")
        self.assertEqual(dialled, [*self.ORDER[:4], "akl-6"])

    def test_leaders_of_other_regions_and_unknown_ones_are_not(self):
        self.assertEqual(self.choose(akl_1="wlg-7", akl_2=""), self.ORDER[:4])
