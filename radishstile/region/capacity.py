"""Shares of a region's limit of requests in flight."""

from radishstile.region.settings import RegionSettings


def split_capacity(capacity: int, slots: dict[str, int]) -> dict[str, int]:
    """Return integer shares of `capacity`, in proportion to `slots`.

    `slots` maps a pool's resource name to its number of slots. The sum of the
    shares is `capacity`, or the number of slots if that is less. It uses the
    largest remainder method with ties broken by name, so that every host
    derives the same shares from the same configuration.
    """
    total = sum(slots.values())
    if total <= capacity:
        return dict(slots)
    shares = {name: capacity * count // total for name, count in slots.items()}
    remainder = capacity - sum(shares.values())
    by_remainder = sorted(
        slots, key=lambda name: (-(capacity * slots[name] % total), name)
    )
    for name in by_remainder[:remainder]:
        shares[name] += 1
    return shares


class RegionShare:
    """One pool's share of its region's limit.

    A smaller share takes effect at once, a larger one after `grow_delay_s`:
    by then the owners of the shares that became smaller have applied them,
    and the requests that exceeded them have ended.
    """

    __slots__ = (
        "_settings",
        "_limit",
        "_has_limit",
        "_next_limit",
        "_increases_at",
    )

    def __init__(self, settings: RegionSettings):
        self._settings = settings
        self._limit: int | None = None
        self._has_limit = False
        self._next_limit: int | None = None
        self._increases_at = 0.0

    def apply(self, share: int | None, now: float) -> None:
        """Apply the share of a new configuration; None means no limit."""
        current = self.get_limit(now) if self._has_limit else share
        self._has_limit = True
        if share == self._next_limit and now < self._increases_at:
            return
        self._next_limit = share
        if not _is_larger(share, current):
            self._limit = share
            self._increases_at = now
            return
        self._limit = current
        self._increases_at = now + self._settings.grow_delay_s

    def get_limit(self, now: float) -> int | None:
        """Return the current limit, or None if there is none."""
        if now >= self._increases_at:
            self._limit = self._next_limit
        return self._limit

    def find_increase(self, now: float) -> float | None:
        """Return when a pending larger share takes effect, or None."""
        return self._increases_at if now < self._increases_at else None


def _is_larger(share: int | None, current: int | None) -> bool:
    if current is None:
        return False
    return share is None or share > current
