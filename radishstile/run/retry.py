"""Decides whether to retry a failed attempt, and whether it may have run."""

from functools import singledispatch
from random import Random

from radishstile.outcome import Outcome
from radishstile.run.budget import RetryBudget
from radishstile.run.failure import (
    AnswerTruncated,
    ConnectFailed,
    Failure,
    LostBeforeFirstByte,
    Shed,
    UpstreamRefused,
)
from radishstile.run.settings import RunSettings


class Attempt:
    """One attempt to run a request.

    `number` counts from 1, `deadline` is in seconds of the loop's clock and
    `excluded` names the targets of failed attempts.
    """

    __slots__ = ("number", "deadline", "is_idempotent", "excluded")

    def __init__(
        self,
        deadline: float,
        is_idempotent: bool,
        number: int = 1,
        excluded: frozenset[str] = frozenset(),
    ):
        self.deadline = deadline
        self.is_idempotent = is_idempotent
        self.number = number
        self.excluded = excluded


class RetryDecision:
    """Whether the failed attempt ran, and the next attempt or None.

    The next attempt starts after `delay_s` seconds.
    """

    __slots__ = ("outcome", "next_attempt", "delay_s")

    def __init__(
        self,
        outcome: Outcome,
        next_attempt: Attempt | None = None,
        delay_s: float = 0.0,
    ):
        self.outcome = outcome
        self.next_attempt = next_attempt
        self.delay_s = delay_s


@singledispatch
def infer_outcome(failure: Failure) -> Outcome:
    """Return whether the attempt ran, as far as its failure proves it."""
    return Outcome.UNKNOWN


@infer_outcome.register(UpstreamRefused)
@infer_outcome.register(ConnectFailed)
@infer_outcome.register(LostBeforeFirstByte)
@infer_outcome.register(Shed)
def _(failure: Failure) -> Outcome:
    return Outcome.NOT_RUN


@infer_outcome.register
def _(failure: AnswerTruncated) -> Outcome:
    # The answer began, but the request may not have been completed.
    return Outcome.UNKNOWN


@singledispatch
def signals_overload(failure: Failure) -> bool:
    """Return whether a failure means that its target is overloaded."""
    return False


@signals_overload.register
def _(failure: Shed) -> bool:
    return True


class RetryPolicy:
    """Retries with exponential backoff, jitter and a retry budget.

    Only the host that the caller connected to retries, so that retries are
    not multiplied along the path.
    """

    __slots__ = ("settings", "budget", "_random")

    def __init__(
        self, settings: RunSettings, budget: RetryBudget, random: Random
    ):
        self.settings = settings
        self.budget = budget
        self._random = random

    def decide(
        self, attempt: Attempt, failure: Failure, now: float
    ) -> RetryDecision:
        """Return the outcome of a failed attempt, and the next one if any.

        A non-idempotent request is retried only if it has not run.
        """
        outcome = infer_outcome(failure)
        if signals_overload(failure):
            self.budget.record_overload()
        if not attempt.is_idempotent and outcome is not Outcome.NOT_RUN:
            return RetryDecision(outcome)
        if attempt.number >= self.settings.retry_attempts:
            return RetryDecision(outcome)
        delay_s = self._choose_delay(attempt, failure)
        if now + delay_s >= attempt.deadline or not self.budget.try_take():
            return RetryDecision(outcome)
        next_attempt = Attempt(
            attempt.deadline,
            attempt.is_idempotent,
            attempt.number + 1,
            attempt.excluded | {failure.target},
        )
        return RetryDecision(outcome, next_attempt, delay_s)

    def _choose_delay(self, attempt: Attempt, failure: Failure) -> float:
        longest_s = self.settings.retry_delay_s * 2 ** (attempt.number - 1)
        longest_s = min(longest_s, self.settings.retry_delay_max_s)
        delay_s = self._random.uniform(longest_s / 2, longest_s)
        return max(delay_s, failure.retry_after_s or 0.0)
