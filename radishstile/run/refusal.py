"""Builds the refusal of a request from the verdict on its idempotency key."""

from radishstile.errors import RefusalError
from radishstile.outcome import Outcome, Reason
from radishstile.run.record import RunAnswer, Verdict

RETRY_AFTER_S = 1.0

_REFUSALS = {
    Verdict.RUNNING: (Reason.DUPLICATE, Outcome.UNKNOWN),
    Verdict.RAN: (Reason.DUPLICATE, Outcome.RAN),
    Verdict.UNKNOWN: (Reason.DUPLICATE, Outcome.UNKNOWN),
    Verdict.MISMATCH: (Reason.BAD_REQUEST, Outcome.NOT_RUN),
    Verdict.NOT_RUN: (Reason.RECORD_UNAVAILABLE, Outcome.NOT_RUN),
    # The current owner has every earlier record, and this key has none.
    Verdict.UNAVAILABLE: (Reason.RECORD_UNAVAILABLE, Outcome.NOT_RUN),
    # The actual owner may have a record of an earlier attempt.
    Verdict.NOT_HOME: (Reason.RECORD_UNAVAILABLE, Outcome.UNKNOWN),
}
_DETAILS = {
    Verdict.RUNNING: "a request with this idempotency key is running",
    Verdict.RAN: "a request with this idempotency key has run",
    Verdict.UNKNOWN: "a request with this idempotency key may have run",
    Verdict.MISMATCH: "this idempotency key was used for another request",
    Verdict.NOT_RUN: "a request with this idempotency key did not run",
    Verdict.UNAVAILABLE: "the run can't be recorded now",
    Verdict.NOT_HOME: "the record of this idempotency key can't be reached",
}


def build_refusal(answer: RunAnswer) -> RefusalError:
    """Return the refusal for any verdict except `RECORDED`."""
    reason, outcome = _REFUSALS[answer.verdict]
    is_temporary = reason is Reason.RECORD_UNAVAILABLE
    retry_after = RETRY_AFTER_S if is_temporary else None
    detail = _DETAILS[answer.verdict]
    return RefusalError(reason, outcome, retry_after, detail)
