"""Checks of single values in stored objects."""

from typing import Any


def require_type(kind: type, value: Any) -> Any:
    """Return the value; raises `TypeError` if it is of another type."""
    if type(value) is not kind:
        raise TypeError(f"expected {kind.__name__}, found {value!r}")
    return value


def require_positive(value: Any) -> int:
    """Return the value; raises an error unless it is an integer above 0."""
    if require_type(int, value) < 1:
        raise ValueError(f"expected 1 or more, found {value}")
    return value


def require_number(value: Any) -> float:
    """Return the number; raises `TypeError` unless it is 0 or more."""
    if type(value) not in (int, float) or not value >= 0:
        raise TypeError(f"expected a number, found {value!r}")
    return float(value)
