"""Turns a home's verdict on a key into a refusal of the request."""

from radishstile.errors import RefusalError
from radishstile.outcome import Outcome, Reason
from radishstile.run.record import RunAnswer, Verdict

_REFUSALS = {
    Verdict.RUNNING: (Reason.DUPLICATE, Outcome.UNKNOWN),
    Verdict.RAN: (Reason.DUPLICATE, Outcome.RAN),
    Verdict.UNKNOWN: (Reason.DUPLICATE, Outcome.UNKNOWN),
    Verdict.MISMATCH: (Reason.BAD_REQUEST, Outcome.NOT_RUN),
    Verdict.NOT_RUN: (Reason.RECORD_UNAVAILABLE, Outcome.NOT_RUN),
    Verdict.UNAVAILABLE: (Reason.RECORD_UNAVAILABLE, Outcome.NOT_RUN),
    # Another home may hold a record of an earlier attempt.
    Verdict.NOT_HOME: (Reason.RECORD_UNAVAILABLE, Outcome.UNKNOWN),
}


def build_refusal(answer: RunAnswer) -> RefusalError:
    """Return the refusal for every verdict but `RECORDED`."""
    reason, outcome = _REFUSALS[answer.verdict]
    return RefusalError(reason, outcome)
