"""Slow start: limits the usable slots of a cold upstream."""

from radishstile.upstream.settings import UpstreamSettings

ROUNDING_TOLERANCE = 1e-9


class SlowStart:
    """Opens the slots of an upstream one by one.

    Each slot after the first needs time, as the slots open evenly over
    `slow_start_s` seconds, and a number of completed requests.
    """

    __slots__ = (
        "_settings",
        "_slow_start_s",
        "_open_slots",
        "_successes",
        "_advanced_at",
    )

    def __init__(
        self,
        settings: UpstreamSettings,
        slow_start_s: float,
        now: float,
        open_slots: float = 1.0,
    ):
        self._settings = settings
        self._slow_start_s = slow_start_s
        self._open_slots = max(open_slots, 1.0)
        self._successes = int((open_slots - 1) * settings.successes_per_slot)
        self._advanced_at = now

    def advance(self, now: float, slots: int, may_grow: bool) -> None:
        """Open slots for the time since the last call, if `may_grow`."""
        elapsed_s = now - self._advanced_at
        self._advanced_at = now
        if not may_grow:
            return
        if self._slow_start_s <= 0:
            self._open_slots = float(slots)
            return
        earned = 1 + self._successes / self._settings.successes_per_slot
        grown = self._open_slots + elapsed_s * (slots - 1) / self._slow_start_s
        self._open_slots = max(self._open_slots, min(grown, earned + 1))
        self._open_slots = min(self._open_slots, float(slots))

    def record_success(self) -> None:
        """Count a completed request."""
        self._successes += 1

    def back_off(self) -> None:
        """Halve the open slots and the successes that count for them."""
        self._open_slots = max(1.0, self._open_slots / 2)
        per_slot = self._settings.successes_per_slot
        self._successes = int((self._open_slots - 1) * per_slot)

    def count_open(self, slots: int) -> int:
        """Return the number of usable slots, at least one."""
        earned = 1 + self._successes // self._settings.successes_per_slot
        if self._slow_start_s <= 0:
            return max(
                1, min(slots, int(self._open_slots + ROUNDING_TOLERANCE))
            )
        return max(
            1, min(slots, int(self._open_slots + ROUNDING_TOLERANCE), earned)
        )

    def is_complete(self, slots: int) -> bool:
        """Return whether all slots are open."""
        return self.count_open(slots) >= slots

    def find_next_opening(self, slots: int) -> float | None:
        """Return when the next slot opens that has enough successes."""
        earned = 1 + self._successes // self._settings.successes_per_slot
        following = int(self._open_slots + ROUNDING_TOLERANCE) + 1
        if following > min(earned, slots) or self._slow_start_s <= 0:
            return None
        rate = (slots - 1) / self._slow_start_s
        return self._advanced_at + (following - self._open_slots) / rate
