"""Tests of the heartbeat graph at the sizes of today and of the target."""

import random
import unittest

from radishstile.fleet.topology import list_neighbours
from test.fleet._common import SETTINGS, build_members

TODAY = ["a1", "a2", "b1", "b2", "c1", "c2"]
TARGET = [f"{region}{i}" for region in "abc" for i in range(4)][:11]
SIZES = [(TODAY, 22), (TODAY, 100), (TARGET, 450)]
MAX_HOPS = 3


def build_graph(members, down):
    live = {m.host for m in members} - down
    graph = {host: set() for host in live}
    for me in members:
        if me.host in down:
            continue
        for peer in list_neighbours(me, members, live, SETTINGS):
            if peer.host in live:
                graph[me.host].add(peer.host)
    return graph


def join_both_ways(graph):
    joined = {host: set(peers) for host, peers in graph.items()}
    for host, peers in graph.items():
        for peer in peers:
            joined[peer].add(host)
    return joined


def find_eccentricity(graph, start):
    seen = {start}
    edge = {start}
    hops = 0
    while len(seen) < len(graph):
        edge = set().union(*(graph[host] for host in edge)) - seen
        if not edge:
            return float("inf")
        seen |= edge
        hops += 1
    return hops


class TopologyTest(unittest.TestCase):
    def check(self, zones, count, down):
        members = build_members(zones, count)
        graph = build_graph(members, down)
        joined = join_both_ways(graph)
        # What one host asks it learns: knowledge follows directed edges.
        for name, edges in (("asked", graph), ("joined", joined)):
            hops = max(find_eccentricity(edges, host) for host in edges)
            with self.subTest(count=count, down=len(down), edges=name):
                self.assertLessEqual(hops, MAX_HOPS)

    def test_knowledge_spreads_in_few_heartbeats(self):
        for zones, count in SIZES:
            self.check(zones, count, set())

    def test_a_tenth_of_the_hosts_down(self):
        for zones, count in SIZES:
            hosts = [m.host for m in build_members(zones, count)]
            down = random.Random(7).sample(hosts, count // 10)
            self.check(zones, count, set(down))

    def test_a_zone_down(self):
        for zones, count in SIZES:
            members = build_members(zones, count)
            self.check(
                zones, count, {m.host for m in members if m.zone == "a1"}
            )

    def test_every_host_is_asked_by_its_own_zone(self):
        members = build_members(TARGET, 450)
        graph = build_graph(members, set())
        zones = {m.host: m.zone for m in members}
        askers = dict.fromkeys(zones, 0)
        for host, peers in graph.items():
            for peer in peers:
                askers[peer] += zones[peer] == zones[host]
        self.assertEqual(set(askers.values()), {SETTINGS.neighbours_per_zone})
