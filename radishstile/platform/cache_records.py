"""Encodes what the upstreams of a region have cached for the store."""

from typing import Any

from radishstile.platform.objects import PlatformObject
from radishstile.platform.registrations import MalformedEntryError
from radishstile.slot.cache_record import CacheRecord

# Kind of the stored objects, one for each region. Only entry hosts use it.
CACHE_KIND = "entry-caches"


def encode_caches(records: list[CacheRecord]) -> dict:
    """Return the spec for records; each object key is written once."""
    numbers: dict[str, int] = {}
    upstreams = [
        [
            record.upstream_id,
            record.started_at_ms,
            [numbers.setdefault(k, len(numbers)) for k in record.object_keys],
        ]
        for record in records
    ]
    return {"keys": list(numbers), "upstreams": upstreams}


def decode_caches(stored: PlatformObject) -> list[CacheRecord]:
    """Return the stored records; raises `MalformedEntryError`."""
    try:
        keys = stored.spec["keys"]
        return [
            CacheRecord(
                _require_type(str, upstream_id),
                _require_type(int, started_at_ms),
                [_require_type(str, keys[number]) for number in numbers],
            )
            for upstream_id, started_at_ms, numbers in stored.spec["upstreams"]
        ]
    except (IndexError, KeyError, TypeError, ValueError) as error:
        raise MalformedEntryError(
            f"{CACHE_KIND}/{stored.name}: {type(error).__name__}: {error}"
        ) from error


def _require_type(kind: type, value: Any) -> Any:
    if type(value) is not kind:
        raise TypeError(f"expected {kind.__name__}, found {value!r}")
    return value
