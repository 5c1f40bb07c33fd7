"""Converts handlers' errors to messages and back."""

from functools import singledispatch

from radishstile.errors import RefusalError, WireError
from radishstile.outcome import Outcome, Reason
from radishstile.wire.messages.base import Message
from radishstile.wire.messages.control import Failed, Refused


@singledispatch
def make_error_message(error: Exception, request_id: str = "") -> Message:
    """Return the message that reports a handler's error.

    The text of an unexpected error is left out, since it may quote a request.
    """
    return Failed(error=f"internal error: {type(error).__name__}")


@make_error_message.register
def _(error: WireError, request_id: str = "") -> Message:
    return Failed(error=str(error))


@make_error_message.register
def _(error: RefusalError, request_id: str = "") -> Message:
    return Refused(
        request_id=request_id,
        reason=error.reason.value,
        outcome=error.outcome.value,
        retry_after=error.retry_after,
        detail=str(error),
    )


@singledispatch
def raise_for_error(message: Message) -> None:
    """Raise the error that `message` reports, if it reports one."""


@raise_for_error.register
def _(message: Failed) -> None:
    raise WireError(message.error)


@raise_for_error.register
def _(message: Refused) -> None:
    try:
        reason = Reason(message.reason)
        outcome = Outcome(message.outcome)
    except ValueError as error:
        raise WireError(f"unknown kind of refusal: {error}") from error
    raise RefusalError(reason, outcome, message.retry_after, message.detail)
