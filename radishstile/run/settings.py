"""Settings of idempotency records, retries and poison requests."""


class RunSettings:
    """Values of the `[runs]` section; times are in seconds."""

    __slots__ = (
        "partitions",
        "write_interval_s",
        "flush_delay_s",
        "record_wait_s",
        "retention_s",
        "segment_bytes",
        "retry_attempts",
        "retry_delay_s",
        "retry_delay_max_s",
        "retry_share",
        "retry_tokens_max",
        "harm_retention_s",
    )

    def __init__(
        self,
        partitions: int = 4,
        write_interval_s: float = 0.125,
        flush_delay_s: float = 1.0,
        record_wait_s: float = 5.0,
        retention_s: float = 3600.0,
        segment_bytes: int = 16_384,
        retry_attempts: int = 3,
        retry_delay_s: float = 0.05,
        retry_delay_max_s: float = 1.0,
        retry_share: float = 0.1,
        retry_tokens_max: float = 20.0,
        harm_retention_s: float = 600.0,
    ):
        self.partitions = partitions
        self.write_interval_s = write_interval_s
        self.flush_delay_s = flush_delay_s
        self.record_wait_s = record_wait_s
        self.retention_s = retention_s
        self.segment_bytes = segment_bytes
        self.retry_attempts = retry_attempts
        self.retry_delay_s = retry_delay_s
        self.retry_delay_max_s = retry_delay_max_s
        self.retry_share = retry_share
        self.retry_tokens_max = retry_tokens_max
        self.harm_retention_s = harm_retention_s
