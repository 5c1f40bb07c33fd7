"""Checks that the matrix names tests that exist and that its page is new."""

import unittest

from test.matrix.page import PAGE, collect_cells, replace_table
from test.matrix.table import Fault, Step


class PageTest(unittest.TestCase):
    """The page says what the table holds."""

    def test_each_named_test_exists(self):
        names = {n for cell in collect_cells().values() for n in cell.tests}
        for name in sorted(names):
            with self.subTest(name):
                suite = unittest.defaultTestLoader.loadTestsFromName(name)
                self.assertEqual(suite.countTestCases(), 1)
                self.assertNotIn("_FailedTest", str(list(suite)))

    def test_each_cell_is_shown_or_says_why_not(self):
        cells = collect_cells()
        self.assertEqual(len(cells), len(Fault) * len(Step))
        for cell in cells.values():
            is_named = bool(cell.tests or cell.reason)
            self.assertEqual(is_named, cell.mark != "NOT SHOWN")

    def test_page_is_new(self):
        text = PAGE.read_text(encoding="utf-8")
        self.assertEqual(text, replace_table(text), "run make matrix")
