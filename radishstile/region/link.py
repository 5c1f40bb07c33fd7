"""Rate limit of one host on a link between two regions."""

import math

from radishstile.region.settings import BYTES_PER_MBIT, RegionSettings


class LinkBudget:
    """Token bucket of a host's share of a link; it delays and never refuses.

    `share` is the fraction of the link that this host may use, from 0 to 1.
    """

    __slots__ = (
        "_settings",
        "_rate_bytes_per_s",
        "_tokens_bytes",
        "_refilled_at",
        "_sent_bytes_per_s",
        "_measured_at",
    )

    def __init__(
        self,
        settings: RegionSettings,
        mbit_per_s: float,
        share: float,
        now: float,
    ):
        self._settings = settings
        self._rate_bytes_per_s = mbit_per_s * BYTES_PER_MBIT * share
        self._tokens_bytes = self._burst_bytes
        self._refilled_at = now
        self._sent_bytes_per_s = 0.0
        self._measured_at = now

    @property
    def _burst_bytes(self) -> float:
        return self._rate_bytes_per_s * self._settings.link_burst_s

    def apply_rate(self, mbit_per_s: float, share: float, now: float) -> None:
        """Apply a changed rate of the link or share of this host."""
        self._refill(now)
        self._rate_bytes_per_s = mbit_per_s * BYTES_PER_MBIT * share
        self._tokens_bytes = min(self._tokens_bytes, self._burst_bytes)

    def reserve(self, size_bytes: int, now: float) -> float:
        """Reserve `size_bytes` and return the seconds to wait before sending.

        The wait includes the reservations before it, so that concurrent
        senders together stay within the rate. If the host has no share, it is
        infinite and nothing is reserved.
        """
        self._refill(now)
        if self._rate_bytes_per_s <= 0:
            return math.inf
        self._tokens_bytes -= size_bytes
        window_s = self._settings.headroom_window_s
        self._sent_bytes_per_s = (
            self._get_sent_rate(now) + size_bytes / window_s
        )
        self._measured_at = now
        return max(0.0, -self._tokens_bytes / self._rate_bytes_per_s)

    def measure_headroom(self, now: float) -> float:
        """Return the unused fraction of this host's share, from 0 to 1."""
        self._refill(now)
        if self._rate_bytes_per_s <= 0 or self._tokens_bytes < 0:
            return 0.0
        return max(0.0, 1 - self._get_sent_rate(now) / self._rate_bytes_per_s)

    def _get_sent_rate(self, now: float) -> float:
        window_s = self._settings.headroom_window_s
        return self._sent_bytes_per_s * math.exp(
            (self._measured_at - now) / window_s
        )

    def _refill(self, now: float) -> None:
        added_bytes = (now - self._refilled_at) * self._rate_bytes_per_s
        self._tokens_bytes = min(
            self._burst_bytes, self._tokens_bytes + added_bytes
        )
        self._refilled_at = now
