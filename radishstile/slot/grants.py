"""Counts of granted slots and of free ones, by service and region."""

from collections import Counter
from collections.abc import Iterable

from radishstile.slot.upstream import UpstreamState

# Part of the recent grants that counts on after a reading: of readings twice a
# second, those of the last two seconds weigh most.
DECAY = 0.75


class GrantCounts:
    """The slots granted since the last reading, by service and region.

    `recent` also has earlier ones, which count less with each reading.
    """

    __slots__ = ("recent", "_counts")

    def __init__(self):
        self.recent: dict[str, dict[str, float]] = {}
        self._counts: dict[str, Counter[str]] = {}

    def record(self, service: str, region: str) -> None:
        """Count a grant of a slot in a region."""
        self._counts.setdefault(service, Counter())[region] += 1

    def take(self) -> dict[str, dict[str, int]]:
        """Return the counts, and start again at zero."""
        counts, self._counts = self._counts, {}
        for service in self.recent.keys() | counts.keys():
            before = self.recent.get(service, {})
            new = counts.get(service, Counter())
            self.recent[service] = {
                region: before.get(region, 0.0) * DECAY + new[region]
                for region in before.keys() | new.keys()
            }
        return {service: dict(regions) for service, regions in counts.items()}


def count_slots(
    upstreams: Iterable[UpstreamState], now: float
) -> dict[str, dict[str, list[int]]]:
    """Return the total and the usable slots by service and region.

    Slots of upstreams that are avoided or suspended are not usable.
    """
    slots: dict[str, dict[str, list[int]]] = {}
    for upstream in upstreams:
        if not upstream.capacity:
            continue
        registration = upstream.registration
        regions = slots.setdefault(registration.service, {})
        counts = regions.setdefault(registration.region, [0, 0])
        counts[0] += upstream.capacity
        if not upstream.is_avoided() and not upstream.is_suspended(now):
            counts[1] += upstream.capacity
    return slots
