"""Slows a move whose target is hot without a published step."""

from radishstile.shift.settings import ShiftSettings

EASE_PART = 0.1


class Brake:
    """A rate below a move's cap, in requests a second.

    The move's home can put it in force at once and without the store, while
    a published step needs both the store and the TTL of callers' answers.
    The rate falls by a factor and rises by equal parts of the cap, so it
    settles near what the target can take.
    """

    __slots__ = ("rate_per_s", "_pace_s", "_changed_at")

    def __init__(self, rate_per_s: float, settings: ShiftSettings):
        self.rate_per_s = rate_per_s
        self._pace_s = settings.step_back_pace_s
        self._changed_at = float("-inf")

    def tighten(self, part: float, now: float) -> bool:
        """Take off `part` of the rate; return whether it was time to."""
        if not self._is_due(now):
            return False
        self.rate_per_s *= 1 - part
        return True

    def ease(self, cap_per_s: float, now: float) -> bool:
        """Add a part of the cap; return whether it was time to."""
        if not self._is_due(now):
            return False
        self.rate_per_s += EASE_PART * cap_per_s
        return True

    def _is_due(self, now: float) -> bool:
        if now - self._changed_at < self._pace_s:
            return False
        self._changed_at = now
        return True
