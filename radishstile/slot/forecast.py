"""Forecast of when each waiting claim starts, in the order of service."""

import heapq
from collections.abc import Iterable

from radishstile.slot.claim import Claim
from radishstile.slot.upstream import UpstreamState


class Forecast:
    """The times until each slot of a service is free, in seconds.

    Each claim that is placed occupies a slot for its expected time.
    """

    __slots__ = ("_free", "_upstreams")

    def __init__(self, upstreams: Iterable[UpstreamState], now: float):
        self._free: dict[str, list[float]] = {}
        self._upstreams: dict[str, UpstreamState] = {}
        for upstream in upstreams:
            remaining = upstream.list_remaining(now)
            if remaining:
                heapq.heapify(remaining)
                self._free[upstream.upstream_id] = remaining
                self._upstreams[upstream.upstream_id] = upstream

    def has(self, upstream: UpstreamState) -> bool:
        """Return whether an upstream has slots."""
        return self._upstreams.get(upstream.upstream_id) is upstream

    def find_first(self, claim: Claim) -> str:
        """Return the id of the upstream that is free first, or ""."""
        first, first_s = "", float("inf")
        is_limited = bool(claim.excluded or claim.regions)
        for upstream_id, free in self._free.items():
            if free[0] >= first_s:
                continue
            if is_limited and not self._upstreams[upstream_id].accepts(claim):
                continue
            first, first_s = upstream_id, free[0]
        return first

    def get_start(self, upstream_id: str) -> float:
        """Return the seconds until an upstream's first slot is free."""
        return self._free[upstream_id][0] if upstream_id else float("inf")

    def occupy(self, upstream_id: str, work_s: float) -> None:
        """Occupy the first slot to be free for some seconds."""
        free = self._free[upstream_id]
        heapq.heapreplace(free, free[0] + work_s)
