"""Decides whether a failed request is run again."""

import asyncio
import random

from radishstile.daemon.forwarded_request import ForwardedRequest
from radishstile.daemon.node import read_clock
from radishstile.errors import RefusalError
from radishstile.outcome import Outcome, Reason
from radishstile.run.budget import RetryBudget
from radishstile.run.failure import (
    AnswerTruncated,
    ConnectFailed,
    Failure,
    LostAfterSend,
    LostBeforeFirstByte,
    PeerLost,
    Shed,
    UpstreamRefused,
)
from radishstile.run.retry import Attempt, RetryPolicy
from radishstile.run.settings import RunSettings

# The failure that a refusal stands for, by its reason and outcome. Other
# refusals are final: another attempt would end the same way.
_FAILURE_TYPES = {
    (Reason.UPSTREAM_SHED, Outcome.NOT_RUN): Shed,
    (Reason.OVERLOADED, Outcome.NOT_RUN): Shed,
    (Reason.NO_UPSTREAM, Outcome.NOT_RUN): ConnectFailed,
    (Reason.STOPPING, Outcome.NOT_RUN): UpstreamRefused,
    (Reason.UPSTREAM_LOST, Outcome.NOT_RUN): ConnectFailed,
    (Reason.UPSTREAM_LOST, Outcome.UNKNOWN): LostAfterSend,
    (Reason.UPSTREAM_LOST, Outcome.RAN): AnswerTruncated,
    (Reason.PEER_LOST, Outcome.NOT_RUN): LostBeforeFirstByte,
    (Reason.PEER_LOST, Outcome.UNKNOWN): PeerLost,
}


class RequestAttempts:
    """The attempts of one request, under the host's shared retry policy."""

    __slots__ = ("_policy", "_attempt", "_may_have_run")

    def __init__(self, policy: RetryPolicy, request: ForwardedRequest):
        self._policy = policy
        self._attempt = Attempt(request.deadline, request.is_idempotent)
        self._may_have_run = False

    async def wait_retry(
        self, refusal: RefusalError, request: ForwardedRequest
    ) -> None:
        """Wait before another attempt, or raise `refusal`.

        Once an attempt may have run, a later refusal that says "not run" is
        raised as "unknown".
        """
        self._may_have_run |= refusal.outcome is not Outcome.NOT_RUN
        failure = _classify(refusal, request)
        if failure is None:
            raise self._correct_outcome(refusal)
        now = read_clock()
        decision = self._policy.decide(self._attempt, failure, now)
        if decision.next_attempt is None:
            raise self._correct_outcome(refusal)
        self._attempt = decision.next_attempt
        await asyncio.sleep(decision.delay_s)

    def record_success(self) -> None:
        """Credit an answered request to the retry budget."""
        self._policy.budget.record_success()

    def _correct_outcome(self, refusal: RefusalError) -> RefusalError:
        if self._may_have_run and refusal.outcome is Outcome.NOT_RUN:
            refusal.outcome = Outcome.UNKNOWN
        return refusal


class Retrier:
    """Starts the attempts of each request, under one retry policy."""

    __slots__ = ("_policy",)

    def __init__(self, settings: RunSettings, rng: random.Random):
        self._policy = RetryPolicy(settings, RetryBudget(settings), rng)

    def start_attempts(self, request: ForwardedRequest) -> RequestAttempts:
        """Return the attempts of a new request."""
        return RequestAttempts(self._policy, request)


def _classify(
    refusal: RefusalError, request: ForwardedRequest
) -> Failure | None:
    kind = _FAILURE_TYPES.get((refusal.reason, refusal.outcome))
    return None if kind is None else kind(request.zone, refusal.retry_after)
