"""Tests of the table of entry hosts and the leader order."""

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
        return [member.host for member in self.table.list_leader_order(region)]

    def test_local_host_is_listed_before_it_is_registered(self):
        self.assertEqual(self.list_names(), ["me"])
        self.assertEqual(len(self.table), 1)

    def test_orders_by_cores_and_then_by_name(self):
        self.table.put(make_host("a", 9))
        self.table.put(make_host("z", 1))
        self.table.put(make_host("large", 10, cores=2.0))
        self.assertEqual(self.list_names(), ["large", "a", "me", "z"])

    def test_hosts_that_start_together_agree_on_the_order(self):
        """Each knows its own incarnation and earlier ones of the others."""
        orders = []
        for name in ("a", "b", "c"):
            table = HostTable(make_host(name, 9))
            table.replace_all(
                [make_host(other, 1) for other in ("a", "b", "c")], 0.0
            )
            orders.append([m.host for m in table.list_leader_order("akl")])
        self.assertEqual(orders, [["a", "b", "c"]] * 3)

    def test_each_region_has_its_own_order(self):
        self.table.put(make_host("far", region="wlg"))
        self.assertEqual(self.list_names("wlg"), ["far"])
        self.assertEqual(self.list_names(), ["me"])
        self.assertEqual(self.table.list_regions(), ["akl", "wlg"])

    def test_order_is_recomputed_after_changes(self):
        self.table.put(make_host("a"))
        self.assertEqual(self.list_names(), ["a", "me"])
        self.table.remove("a", 0.0)
        self.assertEqual(self.list_names(), ["me"])
        self.table.replace_all([make_host("b")], 0.0)
        self.assertEqual(self.list_names(), ["b", "me"])
