"""The slots lent to other regions and borrowed from them.

A slot is with its own region or with one borrower. The book changes the slots
of upstreams; the scheduler divides and grants them.
"""

import math

from radishstile.slot.lending import RegionLoad
from radishstile.slot.ranking import Ranking
from radishstile.slot.service import ServiceState
from radishstile.slot.upstream import UpstreamState

# Time in which the hosts of a region follow a new leader, in seconds. Until
# then its share is too small for the loans that it continues.
ADOPTION_S = 2.0

# Smallest part of an upstream's slots that counts as usable when they are
# lent, so that a loan takes no more than ten times the slots.
MIN_USABLE_SHARE = 0.1


class LoanBook:
    """Loans of one scheduler; times are the event loop's, in seconds.

    `services` are the scheduler's, which adds to them.
    """

    __slots__ = (
        "_region",
        "_services",
        "_upstreams",
        "_adopted_until",
        "_failed_slots",
    )

    def __init__(self, region: str, services: dict[str, ServiceState]):
        self._region = region
        self._services = services
        self._upstreams: dict[str, UpstreamState] = {}
        # The time until which each region keeps an adopted loan.
        self._adopted_until: dict[str, float] = {}
        # Slots of the region's upstreams that failed, by service.
        self._failed_slots: dict[str, int] = {}

    def replace_upstreams(self, kept: dict[str, UpstreamState]) -> None:
        """Replace the set of upstreams, by id."""
        self._count_failed(kept)
        self._upstreams = kept

    def _count_failed(self, kept: dict[str, UpstreamState]) -> None:
        """Count the local slots that are lost as their upstreams failed."""
        for upstream in self._upstreams.values():
            is_lost = kept.get(upstream.upstream_id) is not upstream
            if (
                is_lost
                and upstream.is_unreachable
                and self._is_local(upstream)
            ):
                service = upstream.registration.service
                slots = self._failed_slots.get(service, 0)
                self._failed_slots[service] = slots + upstream.allotted

    def take_failed_slots(self) -> dict[str, int]:
        """Return the local slots lost by failures since the last call.

        Upstreams that leave as planned are reachable to their end.
        """
        failed, self._failed_slots = self._failed_slots, {}
        return failed

    def set_short(self, service: str, is_short: bool) -> None:
        """Set whether all regions together lack slots of a service."""
        state = self._services.get(service)
        if state is not None:
            state.is_short = is_short

    def measure_loads(self, weight: float) -> dict[str, RegionLoad]:
        """Return the region's demand and capacity by service, in slots."""
        loads: dict[str, RegionLoad] = {}
        for name, state in self._services.items():
            loads[name] = RegionLoad(state.estimate_demand(), 0.0, weight)
        for upstream in self._upstreams.values():
            if not self._is_local(upstream):
                continue
            name = upstream.registration.service
            load = loads.setdefault(name, RegionLoad(None, 0.0, weight))
            slots = upstream.capacity + sum(upstream.lent.values())
            load.capacity += slots * upstream.usable_share
        return loads

    def lend(
        self, service: str, region: str, wanted: float, now: float
    ) -> dict[str, int]:
        """Lend slots to another region and return their number by upstream.

        Replaces the region's previous loan. `wanted` are slots that can be
        kept busy; of upstreams with a rate limit more are lent. Upstreams are
        used in the same order each time, so that the region keeps finding
        cached objects.
        """
        is_adopted = now < self._adopted_until.get(region, float("-inf"))
        lent: dict[str, int] = {}
        for upstream in self._rank_local(service).order(region):
            held = upstream.lent.pop(region, 0)
            upstream.resize()
            free = max(upstream.capacity, held if is_adopted else 0)
            usable_share = max(MIN_USABLE_SHARE, upstream.usable_share)
            slots = min(math.ceil(wanted / usable_share), free)
            if slots > 0 and not upstream.is_cold(now):
                upstream.lent[region] = slots
                upstream.resize()
                lent[upstream.upstream_id] = slots
                wanted -= slots * usable_share
        return lent

    def adopt(self, region: str, held: dict[str, int], now: float) -> None:
        """Continue the loan of a previous leader, given by upstream.

        Its slots are not among those of the hosts that still follow that
        leader, so they don't depend on this scheduler's share.
        """
        self._adopted_until[region] = now + ADOPTION_S
        for upstream_id, slots in held.items():
            upstream = self._upstreams.get(upstream_id)
            if upstream is not None and self._is_local(upstream):
                upstream.lent[region] = min(slots, upstream.registration.slots)
                upstream.resize()

    def count_lent(self, service: str, region: str) -> float:
        """Return the usable slots of a service that a region has borrowed."""
        return sum(
            u.lent[region] * u.usable_share
            for u in self._upstreams.values()
            if u.registration.service == service and region in u.lent
        )

    def list_borrowed(self, region: str) -> dict[str, int]:
        """Return the slots borrowed from a region, by upstream."""
        return {
            u.upstream_id: u.borrowed
            for u in self._upstreams.values()
            if u.registration.region == region and u.borrowed
        }

    def end(self, region: str) -> None:
        """End the loan of all slots that a region has borrowed."""
        for upstream in self._upstreams.values():
            upstream.lent.pop(region, None)

    def borrow(self, region: str, slots: dict[str, int]) -> None:
        """Replace the slots borrowed from a region, given by upstream.

        No more are used than the upstream has.
        """
        for upstream in self._upstreams.values():
            if upstream.registration.region == region:
                lent = slots.get(upstream.upstream_id, 0)
                upstream.borrowed = min(lent, upstream.registration.slots)

    def _rank_local(self, service: str) -> Ranking:
        return Ranking(
            (
                u
                for u in self._upstreams.values()
                if self._is_local(u) and u.registration.service == service
            ),
            self._region,
        )

    def _is_local(self, upstream: UpstreamState) -> bool:
        return upstream.registration.region == self._region
