"""Tracks how each region's capacity limit is shared by its pools."""

from radishstile.configuration.document import Configuration
from radishstile.daemon.resources import SlotsResource
from radishstile.region.capacity import RegionShare, split_capacity
from radishstile.region.settings import RegionSettings


class RegionShares:
    """Tracks the share of every pool, also of those owned elsewhere.

    A host that becomes owner of a pool goes on with the share that the
    previous owner had, so a growing share waits just as long after a change
    of owner. A pool that is added beside others starts at zero, as theirs
    have to shrink first.
    """

    __slots__ = ("_settings", "_shares", "_active")

    def __init__(self, settings: RegionSettings):
        self._settings = settings
        self._shares: dict[str, RegionShare] = {}
        self._active: set[str] = set()

    def apply(self, configuration: Configuration, now: float) -> None:
        """Apply the capacities and upstreams of a configuration."""
        before = self._active
        self._active = set()
        for region in configuration.regions:
            slots = list_region_slots(configuration, region)
            capacity = configuration.capacities.get(region)
            shares = {}
            if capacity is not None:
                shares = split_capacity(capacity, slots)
            self._active |= slots.keys()
            for name in slots:
                share = self.find(name)
                if before and name not in before and capacity is not None:
                    share.apply(0, now)
                share.apply(shares.get(name), now)
        for name in before - self._active:
            if self.find(name).get_limit(now) is not None:
                self.find(name).apply(0, now)

    def find(self, name: str) -> RegionShare:
        """Return the share of one resource."""
        if name not in self._shares:
            self._shares[name] = RegionShare(self._settings)
        return self._shares[name]


def list_region_slots(
    configuration: Configuration, region: str | None
) -> dict[str, int]:
    """Return the number of slots of each resource in a region."""
    slots: dict[str, int] = {}
    for upstream in configuration.upstreams.values():
        if configuration.zones[upstream.zone] != region:
            continue
        name = SlotsResource(upstream.group, upstream.zone).name
        slots[name] = slots.get(name, 0) + upstream.slots
    return slots
