"""Settings of the peer streams, passed whole to clients and servers."""

PART_LIMIT_BYTES = 65_536

_DEFAULTS = {
    "connect_timeout_s": 3.0,
    "handshake_timeout_s": 5.0,
    "backoff_min_s": 0.1,
    "backoff_max_s": 5.0,
    "stop_timeout_s": 30.0,
    "credit_parts": 16,
    "part_bytes": PART_LIMIT_BYTES,
    "exchange_limit": 4096,
}


class WireSettings:
    """The fleet's secret, time limits and windows of peer streams.

    `credit_parts` is the number of unread parts that an exchange may hold,
    `part_bytes` the size that bodies are cut to, and `exchange_limit` the
    number of handlers that one connection may have running.
    """

    __slots__ = ("fleet_secret", *_DEFAULTS)

    fleet_secret: bytes
    connect_timeout_s: float
    handshake_timeout_s: float
    backoff_min_s: float
    backoff_max_s: float
    stop_timeout_s: float
    credit_parts: int
    part_bytes: int
    exchange_limit: int

    def __init__(self, fleet_secret: bytes, **values):
        unknown = values.keys() - _DEFAULTS.keys()
        if unknown:
            raise TypeError(f"unknown wire settings: {sorted(unknown)}")
        self.fleet_secret = fleet_secret
        for name, default in _DEFAULTS.items():
            setattr(self, name, values.get(name, default))

    def __repr__(self) -> str:
        return f"WireSettings(credit_parts={self.credit_parts})"
