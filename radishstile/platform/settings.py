"""Settings of the store's client."""


class PlatformSettings:
    """URL, timeouts and retry limits of the store's client.

    Times are in seconds; `attempts` limits the attempts of one operation,
    which ends within `attempts * (2 * timeout_s + retry_max_s)`.
    """

    __slots__ = (
        "url",
        "timeout_s",
        "watch_wait_s",
        "retry_min_s",
        "retry_max_s",
        "attempts",
    )

    def __init__(
        self,
        url: str,
        timeout_s: float = 2.0,
        watch_wait_s: float = 30.0,
        retry_min_s: float = 0.05,
        retry_max_s: float = 1.0,
        attempts: int = 4,
    ):
        self.url = url
        self.timeout_s = timeout_s
        self.watch_wait_s = watch_wait_s
        self.retry_min_s = retry_min_s
        self.retry_max_s = retry_max_s
        self.attempts = attempts
