"""Bytes that one host may send over a link between two regions."""

import math

from radishstile.region.settings import BYTES_PER_MBIT, RegionSettings


class LinkBudget:
    """A host's share of a link, kept by pacing and not by refusing.

    `share` is the part of the link that this host may use, from 0 to 1.
    """

    __slots__ = (
        "_settings",
        "_rate",
        "_tokens",
        "_refilled_at",
        "_sent_rate",
        "_sent_at",
    )

    def __init__(
        self,
        settings: RegionSettings,
        mbit_per_s: float,
        share: float,
        now: float,
    ):
        self._settings = settings
        self._rate = mbit_per_s * BYTES_PER_MBIT * share
        self._tokens = self._burst
        self._refilled_at = now
        self._sent_rate = 0.0
        self._sent_at = now

    @property
    def _burst(self) -> float:
        return self._rate * self._settings.link_burst_s

    def apply_rate(self, mbit_per_s: float, share: float, now: float) -> None:
        """Apply a new rate of the link or share of this host."""
        self._refill(now)
        self._rate = mbit_per_s * BYTES_PER_MBIT * share
        self._tokens = min(self._tokens, self._burst)

    def reserve(self, size_bytes: int, now: float) -> float:
        """Take `size_bytes` and return the seconds to wait before sending.

        Each call's wait counts the calls before it, so parts that are sent
        after their waits keep to the rate together. The wait is infinite
        while the host has no share, and then nothing is taken.
        """
        self._refill(now)
        if self._rate <= 0:
            return math.inf
        self._tokens -= size_bytes
        window_s = self._settings.headroom_window_s
        self._sent_rate = self._measure_sent(now) + size_bytes / window_s
        self._sent_at = now
        return max(0.0, -self._tokens / self._rate)

    def measure_headroom(self, now: float) -> float:
        """Return the unused part of this host's share, from 0 to 1."""
        self._refill(now)
        if self._rate <= 0 or self._tokens < 0:
            return 0.0
        return max(0.0, 1 - self._measure_sent(now) / self._rate)

    def _measure_sent(self, now: float) -> float:
        window_s = self._settings.headroom_window_s
        return self._sent_rate * math.exp((self._sent_at - now) / window_s)

    def _refill(self, now: float) -> None:
        gained = (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_at = now
