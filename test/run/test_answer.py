"""Tests of cut answers and of refusals by verdict."""

import unittest

from radishstile.outcome import Outcome
from radishstile.run.answer import (
    AnswerProgress,
    CutAction,
    choose_cut_action,
    judge_answer,
)
from radishstile.run.record import RunAnswer, Verdict
from radishstile.run.refusal import build_refusal


class AnswerTest(unittest.TestCase):
    def test_only_an_ended_answer_of_the_stated_length_is_whole(self):
        progress = AnswerProgress(10)
        progress.add(9)
        progress.end()
        self.assertIs(judge_answer(progress), Outcome.UNKNOWN)
        progress.add(1)
        self.assertIs(judge_answer(progress), Outcome.RAN)
        self.assertIs(judge_answer(AnswerProgress()), Outcome.UNKNOWN)

    def test_cut_answer_never_ends_as_if_whole(self):
        progress = AnswerProgress(10)
        self.assertIs(choose_cut_action(progress), CutAction.REFUSE)
        progress.forward()
        self.assertIs(choose_cut_action(progress), CutAction.ABORT)

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
