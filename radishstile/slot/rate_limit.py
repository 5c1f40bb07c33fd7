"""The rate of requests that an upstream takes from all hosts together."""

import math

from radishstile.workspace.bucket import TokenBucket

# Time in which unused tokens accrue, in seconds, and the least of them that a
# scheduler can save. In four seconds an upstream gets at most what its limit
# allows in 4.5, and one request for each scheduler.
BURST_S = 0.5
MIN_BURST = 1.0


class RateLimit:
    """The part of an upstream's rate that one scheduler may use.

    The upstream names the rate in its answers, in requests a second, for as
    long as it holds. Each scheduler uses the part of it that its slots are of
    the upstream's, so all together keep it without asking each other.
    """

    __slots__ = ("per_s", "_named_at", "_heard_at", "_share", "_bucket")

    def __init__(self, now: float):
        self.per_s = math.inf
        # Time at which a limit was named last, and that of the last answer.
        self._named_at = float("-inf")
        self._heard_at = float("-inf")
        self._share = 0.0
        self._bucket = TokenBucket(0.0, MIN_BURST, now)

    @property
    def is_limited(self) -> bool:
        """Return whether the upstream has named a limit."""
        return self.per_s < math.inf

    def record(self, per_s: float, sent_at: float, now: float) -> bool:
        """Apply what the answer to a request sent at a time has named.

        Infinity stands for no limit; it ends a limit only if the request was
        sent after the limit was named last. Returns whether the limit
        changed.
        """
        if per_s == math.inf and sent_at < self._named_at:
            return False
        self._heard_at = now
        if per_s < math.inf:
            self._named_at = now
        if per_s == self.per_s:
            return False
        self.per_s = per_s
        self._bucket.refill(now)
        self._resize()
        return True

    def was_named(self, since: float) -> bool:
        """Return whether a limit was ever named, and an answer came since."""
        return self._named_at > float("-inf") and self._heard_at >= since

    def resize(self, share: float) -> None:
        """Set the part of the rate that may be used, from 0 to 1."""
        self._share = min(1.0, share)
        self._resize()

    def has_token(self, now: float) -> bool:
        """Return whether one more request may be sent now."""
        if not self.is_limited:
            return True
        self._bucket.refill(now)
        return self._bucket.level >= 1

    def take(self, now: float) -> None:
        """Count a request."""
        if self.is_limited:
            self._bucket.refill(now)
            self._bucket.take(1.0)

    def estimate_wait(self, ahead: float, now: float) -> float:
        """Return the seconds until a request with some ahead may be sent."""
        if not self.is_limited:
            return 0.0
        self._bucket.refill(now)
        rate = self._bucket.rate_per_s
        missing = ahead + 1.0 - self._bucket.level
        if missing <= 0:
            return 0.0
        return missing / rate if rate > 0 else math.inf

    def _resize(self) -> None:
        """Set the rate; tokens accrue with it from the last refill on."""
        if self.is_limited:
            rate = self.per_s * self._share
            self._bucket.rate_per_s = rate
            self._bucket.burst = max(MIN_BURST, rate * BURST_S)
