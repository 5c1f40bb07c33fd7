"""Tests of refusals by verdict."""

import unittest

from radishstile.outcome import Outcome
from radishstile.run.record import RunAnswer, Verdict
from radishstile.run.refusal import build_refusal


class RefusalTest(unittest.TestCase):
    def test_refusal_says_not_run_only_where_the_home_knows(self):
        not_run = {
            verdict
            for verdict in Verdict
            if verdict is not Verdict.RECORDED
            and build_refusal(RunAnswer(verdict)).outcome is Outcome.NOT_RUN
        }
        self.assertEqual(
            not_run, {Verdict.MISMATCH, Verdict.NOT_RUN, Verdict.UNAVAILABLE}
        )
