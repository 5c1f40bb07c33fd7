"""Checks of single values in stored objects."""

import ipaddress
from typing import Any

MAX_PORT = 65_535
# Longest name of an object that stands in a header.
_MAX_NAME_LENGTH = 200


def require_type(kind: type, value: Any) -> Any:
    """Return the value; raises `TypeError` if it is of another type."""
    if type(value) is not kind:
        raise TypeError(f"expected {kind.__name__}, found {value!r}")
    return value


def require_count(value: Any, limit: int) -> int:
    """Return the value; raises an error unless it is from 1 to `limit`."""
    if not 1 <= require_type(int, value) <= limit:
        raise ValueError(f"expected 1 to {limit}, found {value}")
    return value


def require_number(value: Any) -> float:
    """Return the number; raises `TypeError` unless it is 0 or more."""
    if type(value) not in (int, float) or not value >= 0:
        raise TypeError(f"expected a number, found {value!r}")
    return float(value)


def require_name(value: Any) -> str:
    """Return a name that may stand in a header, and in a line of the log.

    Raises an error if it is empty, too long, or has spaces, control
    characters or characters beyond ASCII.
    """
    name = require_type(str, value)
    is_plain = name.isascii() and name.isprintable() and " " not in name
    if not is_plain or not 0 < len(name) <= _MAX_NAME_LENGTH:
        raise ValueError(f"{name!r} is no plain name")
    return name


def require_address(value: Any) -> str:
    """Return the IPv4 address of one host; raises an error otherwise.

    Names are not looked up: that takes seconds, and the platform has none.
    """
    text = require_type(str, value)
    address = ipaddress.IPv4Address(text)
    if address.is_unspecified or address.is_multicast or address.is_reserved:
        raise ValueError(f"{text} is no address of a host")
    return text


def require_endpoint(value: Any) -> tuple[str, int]:
    """Return the address and the port of `ADDRESS:PORT`, or raise an error."""
    address, _, port = require_type(str, value).rpartition(":")
    if not port.isascii() or not port.isdecimal():
        raise ValueError(f"{value!r} is not ADDRESS:PORT")
    return require_address(address), require_count(int(port), MAX_PORT)
