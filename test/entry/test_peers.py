"""Tests of the state that hosts report to each other."""

import unittest
from types import SimpleNamespace

from radishstile.catalog.freshness import Freshness
from radishstile.entry.leadership import Leadership
from radishstile.entry.peers import Peer, Peers
from radishstile.wire.codec import Envelope, encode
from test._common import PausedTestCase

REGION_HOSTS = [f"front-akl-{zone}-{n}" for zone in "abc" for n in range(22)]


class StubNode:
    """The parts of a node that heartbeats read."""

    def __init__(self):
        self.local_member = SimpleNamespace(host="front-akl-a-0", region="akl")
        self.catalog = SimpleNamespace(version=3)
        self.freshness = Freshness(5.0)
        self.hosts = SimpleNamespace(
            is_loaded=True, list_owners=lambda kept_s, now: set(REGION_HOSTS)
        )
        self.settling_s = 4.0
        self.is_leaving = False

    def is_settled(self):
        return True

    def list_region_hosts(self):
        return [SimpleNamespace(host=host) for host in REGION_HOSTS]

    def accept_confirmation(self, version, as_of):
        pass

    def measure_confirmation_age(self):
        return 0.1

    def measure_store_data_age(self):
        return 0.1


class ServingHostsTest(PausedTestCase):
    """Load: hundreds of hosts that each ask their leader twice a second.

    With the names of all hosts in each answer, the bytes between zones grow
    with the square of the hosts.
    """

    async def asyncSetUp(self):
        self.node = StubNode()
        admission = SimpleNamespace(resize=lambda *shares: None)
        self.peers = Peers(self.node, None)
        self.leadership = Leadership(self.node, admission, self.peers)
        client = SimpleNamespace(
            peer_incarnation=1, peer=SimpleNamespace(host="front-akl-a-0")
        )
        self.peer = Peer(client, self.now)
        self.peer.is_followed = True

    def beat(self, host="front-akl-a-1"):
        """Exchange a heartbeat and return the size of the answer in bytes."""
        question = self.peers._make_heartbeat(self.peer)
        member = SimpleNamespace(host=host, incarnation=1)
        answer = self.leadership.answer_heartbeat(question, member)
        size = len(encode(Envelope(1, 1, answer)))
        self.peer.record_answer(answer, self.now)
        return size

    def start_followers(self, hosts):
        for host in hosts:
            self.leadership.followers.record_heartbeat(host, False, self.now)

    async def test_answer_is_short_while_the_hosts_stay_the_same(self):
        self.start_followers(REGION_HOSTS)
        self.beat()
        self.assertLess(self.beat(), 100)
        self.assertEqual(self.peer.state.hosts, sorted(REGION_HOSTS))

    async def test_changed_hosts_are_sent_at_once(self):
        self.start_followers(REGION_HOSTS[:4])
        self.beat()
        self.leadership.followers.drop(REGION_HOSTS[3])
        self.beat()
        self.assertEqual(self.peer.state.hosts, REGION_HOSTS[:3])

    async def test_no_hosts_replace_known_ones(self):
        self.beat()
        self.assertEqual(self.peer.state.hosts, ["front-akl-a-1"])
        self.node.is_leaving = True
        self.beat()
        self.assertEqual(self.peer.state.hosts, [])

    async def test_restarted_leader_sends_its_hosts_again(self):
        self.start_followers(REGION_HOSTS[:4])
        self.beat()
        self.leadership.followers = type(self.leadership.followers)()
        self.start_followers(REGION_HOSTS[1:3])
        self.beat()
        self.assertEqual(self.peer.state.hosts, REGION_HOSTS[1:3])


if __name__ == "__main__":
    unittest.main()
