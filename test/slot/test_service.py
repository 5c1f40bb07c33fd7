"""Tests of the demand of a service, after a start and at rest."""

import unittest

from radishstile.slot.service import DEMAND_SAMPLE_S, ServiceBook

PRIOR = 10.0
REAL = 40.0


class DemandTest(unittest.TestCase):
    def sample(self, book, count, demand=REAL):
        for _ in range(count):
            book.note_offer(demand * DEMAND_SAMPLE_S)
            book.sample_demand(DEMAND_SAMPLE_S, PRIOR)

    def test_a_new_book_learns_the_demand_in_two_seconds(self):
        book = ServiceBook()
        self.sample(book, 4)
        self.assertGreater(book.demand, 0.8 * REAL)

    def test_at_rest_one_sample_moves_little(self):
        book = ServiceBook()
        self.sample(book, 40)
        before = book.demand
        self.sample(book, 1, demand=2 * REAL)
        self.assertLess(book.demand - before, 0.15 * before)

    def test_nothing_is_known_before_the_first_claim(self):
        book = ServiceBook()
        book.sample_demand(DEMAND_SAMPLE_S, PRIOR)
        self.assertIsNone(book.demand)
