"""Tests of the table of entry hosts and the order of leads."""

import unittest

from radishstile.fleet.hosts import HostTable, RegisteredHost
from radishstile.member import Member


def make_host(name, incarnation=1, cores=1.0, region="akl"):
    member = Member(
        name, incarnation, f"{region}-a", region, "127.0.0.1", 1, 2
    )
    return RegisteredHost(member, cores)


class HostTableTest(unittest.TestCase):
    def setUp(self):
        self.table = HostTable(make_host("me", 5))

    def list_names(self, region="akl"):
        return [member.host for member in self.table.order(region)]

    def test_is_among_its_hosts_before_it_is_registered(self):
        self.assertEqual(self.list_names(), ["me"])
        self.assertEqual(len(self.table), 1)

    def test_the_largest_and_then_the_longest_lived_come_first(self):
        self.table.put(make_host("old", 1))
        self.table.put(make_host("young", 9))
        self.table.put(make_host("large", 10, cores=2.0))
        self.assertEqual(self.list_names(), ["large", "old", "me", "young"])

    def test_other_regions_have_orders_of_their_own(self):
        self.table.put(make_host("far", region="wlg"))
        self.assertEqual(self.list_names("wlg"), ["far"])
        self.assertEqual(self.list_names(), ["me"])
        self.assertEqual(self.table.list_regions(), ["akl", "wlg"])

    def test_an_order_follows_changes(self):
        self.table.put(make_host("old", 1))
        self.assertEqual(self.list_names(), ["old", "me"])
        self.table.remove("old")
        self.assertEqual(self.list_names(), ["me"])
        self.table.replace_all([make_host("next", 2)])
        self.assertEqual(self.list_names(), ["next", "me"])
