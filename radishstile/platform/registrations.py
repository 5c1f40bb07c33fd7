"""Decodes the registrations of upstreams and hosts in the store."""

from typing import Any

from radishstile.errors import PlatformError
from radishstile.fleet.hosts import RegisteredHost
from radishstile.member import Member
from radishstile.platform.stored_objects import PlatformObject
from radishstile.platform.values import (
    MAX_PORT,
    require_address,
    require_count,
    require_endpoint,
    require_name,
    require_number,
    require_type,
)
from radishstile.upstream.registration import Readiness, Registration

# Kinds of stored objects. Upstreams write the first, the operator the second,
# and entry hosts the third, which the platform itself does not use.
UPSTREAM_KIND = "servers"
EVACUATION_KIND = "evacuations"
HOST_KIND = "entry-hosts"

# Slots of one upstream; messages between hosts hold no larger sums of them.
MAX_SLOTS = 100_000


class MalformedEntryError(PlatformError):
    """A stored registration can't be decoded."""


def decode_upstream(
    stored: PlatformObject, zones: dict[str, str], now: float
) -> Registration:
    """Return the registration of an upstream.

    `zones` maps zones to regions; `now` is the loop time in seconds. Raises
    `MalformedEntryError` if a field is missing or can't be used.
    """
    try:
        # The spec and the status are written by different parties, each with
        # some of the fields; records that upstreams write have all in the
        # spec.
        record = {**_to_dict(stored.status), **_to_dict(stored.spec)}
        info = record["info"]
        status = _find_status(stored, record)
        address, port = require_endpoint(record["address"])
        zone = require_type(str, info["zone"])
        return Registration(
            require_name(stored.name),
            require_type(str, info["service"]),
            address,
            port,
            zone,
            zones[zone],
            require_count(info["slots"], MAX_SLOTS),
            Readiness(status["state"]),
            require_number(status.get("warmup_left_s", 0)),
            require_type(int, record.get("born", 0)),
            now,
        )
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        detail = f"{type(error).__name__}: {error}"
        raise MalformedEntryError(f"{stored.name}: {detail}") from error


def rank_upstream(stored: PlatformObject) -> tuple[int, int, bool] | None:
    """Return what orders the versions of an upstream's registration.

    This is its start, its count of reports since then and whether it drains,
    or None if a field can't be used.
    """
    try:
        record = {**_to_dict(stored.status), **_to_dict(stored.spec)}
        status = _find_status(stored, record)
        return (
            require_type(int, record.get("born", 0)),
            require_type(int, status.get("sequence", 0)),
            Readiness(status["state"]) is Readiness.DRAINING,
        )
    except (AttributeError, KeyError, TypeError, ValueError):
        return None


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

    Raises `MalformedEntryError` if a field is missing or can't be used, or if
    the entry has the name of another host.
    """
    try:
        spec = require_type(dict, stored.spec)
        return RegisteredHost(
            _decode_member(stored.name, spec),
            require_number(spec["cores"]),
            require_number(spec.get("registered_at", 0.0)),
            spec.get("is_stopped", False) is True,
        )
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        raise MalformedEntryError(
            f"{stored.name}: missing or malformed field: {error}"
        ) from error


def _decode_member(name: str, spec: dict) -> Member:
    if spec["host"] != name:
        raise ValueError(f"names the host {spec['host']!r}")
    return Member(
        require_name(name),
        require_type(int, spec["incarnation"]),
        require_name(spec["zone"]),
        require_name(spec["region"]),
        require_address(spec["address"]),
        require_count(spec["peer_port"], MAX_PORT),
        require_count(spec["http_port"], MAX_PORT),
    )


def _find_status(stored: PlatformObject, record: dict) -> dict:
    if "status" in record:
        return record["status"]
    return stored.status


def _to_dict(value: Any) -> dict:
    return value if type(value) is dict else {}
