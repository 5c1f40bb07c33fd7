"""Settings of idempotency records, retries and harmful requests."""

SECTION = {
    "type": "object",
    "additionalProperties": False,
    "properties": {
        "partitions": {"type": "integer", "minimum": 1, "default": 4},
        "write_interval_s": {"type": "number", "minimum": 0, "default": 0.125},
        "flush_delay_s": {"type": "number", "minimum": 0, "default": 1.0},
        "record_wait_s": {"type": "number", "minimum": 0, "default": 5.0},
        "retention_s": {"type": "number", "minimum": 1, "default": 3600.0},
        "segment_bytes": {
            "type": "integer",
            "minimum": 1024,
            "maximum": 262144,
            "default": 32768,
        },
        "retry_attempts": {"type": "integer", "minimum": 1, "default": 3},
        "retry_delay_s": {"type": "number", "minimum": 0, "default": 0.05},
        "retry_delay_max_s": {"type": "number", "minimum": 0, "default": 1.0},
        "retry_share": {"type": "number", "minimum": 0, "default": 0.1},
        "retry_tokens_max": {"type": "number", "minimum": 0, "default": 20.0},
        "harm_retention_s": {"type": "number", "minimum": 1, "default": 600.0},
    },
}


class RunSettings:
    """The values of the `[run]` section; times are in seconds."""

    __slots__ = tuple(SECTION["properties"])

    def __init__(self, section: dict | None = None):
        section = section or {}
        for name, rule in SECTION["properties"].items():
            setattr(self, name, section.get(name, rule["default"]))
