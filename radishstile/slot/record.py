"""The record of a slot scheduler, which its successor restores."""


class CacheRecord:
    """The objects that one incarnation of an upstream has probably cached.

    `started_at_ms` is that of the registration. `object_keys` are in the order
    of their last run, the latest at the end.
    """

    __slots__ = ("upstream_id", "started_at_ms", "object_keys")

    def __init__(
        self, upstream_id: str, started_at_ms: int, object_keys: list[str]
    ):
        self.upstream_id = upstream_id
        self.started_at_ms = started_at_ms
        self.object_keys = object_keys

    def __eq__(self, other: object) -> bool:
        return isinstance(other, CacheRecord) and (
            (self.upstream_id, self.started_at_ms, self.object_keys)
            == (other.upstream_id, other.started_at_ms, other.object_keys)
        )

    __hash__ = None

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return the id and start time, as those of a registration."""
        return self.upstream_id, self.started_at_ms


class SchedulerRecord:
    """What a region's scheduler has learned.

    `demands` are the slots that the claims for each service would occupy, and
    `caches` what the upstreams have cached.
    """

    __slots__ = ("demands", "caches")

    def __init__(self, demands: dict[str, float], caches: list[CacheRecord]):
        self.demands = demands
        self.caches = caches

    def __eq__(self, other: object) -> bool:
        return isinstance(other, SchedulerRecord) and (
            (self.demands, self.caches) == (other.demands, other.caches)
        )

    __hash__ = None

    def list_cached(self) -> set[tuple[str, str]]:
        """Return the pairs of upstreams and the objects that they cached."""
        return {
            (cache.upstream_id, key)
            for cache in self.caches
            for key in cache.object_keys
        }
