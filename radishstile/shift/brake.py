"""Slows a move whose target is hot without a published step."""

from radishstile.shift.settings import ShiftSettings

EASE_FACTOR = 1.25


class Brake:
    """A rate below a move's cap, in requests a second.

    The move's home can put it in force at once and without the store, while
    a published step needs both the store and the TTL of callers' answers.
    """

    __slots__ = ("rate_per_s", "_pace_s", "_changed_at")

    def __init__(self, rate_per_s: float, settings: ShiftSettings):
        self.rate_per_s = rate_per_s
        self._pace_s = settings.step_back_pace_s
        self._changed_at = float("-inf")

    def tighten(self, part: float, now: float) -> bool:
        """Take off `part` of the rate; return whether it was time to."""
        return self._scale(1 - part, now)

    def ease(self, now: float) -> bool:
        """Raise the rate a little; return whether it was time to."""
        return self._scale(EASE_FACTOR, now)

    def _scale(self, factor: float, now: float) -> bool:
        if now - self._changed_at < self._pace_s:
            return False
        self.rate_per_s *= factor
        self._changed_at = now
        return True
