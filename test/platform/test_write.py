"""Tests of what an answer means for a write under way."""

import unittest

from radishstile.errors import VersionConflictError, WriteDoubtError
from radishstile.platform.answer import Absent, Conflict, Lost, StoredObject
from radishstile.platform.write import PendingWrite, settle


class SettleTest(unittest.TestCase):
    def setUp(self):
        self.write = PendingWrite("a", 1, 4, "mine")
        settle(Lost("timeout"), self.write)

    def test_conflict_beyond_next_version_leaves_doubt(self):
        self.assertIsNone(settle(Conflict(6, "theirs", False), self.write))
        self.assertIsInstance(self.write.fail(), WriteDoubtError)

    def test_conflict_at_next_version_proves_no_effect(self):
        with self.assertRaises(VersionConflictError):
            settle(Conflict(5, "theirs", False), self.write)

    def test_read_of_expected_version_asks_for_a_retry(self):
        found = StoredObject("a", 4, 1, "earlier")
        self.assertIsNone(settle(found, self.write))

    def test_deletion_beyond_next_version_is_in_doubt(self):
        with self.assertRaises(WriteDoubtError):
            settle(Absent("a", 6, "theirs"), self.write)
