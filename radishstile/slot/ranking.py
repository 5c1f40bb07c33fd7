"""Orders the upstreams of a service for each object."""

from collections.abc import Iterable

import xxhash

from radishstile.slot.upstream import BookedUpstream

# Orders kept at a time; deployments have some hundreds of objects a service.
CACHE_LIMIT = 4096


class Ranking:
    """Rendezvous orders of a fixed set of upstreams, by object.

    Every book ranks alike, so a new book sends an object to where the old
    one did.
    """

    __slots__ = ("upstreams", "_seeds", "_orders")

    def __init__(self, upstreams: Iterable[BookedUpstream]):
        self.upstreams = sorted(upstreams, key=lambda u: u.upstream_id)
        self._seeds = [
            xxhash.xxh3_64_intdigest(u.upstream_id.encode())
            for u in self.upstreams
        ]
        self._orders: dict[str, list[BookedUpstream]] = {}

    def has(self, upstreams: list[BookedUpstream]) -> bool:
        """Return whether exactly these upstreams are ranked."""
        ordered = sorted(upstreams, key=lambda u: u.upstream_id)
        if len(ordered) != len(self.upstreams):
            return False
        pairs = zip(ordered, self.upstreams, strict=True)
        return all(a is b for a, b in pairs)

    def order(self, object_key: str) -> list[BookedUpstream]:
        """Return the upstreams, the best for the object first."""
        order = self._orders.get(object_key)
        if order is None:
            order = self._make_order(object_key.encode())
            if len(self._orders) >= CACHE_LIMIT:
                self._orders.clear()
            self._orders[object_key] = order
        return order

    def _make_order(self, key: bytes) -> list[BookedUpstream]:
        scores = {
            upstream.upstream_id: xxhash.xxh3_64_intdigest(key, seed)
            for upstream, seed in zip(self.upstreams, self._seeds, strict=True)
        }
        return sorted(
            self.upstreams, key=lambda u: scores[u.upstream_id], reverse=True
        )
