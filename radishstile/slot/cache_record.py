"""What a scheduler tells its successor about an upstream's cache."""


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
