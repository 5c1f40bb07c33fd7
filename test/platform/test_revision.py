"""Tests of revisions of a store that is restored from a backup."""

import unittest

from radishstile.http.message import AnswerHead
from radishstile.platform.revision import EraClock, Revision, read_era


class RevisionTest(unittest.TestCase):
    """Guards against comparing revisions of different eras (review/11, 12)."""

    def test_higher_era_comes_after_each_number_of_a_lower_one(self):
        self.assertGreater(Revision.make(2, 1), Revision.make(1, 10**12))
        self.assertGreater(Revision.make(1, 8), Revision.make(1, 7))

    def test_store_without_eras_keeps_its_numbers(self):
        self.assertEqual(Revision.make(0, 97), 97)

    def test_parts_survive_sending_as_an_integer(self):
        received = Revision(int(Revision.make(3, 97)))
        self.assertEqual((received.era, received.number), (3, 97))


class EraTest(unittest.TestCase):
    def test_reads_the_era_of_an_answer(self):
        headers = [(b"Store-Era", b"7")]
        self.assertEqual(read_era(AnswerHead(200, headers)), 7)
        self.assertEqual(read_era(AnswerHead(200, [])), 0)

    def test_unreadable_era_is_an_error(self):
        for text in (b"", b"-1", b"1.0", b"x", b"9" * 5000, b"\xb2"):
            with self.assertRaises(ValueError):
                read_era(AnswerHead(200, [(b"Store-Era", text)]))
        with self.assertRaises(ValueError):
            read_era(AnswerHead(200, [(b"Store-Era", b"1")] * 2))

    def test_lower_era_is_rejected(self):
        clock = EraClock()
        self.assertTrue(clock.observe(4))
        self.assertFalse(clock.observe(3))
        self.assertTrue(clock.observe(4))
        self.assertEqual(clock.era, 4)
