"""Tests of retries: what each failure proves and what may follow."""

import unittest
from random import Random

from radishstile.outcome import Outcome
from radishstile.run import failure as kinds
from radishstile.run.budget import RetryBudget
from radishstile.run.retry import Attempt, RetryPolicy
from radishstile.run.settings import RunSettings

NOT_RUN = (
    kinds.UpstreamRefused,
    kinds.ConnectFailed,
    kinds.LostBeforeFirstByte,
    kinds.Shed,
)
DOUBT = (
    kinds.LostAfterSend,
    kinds.AnswerTruncated,
    kinds.PeerLost,
    kinds.TimedOut,
)


class RetryTest(unittest.TestCase):
    def setUp(self):
        settings = RunSettings(retry_tokens_max=4)
        self.budget = RetryBudget(settings)
        self.policy = RetryPolicy(settings, self.budget, Random(1))

    def decide(self, kind, is_idempotent, number=1, deadline=9.0):
        attempt = Attempt(deadline, is_idempotent, number)
        return self.policy.decide(attempt, kind("u1"), 0.0)

    def test_doubt_is_never_not_run_nor_sent_again(self):
        for kind in DOUBT:
            decision = self.decide(kind, is_idempotent=False)
            self.assertIs(decision.outcome, Outcome.UNKNOWN)
            self.assertIsNone(decision.following)

    def test_proven_not_run_goes_to_another_target(self):
        for kind in NOT_RUN[:3]:
            decision = self.decide(kind, is_idempotent=False)
            self.assertIs(decision.outcome, Outcome.NOT_RUN)
            self.assertEqual(decision.following.excluded, {"u1"})

    def test_stops_at_count_and_deadline(self):
        kind = kinds.ConnectFailed
        self.assertIsNone(self.decide(kind, True, number=3).following)
        self.assertIsNone(self.decide(kind, True, deadline=0.01).following)

    def test_budget_follows_successes_and_shrinks_under_overload(self):
        self.assertIsNotNone(self.decide(kinds.Shed, True).following)
        self.assertIsNone(self.decide(kinds.Shed, True).following)
        for _ in range(100):
            self.budget.note_success()
        self.assertEqual(self.budget.tokens, 4)
