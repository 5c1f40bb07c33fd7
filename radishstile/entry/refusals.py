"""Refusals that several parts of an entry host give."""

from radishstile.errors import RefusalError
from radishstile.outcome import Outcome, Reason

# Retry-After in seconds where no better estimate is known.
DEFAULT_RETRY_AFTER_S = 0.5
# Retry-After of a host that stops, in seconds: others serve at once.
STOPPING_RETRY_S = 0.05


def make_stopping_refusal() -> RefusalError:
    """Return the refusal of a request that others have to serve."""
    return RefusalError(
        Reason.STOPPING,
        Outcome.NOT_RUN,
        STOPPING_RETRY_S,
        "the host stops before the request could complete",
    )


def make_internal_refusal(may_have_run: bool) -> RefusalError:
    """Return the refusal of a request that an unexpected error ended."""
    if may_have_run:
        return RefusalError(Reason.INTERNAL, Outcome.UNKNOWN)
    return RefusalError(
        Reason.INTERNAL, Outcome.NOT_RUN, DEFAULT_RETRY_AFTER_S
    )
