"""Tests of `radishstile.shift.patch` and `radishstile.shift.drain`."""

import unittest

from radishstile.errors import ConfigurationError, OperatorError
from radishstile.shift.drain import plan_drain
from radishstile.shift.patch import check_patch
from radishstile.shift.share import Placement
from test.shift._common import make_configuration, make_move


class PatchTest(unittest.TestCase):
    def test_refuses_a_cap_below_what_moves_now(self):
        old = make_configuration(m=make_move(cap_per_s=50))
        new = make_configuration(m=make_move(cap_per_s=20))
        with self.assertRaisesRegex(ConfigurationError, "moves/m: cap_per_s"):
            check_patch(old, new, {"m": 20.5})
        check_patch(old, new, {"m": 20.0})
        check_patch(old, make_configuration(), {"m": 40.0})
        check_patch(old, old, {"m": 50.4})


class DrainTest(unittest.TestCase):
    def test_moves_every_block_within_the_cap(self):
        records = plan_drain(make_configuration(), "akl", 90.0)
        configuration = make_configuration(**records)
        moves = configuration.moves.values()
        self.assertEqual(sum(move.cap_per_s for move in moves), 90.0)
        shares = {move.name: move.target_share for move in moves}
        placement = Placement(moves, shares)
        regions = [
            placement.place("slips", "akl", number.to_bytes(4)).region
            for number in range(4000)
        ]
        self.assertEqual(regions.count("akl"), 0)
        self.assertAlmostEqual(regions.count("chc"), 2000, delta=120)

    def test_refuses_an_unknown_region(self):
        with self.assertRaises(OperatorError):
            plan_drain(make_configuration(), "syd", 90.0)
