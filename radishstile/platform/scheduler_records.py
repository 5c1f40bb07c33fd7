"""Encodes the records of slot schedulers for the store."""

from radishstile.platform.registrations import MalformedEntryError
from radishstile.platform.stored_objects import PlatformObject
from radishstile.platform.values import require_number, require_type
from radishstile.slot.record import CacheRecord, SchedulerRecord

# Kind of the stored objects, one for each region. Only entry hosts use it.
SCHEDULER_KIND = "entry-schedulers"


def encode_scheduler(record: SchedulerRecord) -> dict:
    """Return the spec for a record; each object key is written once."""
    numbers: dict[str, int] = {}
    upstreams = [
        [
            cache.upstream_id,
            cache.started_at_ms,
            [numbers.setdefault(k, len(numbers)) for k in cache.object_keys],
        ]
        for cache in record.caches
    ]
    return {
        "demands": {
            service: round(slots, 2)
            for service, slots in record.demands.items()
        },
        "keys": list(numbers),
        "upstreams": upstreams,
    }


def decode_scheduler(stored: PlatformObject) -> SchedulerRecord:
    """Return the stored record; raises `MalformedEntryError`."""
    try:
        demands = {
            service: require_number(slots)
            for service, slots in stored.spec["demands"].items()
        }
        keys = stored.spec["keys"]
        caches = [
            CacheRecord(
                require_type(str, upstream_id),
                require_type(int, started_at_ms),
                [require_type(str, keys[number]) for number in numbers],
            )
            for upstream_id, started_at_ms, numbers in stored.spec["upstreams"]
        ]
        return SchedulerRecord(demands, caches)
    except (AttributeError, LookupError, TypeError, ValueError) as error:
        raise MalformedEntryError(
            f"{SCHEDULER_KIND}/{stored.name}: {type(error).__name__}: {error}"
        ) from error
