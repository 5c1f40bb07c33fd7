"""Decodes what upstreams and hosts enter in the store."""

from typing import Any

from radishstile.errors import PlatformError
from radishstile.fleet.hosts import RegisteredHost
from radishstile.member import Member
from radishstile.platform.objects import PlatformObject
from radishstile.upstream.registration import Readiness, Registration

# Kinds of objects. Upstreams and the operator write the first two; hosts
# write the third, which is the project's own.
UPSTREAM_KIND = "servers"
EVACUATION_KIND = "evacuations"
HOST_KIND = "entry-hosts"


class MalformedEntryError(PlatformError):
    """An entry names no upstream or host that can be used."""


def decode_upstream(
    entry: PlatformObject, zones: dict[str, str], now: float
) -> Registration:
    """Return the upstream that an entry describes.

    `zones` maps zones to regions; `now` is the loop's time in seconds.
    Raises `MalformedEntryError` where a field is missing or of another type.
    """
    try:
        # Some fields lie in the spec and some in the status, by who may
        # write them; an upstream's own record has both side by side.
        record = {**_as_table(entry.status), **_as_table(entry.spec)}
        info = record["info"]
        status = _find_status(entry, record)
        address, port = _split_address(_expect(str, record["address"]))
        zone = _expect(str, info["zone"])
        return Registration(
            entry.name,
            _expect(str, info["service"]),
            address,
            port,
            zone,
            zones[zone],
            _expect_positive(info["slots"]),
            Readiness(status["state"]),
            _expect_number(status.get("warmup_left_s", 0)),
            _expect(int, record.get("born", 0)),
            now,
        )
    except (KeyError, TypeError, ValueError) as error:
        detail = f"{type(error).__name__}: {error}"
        raise MalformedEntryError(f"{entry.name}: {detail}") from error


def encode_host(host: RegisteredHost) -> dict:
    """Return the spec of an entry host's entry."""
    return {**host.member.to_record(), "cores": host.cores}


def decode_host(entry: PlatformObject) -> RegisteredHost:
    """Return the entry host that an entry describes.

    Raises `MalformedEntryError`.
    """
    try:
        cores = _expect_number(entry.spec["cores"])
        return RegisteredHost(Member.from_record(entry.spec), cores)
    except (KeyError, TypeError) as error:
        raise MalformedEntryError(f"{entry.name}: {error}") from error


def _find_status(entry: PlatformObject, record: dict) -> dict:
    if "status" in record:
        return record["status"]
    return entry.status


def _as_table(value: Any) -> dict:
    return value if type(value) is dict else {}


def _split_address(text: str) -> tuple[str, int]:
    address, _, port = text.rpartition(":")
    if not address:
        raise ValueError(f"{text!r} is not ADDRESS:PORT")
    return address, int(port)


def _expect(kind: type, value: Any) -> Any:
    if type(value) is not kind:
        raise TypeError(f"expected {kind.__name__}, found {value!r}")
    return value


def _expect_positive(value: Any) -> int:
    if _expect(int, value) < 1:
        raise ValueError(f"expected 1 or more, found {value}")
    return value


def _expect_number(value: Any) -> float:
    if type(value) not in (int, float) or not value >= 0:
        raise TypeError(f"expected a number, found {value!r}")
    return float(value)
