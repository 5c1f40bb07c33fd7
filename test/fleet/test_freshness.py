"""Tests of the evidence by which a host may accept keys."""

import unittest

from radishstile.fleet.event import BecameCurrent, BecameOutdated
from radishstile.fleet.fleet import Fleet
from radishstile.fleet.roster import Roster
from radishstile.fleet.state import MachineReport
from test.fleet._common import SETTINGS, build_fleet, build_member, exchange

# One host in each zone of three regions; the store is in region "a".
ZONES = ["a1", "a2", "b1", "c1"]
LIMIT_S = 6.0


class FreshnessTest(unittest.TestCase):
    def setUp(self):
        self.members = {zone: build_member(zone, 0) for zone in ZONES}
        self.fleets = {
            zone: build_fleet(member, list(self.members.values()))
            for zone, member in self.members.items()
        }

    def run_until(self, start, end, reaching, links):
        """Call the store and exchange heartbeats on all hosts each second."""
        for now in range(start, end):
            for zone, fleet in self.fleets.items():
                if zone in reaching:
                    fleet.record_store_reached(now, now, 4)
                else:
                    fleet.record_store_failed(now)
            for asker, answerer in links:
                exchange(self.fleets[asker], self.fleets[answerer], now)
                exchange(self.fleets[answerer], self.fleets[asker], now)

    def list_current(self, now):
        return [z for z, fleet in self.fleets.items() if fleet.is_current(now)]

    def test_outage_for_all_keeps_every_host_current(self):
        ring = [("a1", "a2"), ("a2", "b1"), ("b1", "c1"), ("c1", "a1")]
        self.run_until(0, 10, ZONES, ring)
        for start in range(10, 3610, 6):
            self.run_until(start, start + 6, [], ring)
            self.assertEqual(self.list_current(start + 5), ZONES)
            self.assertFalse(self.fleets["a1"].may_accept_patches(start + 5))

    def test_isolated_host_stops_within_the_limit(self):
        links = [("a1", "a2"), ("a2", "b1"), ("b1", "c1")]
        self.run_until(0, 10, ZONES, links)
        self.run_until(10, 40, ["a1", "a2", "b1"], links[:2])
        fleet = self.fleets["c1"]
        self.assertTrue(fleet.is_current(9 + LIMIT_S))
        self.assertFalse(fleet.is_current(9.1 + LIMIT_S))
        self.assertIn("zone a1", fleet.find_outdated_reason(39))
        self.assertEqual(self.list_current(39), ["a1", "a2", "b1"])

    def test_region_that_reaches_the_store_through_another_is_current(self):
        self.run_until(0, 60, ["a1", "b1"], [("a1", "b1"), ("b1", "c1")])
        self.assertIn("c1", self.list_current(59))

    def test_regions_cut_off_from_the_store_together_stop(self):
        cut = [("b1", "c1")]
        self.run_until(0, 10, ZONES, [("a1", "b1"), *cut])
        self.run_until(10, 17, ["a1", "a2"], [("a1", "a2"), *cut])
        self.assertEqual(self.list_current(16), ["a1", "a2"])

    def test_paused_host_ignores_buffered_replies(self):
        fleet = self.fleets["c1"]
        peer = self.fleets["a1"]
        peer.record_store_reached(10, 10, 4)
        buffered = peer.make_statement(10)
        fleet.record_heartbeat(buffered, 10, 10)
        self.assertTrue(fleet.is_current(12))
        peer.record_store_reached(11, 11, 4)
        fleet.record_heartbeat(peer.make_statement(11), 11, 100)
        self.assertFalse(fleet.is_current(100))

    def test_paused_host_ignores_buffered_outage_reports(self):
        buffered = []
        for zone in ZONES[:3]:
            self.fleets[zone].record_store_failed(10)
            buffered.append(self.fleets[zone].make_statement(10))
        fleet = self.fleets["c1"]
        fleet.record_store_failed(100)
        for statement in buffered:
            fleet.record_heartbeat(statement, 10, 100)
        self.assertFalse(fleet.is_current(100))

    def test_ages_add_up_over_hops(self):
        chain = ["a1", "a2", "b1", "c1"]
        self.fleets["a1"].record_store_reached(0, 0, 4)
        for hop in range(3):
            answerer = self.fleets[chain[hop]]
            statement = answerer.make_statement(hop + 0.5)
            asker = self.fleets[chain[hop + 1]]
            asker.record_heartbeat(statement, hop, hop + 0.75)
        # Each hop adds the half second between heartbeat and reply.
        self.assertTrue(self.fleets["c1"].is_current(4.5))
        self.assertFalse(self.fleets["c1"].is_current(4.6))

    def test_call_counts_from_its_start(self):
        self.fleets["a1"].record_store_reached(0, 5, 4)
        self.assertFalse(self.fleets["a1"].is_current(6.1))

    def test_newer_version_outdates_until_it_is_applied(self):
        fleet = self.fleets["a1"]
        fleet.record_store_reached(0, 0, 4)
        fleet.record_store_reached(5, 5, 5)
        self.assertTrue(fleet.is_current(6))
        fleet.record_store_reached(7, 7, 4)
        self.assertFalse(fleet.is_current(7))
        self.assertIn("version 5", fleet.find_outdated_reason(7))
        fleet.record_configuration(5, 8)
        self.assertTrue(fleet.is_current(8))

    def test_newer_version_known_in_an_outage_outdates(self):
        ring = [("a1", "a2"), ("a2", "b1"), ("b1", "c1"), ("c1", "a1")]
        self.fleets["b1"].record_configuration(5, 0)
        self.run_until(0, 10, [], ring)
        self.assertEqual(self.list_current(9), ["b1"])

    def test_store_that_answers_part_of_a_zone_is_not_down(self):
        ring = [("a1", "a2"), ("a2", "b1"), ("b1", "c1"), ("c1", "a1")]
        self.run_until(0, 10, [], ring)
        # A slow call is answered after all other calls failed.
        self.fleets["a2"].record_store_reached(2, 10, 4)
        self.assertTrue(self.fleets["b1"].is_current(10))
        exchange(self.fleets["b1"], self.fleets["a2"], 10)
        reason = self.fleets["b1"].find_outdated_reason(10)
        self.assertIn("not failed since the last answer", reason)

    def test_zone_whose_members_have_ended_is_ignored(self):
        ring = [("a1", "a2"), ("a2", "b1")]
        self.run_until(0, 10, [], ring)
        fleet = self.fleets["b1"]
        self.assertIn("zone c1", fleet.find_outdated_reason(9))
        fleet.record_machines([MachineReport("c1-0", 1, True)], 9)
        self.assertTrue(fleet.is_current(9))

    def test_newer_roster_known_in_an_outage_outdates(self):
        ring = [("a1", "a2"), ("a2", "b1"), ("b1", "c1")]
        roster = self.fleets["a1"].roster
        later = type(roster)(2, roster.members)
        self.fleets["a1"].apply_roster(later, 0)
        self.run_until(0, 10, [], ring)
        self.assertIn("roster 2", self.fleets["a2"].find_outdated_reason(9))

    def test_host_cut_off_from_its_peers_rejects_patches(self):
        links = [("a1", "a2"), ("a2", "b1"), ("b1", "c1")]
        self.fleets["a1"].tick(0)
        self.run_until(0, 10, ZONES, links)
        self.assertFalse(self.fleets["a1"].may_accept_patches(9))
        for zone in ZONES[1:]:
            exchange(self.fleets["a1"], self.fleets[zone], 9)
        self.assertTrue(self.fleets["a1"].may_accept_patches(9))
        self.run_until(10, 20, ["a1"], [])
        self.assertTrue(self.fleets["a1"].is_current(19))
        self.assertFalse(self.fleets["a1"].may_accept_patches(19))

    def test_host_that_is_not_in_the_roster_yet_has_not_joined(self):
        """Guards against a host shown as joined that rejects patches.

        A host that starts last is current and knows all owners from a roster
        that was written before it registered.
        """
        members = [build_member(zone, 0) for zone in ZONES]
        fleet = build_fleet(members[0], members[1:])
        fleet.tick(0)
        fleet.record_store_reached(0, 0, 4)
        for member in members[1:]:
            fleet.record_connected(member, 0)
        self.assertTrue(fleet.is_current(0))
        self.assertFalse(fleet.has_joined(0))
        self.assertFalse(fleet.may_accept_patches(0))
        fleet.apply_roster(
            Roster(2, {member.host: member for member in members}), 0
        )
        self.assertTrue(fleet.has_joined(0))
        self.assertTrue(fleet.may_accept_patches(0))

    def test_patches_need_neighbours_of_the_local_zone(self):
        members = [build_member("a1", i) for i in range(3)]
        members += [build_member(zone, 0) for zone in ZONES[1:]]
        fleet = build_fleet(members[0], members)
        fleet.tick(0)
        fleet.record_store_reached(0, 0, 4)
        for member in members[3:]:
            fleet.record_connected(member, 0)
        self.assertFalse(fleet.may_accept_patches(0))
        fleet.record_connected(members[1], 0)
        self.assertTrue(fleet.may_accept_patches(0))

    def test_fleet_of_one_zone_needs_another_host_to_detect_an_outage(self):
        members = [build_member("a1", 0), build_member("a1", 1)]
        fleet, peer = (build_fleet(m, members) for m in members)
        fleet.record_store_failed(1)
        exchange(peer, fleet, 1)
        exchange(fleet, peer, 1)
        self.assertFalse(fleet.is_current(1))
        peer.record_store_failed(2)
        exchange(fleet, peer, 2)
        self.assertTrue(fleet.is_current(2))

    def test_unregistered_host_without_a_roster(self):
        started = Fleet(build_member("a1", 9), SETTINGS)
        started.record_store_failed(0)
        self.assertIn("no roster", started.find_outdated_reason(0))
        started.record_store_reached(1, 1, 0)
        self.assertTrue(started.is_current(1))
        self.assertFalse(started.may_accept_patches(1))

    def test_changes_are_reported_once(self):
        fleet = self.fleets["a1"]
        fleet.record_store_reached(0, 0, 4)
        kinds = [type(e) for now in (0, 1, 7, 8) for e in fleet.tick(now)]
        reported = [k for k in kinds if k in (BecameCurrent, BecameOutdated)]
        self.assertEqual(reported, [BecameCurrent, BecameOutdated])
