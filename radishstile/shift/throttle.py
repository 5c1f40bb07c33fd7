"""Throttles a move to an overloaded target between published steps."""

from radishstile.shift.settings import MoveSettings

RAISE_FRACTION = 0.1


class MoveThrottle:
    """A rate limit below a move's cap, in requests a second.

    The move's owner can enforce it at once and without the store, while a
    published step needs the store and then the TTL of callers' look-up
    answers. The rate decreases by a factor and increases by equal parts of
    the cap, so it settles near what the target can serve.
    """

    __slots__ = ("rate_per_s", "_interval_s", "_changed_at")

    def __init__(self, rate_per_s: float, settings: MoveSettings):
        self.rate_per_s = rate_per_s
        self._interval_s = settings.step_back_pace_s
        self._changed_at = float("-inf")

    def lower(self, fraction: float, now: float) -> bool:
        """Decrease the rate by `fraction`; return False if too early."""
        if not self._start_change(now):
            return False
        self.rate_per_s *= 1 - fraction
        return True

    def increase(self, cap_per_s: float, now: float) -> bool:
        """Add a fraction of the cap; return False if too early."""
        if not self._start_change(now):
            return False
        self.rate_per_s += RAISE_FRACTION * cap_per_s
        return True

    def _start_change(self, now: float) -> bool:
        """Record a change if the interval since the last one has passed."""
        if now - self._changed_at < self._interval_s:
            return False
        self._changed_at = now
        return True
