"""Settings of the peer connections."""

PART_LIMIT_BYTES = 65_536


class WireSettings:
    """The fleet's secret, and the limits of peer connections.

    Times are in seconds. `credit_parts` is the number of unread parts that an
    exchange may hold, `part_bytes` the size of the parts of a body, and
    `exchange_limit` the number of running handlers of one connection.
    A connection without other frames carries one each `keepalive_s`; one that
    nothing has come from for `silence_timeout_s` is aborted.
    """

    __slots__ = (
        "fleet_secret",
        "connect_timeout_s",
        "handshake_timeout_s",
        "backoff_min_s",
        "backoff_max_s",
        "stop_timeout_s",
        "credit_parts",
        "part_bytes",
        "exchange_limit",
        "keepalive_s",
        "silence_timeout_s",
    )

    def __init__(
        self,
        fleet_secret: str,
        connect_timeout_s: float = 3.0,
        handshake_timeout_s: float = 5.0,
        backoff_min_s: float = 0.1,
        backoff_max_s: float = 5.0,
        stop_timeout_s: float = 30.0,
        credit_parts: int = 16,
        part_bytes: int = PART_LIMIT_BYTES,
        exchange_limit: int = 4096,
        keepalive_s: float = 2.0,
        silence_timeout_s: float = 6.0,
    ):
        self.fleet_secret = fleet_secret.encode()
        self.connect_timeout_s = connect_timeout_s
        self.handshake_timeout_s = handshake_timeout_s
        self.backoff_min_s = backoff_min_s
        self.backoff_max_s = backoff_max_s
        self.stop_timeout_s = stop_timeout_s
        self.credit_parts = credit_parts
        self.part_bytes = part_bytes
        self.exchange_limit = exchange_limit
        self.keepalive_s = keepalive_s
        self.silence_timeout_s = silence_timeout_s

    def __repr__(self) -> str:
        return f"WireSettings(credit_parts={self.credit_parts})"
