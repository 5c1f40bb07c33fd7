"""Refusals of claims by the slot scheduler, and their log fields."""

from radishstile.errors import RefusalError
from radishstile.outcome import Outcome
from radishstile.slot.claim import Claim, Denial


class ClaimDeniedError(RefusalError):
    """The scheduler denied a claim; `cause` is None if it is not known."""

    def __init__(self, denial: Denial, detail: str):
        super().__init__(
            denial.reason, Outcome.NOT_RUN, denial.retry_after, detail
        )
        self.cause = denial.cause


def describe_cause(claim: Claim, refusal: RefusalError) -> dict:
    """Return the fields of the inputs that decided, if they are known."""
    if type(refusal) is not ClaimDeniedError or refusal.cause is None:
        return {}
    cause = refusal.cause
    return {
        "workspace": claim.workspace,
        "contention": cause.contention.value,
        "position": cause.position,
        "ahead_s": round(cause.ahead_s, 3),
        "wait_s": round(cause.wait_s, 3),
        "expected_s": round(cause.expected_s, 3),
        "workspace_share": round(cause.share, 4),
    }
