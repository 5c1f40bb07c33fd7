"""Rendezvous hashing: orders a service's upstreams for each object."""

from collections.abc import Iterable

import xxhash

from radishstile.slot.upstream import UpstreamState

# Limit of cached orders; deployments have some hundreds of objects a service.
MAX_CACHED_ORDERS = 4096


class Ranking:
    """Rendezvous-hash orders of a fixed set of upstreams.

    The order depends on nothing else, so a new scheduler sends an object to
    the same upstream as its predecessor. Of the upstreams in `region`, those
    in the claim's zone come first, because traffic between zones is billed.
    They trade positions only with others of the region, so that the share of
    requests that run in other regions doesn't change.
    """

    __slots__ = ("upstreams", "_region", "_seeds", "_orders")

    def __init__(self, upstreams: Iterable[UpstreamState], region: str):
        self._region = region
        self.upstreams = sorted(upstreams, key=lambda u: u.upstream_id)
        self._seeds = [
            xxhash.xxh3_64_intdigest(u.upstream_id.encode())
            for u in self.upstreams
        ]
        self._orders: dict[tuple[str, str], list[UpstreamState]] = {}

    def matches(self, upstreams: list[UpstreamState]) -> bool:
        """Return whether the ranking has exactly these upstreams."""
        ordered = sorted(upstreams, key=lambda u: u.upstream_id)
        if len(ordered) != len(self.upstreams):
            return False
        pairs = zip(ordered, self.upstreams, strict=True)
        return all(a is b for a, b in pairs)

    def order(self, object_key: str, zone: str = "") -> list[UpstreamState]:
        """Return the upstreams, the best for the object first.

        `zone` is the claiming host's zone; an empty one prefers no zone.
        """
        order = self._orders.get((object_key, zone))
        if order is None:
            order = self._put_zone_first(
                zone, self._make_order(object_key.encode())
            )
            if len(self._orders) >= MAX_CACHED_ORDERS:
                self._orders.clear()
            self._orders[object_key, zone] = order
        return order

    def _put_zone_first(
        self, zone: str, order: list[UpstreamState]
    ) -> list[UpstreamState]:
        local = [u for u in order if u.registration.region == self._region]
        local.sort(key=lambda upstream: upstream.registration.zone != zone)
        local_order = iter(local)
        return [
            next(local_order) if u.registration.region == self._region else u
            for u in order
        ]

    def _make_order(self, key: bytes) -> list[UpstreamState]:
        scores = {
            upstream.upstream_id: xxhash.xxh3_64_intdigest(key, seed)
            for upstream, seed in zip(self.upstreams, self._seeds, strict=True)
        }
        return sorted(
            self.upstreams, key=lambda u: scores[u.upstream_id], reverse=True
        )
