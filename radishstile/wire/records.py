"""Decoding of records inside messages, whose shape the codec does not know."""

from collections.abc import Callable
from typing import Any

from radishstile.errors import FrameError

# What decoding raises where a record has another shape or an unknown name.
_MALFORMED = (
    ArithmeticError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)


def decode_record(decode: Callable[..., Any], *records: Any) -> Any:
    """Return `decode(*records)`; raises `FrameError` if one is malformed."""
    try:
        return decode(*records)
    except _MALFORMED as error:
        name = type(error).__name__
        raise FrameError(f"a record is malformed ({name})") from error
