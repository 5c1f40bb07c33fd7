"""A retry budget: retries may be only a share of successful requests."""

from radishstile.run.settings import RunSettings

OVERLOAD_FACTOR = 0.5


class RetryBudget:
    """Counts retry tokens: a success adds a share, a retry spends one."""

    __slots__ = ("settings", "_tokens")

    def __init__(self, settings: RunSettings):
        self.settings = settings
        self._tokens = settings.retry_tokens_max

    @property
    def tokens(self) -> float:
        """Return the available tokens; a retry needs a whole one."""
        return self._tokens

    def record_success(self) -> None:
        """Add `retry_share` tokens, up to the cap."""
        tokens = self._tokens + self.settings.retry_share
        self._tokens = min(tokens, self.settings.retry_tokens_max)

    def record_overload(self) -> None:
        """Discard part of the tokens after a sign of overload."""
        self._tokens *= OVERLOAD_FACTOR

    def try_take(self) -> bool:
        """Spend one token; return False if none is available."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
