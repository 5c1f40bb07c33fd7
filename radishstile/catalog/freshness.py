"""Tells whether the configuration in use is known to be the newest.

A revoked key must be rejected by every host within a time limit, also by one
that cannot reach the store. A host therefore accepts keys only while it has a
recent enough confirmation that it had the newest configuration. The clock
must count the time while the host is suspended.
"""

# Share of the revocation time limit after which keys are no longer accepted.
# The rest covers the transit of an answer and the start at the upstream.
ACCEPTED_SHARE = 0.8
# Time after the store was restored in which its answers confirm nothing, in
# seconds: the operator needs it to write again what the backup lacks.
ERA_SETTLE_S = 1.0


class Freshness:
    """The last time at which the configuration was confirmed as the newest.

    Times are in seconds of a clock that counts suspended time.
    """

    __slots__ = ("_limit_s", "_confirmed_at", "_settled_at")

    def __init__(self, revocation_s: float):
        self._limit_s = revocation_s * ACCEPTED_SHARE
        self._confirmed_at = float("-inf")
        # When the store's answers count again after it was restored.
        self._settled_at = float("-inf")

    @property
    def limit_s(self) -> float:
        """Return how old a confirmation may be, in seconds."""
        return self._limit_s

    def confirm(self, called_at: float) -> None:
        """Record that the configuration in use was the newest.

        `called_at` is when the confirming call was sent.
        """
        self._confirmed_at = max(self._confirmed_at, called_at)

    def begin_era(self, now: float) -> None:
        """Record that the store is known to be restored."""
        self._settled_at = now + ERA_SETTLE_S

    def measure_settling(self, now: float) -> float:
        """Return the seconds until the store's answers confirm again."""
        return max(0.0, self._settled_at - now)

    def confirm_by_store(self, called_at: float) -> None:
        """Record that the store had nothing newer than what is in use.

        Soon after it was restored it may lack a newer configuration.
        """
        if called_at >= self._settled_at:
            self.confirm(called_at)

    def measure_age(self, now: float) -> float:
        """Return the seconds since the last confirmation."""
        return now - self._confirmed_at

    def accepts_keys(self, now: float) -> bool:
        """Return whether keys in the configuration may be accepted."""
        return self.measure_age(now) <= self._limit_s
