"""Decodes the registrations of upstreams and hosts in the store."""

from typing import Any

from radishstile.errors import PlatformError
from radishstile.fleet.hosts import RegisteredHost
from radishstile.member import Member
from radishstile.platform.objects import PlatformObject
from radishstile.platform.values import (
    require_number,
    require_positive,
    require_type,
)
from radishstile.upstream.registration import Readiness, Registration

# Kinds of stored objects. Upstreams write the first, the operator the second,
# and entry hosts the third, which the platform itself does not use.
UPSTREAM_KIND = "servers"
EVACUATION_KIND = "evacuations"
HOST_KIND = "entry-hosts"

MAX_PORT = 65_535


class MalformedEntryError(PlatformError):
    """A stored registration can't be decoded."""


def decode_upstream(
    stored: PlatformObject, zones: dict[str, str], now: float
) -> Registration:
    """Return the registration of an upstream.

    `zones` maps zones to regions; `now` is the loop time in seconds. Raises
    `MalformedEntryError` if a field is missing or has the wrong type.
    """
    try:
        # The spec and the status are written by different parties, each with
        # some of the fields; records that upstreams write have all in the
        # spec.
        record = {**_to_dict(stored.status), **_to_dict(stored.spec)}
        info = record["info"]
        status = _find_status(stored, record)
        address, port = _split_address(require_type(str, record["address"]))
        zone = require_type(str, info["zone"])
        return Registration(
            stored.name,
            require_type(str, info["service"]),
            address,
            port,
            zone,
            zones[zone],
            require_positive(info["slots"]),
            Readiness(status["state"]),
            require_number(status.get("warmup_left_s", 0)),
            require_type(int, record.get("born", 0)),
            now,
        )
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        detail = f"{type(error).__name__}: {error}"
        raise MalformedEntryError(f"{stored.name}: {detail}") from error


def encode_host(host: RegisteredHost) -> dict:
    """Return the spec of an entry host's registration."""
    return {
        **host.member.to_record(),
        "cores": host.cores,
        "registered_at": host.registered_at,
        "is_stopped": host.is_stopped,
    }


def decode_host(stored: PlatformObject) -> RegisteredHost:
    """Return the registered entry host.

    Raises `MalformedEntryError`.
    """
    try:
        spec = stored.spec
        return RegisteredHost(
            Member.from_record(spec),
            require_number(spec["cores"]),
            require_number(spec.get("registered_at", 0.0)),
            spec.get("is_stopped", False) is True,
        )
    except (KeyError, TypeError) as error:
        raise MalformedEntryError(
            f"{stored.name}: missing or malformed field: {error}"
        ) from error


def _find_status(stored: PlatformObject, record: dict) -> dict:
    if "status" in record:
        return record["status"]
    return stored.status


def _to_dict(value: Any) -> dict:
    return value if type(value) is dict else {}


def _split_address(text: str) -> tuple[str, int]:
    address, _, port = text.rpartition(":")
    if not address:
        raise ValueError(f"{text!r} is not ADDRESS:PORT")
    number = int(port)
    if not 0 < number <= MAX_PORT:
        raise ValueError(f"{text!r} has no valid port")
    return address, number
