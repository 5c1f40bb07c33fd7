"""A token bucket whose tokens are reserved first and spent later."""


class TokenBucket:
    """Holds up to `burst` tokens and refills at `rate_per_s` tokens a second.

    A reserved token counts against the cap until it is spent, so that
    queued requests with reserved tokens never exceed the burst.
    """

    __slots__ = ("rate_per_s", "burst", "level", "reserved", "updated_at")

    def __init__(self, rate_per_s: float, burst: float, now: float):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = 0.0
        self.reserved = 0
        self.updated_at = now

    def refill(self, now: float) -> None:
        """Add the tokens accrued since the last call."""
        elapsed_s = max(0.0, now - self.updated_at)
        refilled = self.level + elapsed_s * self.rate_per_s
        self.level = min(self.burst, refilled)
        self.updated_at = max(self.updated_at, now)

    def reserve(self, now: float) -> bool:
        """Reserve one token, or return False when none is free."""
        self.refill(now)
        if self.level - self.reserved < 1:
            return False
        self.reserved += 1
        return True

    def spend(self, now: float) -> None:
        """Remove one reserved token."""
        self.refill(now)
        self.reserved -= 1
        self.level -= 1

    def cancel(self) -> None:
        """Release one reserved token."""
        self.reserved -= 1

    def add(self, tokens: float) -> None:
        """Add tokens from another bucket, up to the cap."""
        self.level = min(self.burst, self.level + tokens)

    def take(self, tokens: float) -> None:
        """Remove tokens, such as those moved to another bucket."""
        self.level -= tokens

    def resize(self, rate_per_s: float, burst: float, now: float) -> float:
        """Set rate and cap; return the tokens removed above the new cap."""
        self.refill(now)
        self.rate_per_s = rate_per_s
        self.burst = burst
        excess = max(0.0, self.level - burst)
        self.level -= excess
        return excess

    def time_until_available(self, tokens: float, now: float) -> float:
        """Return the seconds until refill alone frees `tokens`.

        Returns infinity where the rate is zero or the cap is too low.
        """
        self.refill(now)
        missing = tokens - (self.level - self.reserved)
        if missing <= 0:
            return 0.0
        if self.rate_per_s <= 0 or self.reserved + tokens > self.burst:
            return float("inf")
        return missing / self.rate_per_s
