"""Structured logs on standard output, rate limited and non-blocking.

Each line is one JSON object. Failures (level warning or above) are limited
to `FAILURE_LINES_PER_S`, other lines to `OTHER_LINES_PER_S`; the next line
that is written has the number of dropped ones.
"""

import json
import logging
import math
import os
import sys
import time

import orjson

from radishstile.slot.load_report import LoadReport
from radishstile.workspace.bucket import TokenBucket

ROOT_LOGGER = "radishstile"
# Lines per second of a process. A busy host answers some 100 requests per
# second, of which an overloaded one refuses up to half.
FAILURE_LINES_PER_S = 100
OTHER_LINES_PER_S = 20
# Lines per second of events that clients outside the limits cause as often as
# they like, so that they leave space for the lines of other failures.
EVENT_LINES_PER_S = 10
_BOUNDED_EVENTS = (
    "callers: Request not read.",
    "callers: Connections closed for lack of space.",
)
# Attribute of a log record that holds its structured fields.
FIELDS = "fields"


class JsonLinesHandler(logging.Handler):
    """Writes records as JSON lines; drops them if the pipe is full."""

    __slots__ = (
        "dropped",
        "_host",
        "_descriptor",
        "_failures",
        "_others",
        "_events",
        "_reported_dropped",
    )

    def __init__(self, host: str, descriptor: int):
        super().__init__()
        self._host = host
        self._descriptor = descriptor
        # The loop's clock can't be used, as lines are also written before
        # the loop runs and after it.
        now = time.monotonic()
        self._failures = TokenBucket(
            FAILURE_LINES_PER_S, FAILURE_LINES_PER_S, now
        )
        self._others = TokenBucket(OTHER_LINES_PER_S, OTHER_LINES_PER_S, now)
        self._failures.add(FAILURE_LINES_PER_S)
        self._others.add(OTHER_LINES_PER_S)
        self._events = {
            event: TokenBucket(EVENT_LINES_PER_S, EVENT_LINES_PER_S, now)
            for event in _BOUNDED_EVENTS
        }
        for bucket in self._events.values():
            bucket.add(EVENT_LINES_PER_S)
        self.dropped = 0
        self._reported_dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as dropped."""
        if not self._admit(record):
            self.dropped += 1
            return
        try:
            os.write(self._descriptor, self._encode(record))
            self._reported_dropped = self.dropped
        except BlockingIOError:
            # The reader lags; waiting would delay requests.
            self.dropped += 1

    def _admit(self, record: logging.LogRecord) -> bool:
        """Return whether the limits leave space for a line."""
        is_failure = record.levelno >= logging.WARNING
        buckets = [self._failures if is_failure else self._others]
        if record.msg in self._events:
            buckets.append(self._events[record.msg])
        now = time.monotonic()
        for bucket in buckets:
            bucket.refill(now)
        if any(bucket.level < 1 for bucket in buckets):
            return False
        for bucket in buckets:
            bucket.take(1.0)
        return True

    def _encode(self, record: logging.LogRecord) -> bytes:
        component, _, event = record.getMessage().partition(": ")
        line = {
            "time": round(record.created, 3),
            "level": record.levelname,
            "host": self._host,
            "part": component,
            "event": event,
            **getattr(record, FIELDS, {}),
        }
        if self.dropped > self._reported_dropped:
            line["lines_dropped"] = self.dropped - self._reported_dropped
        if record.exc_info:
            line["error"] = logging.Formatter().formatException(
                record.exc_info
            )
        return _dump(line) + b"\n"


def _dump(line: dict) -> bytes:
    """Return a line as JSON, also if a peer's text in it is not UTF-8."""
    try:
        return orjson.dumps(line, default=str)
    except TypeError:
        return json.dumps(line, default=str).encode()


def configure_logging(host: str, level: str = "INFO") -> JsonLinesHandler:
    """Log to standard output, without blocking."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = JsonLinesHandler(host, descriptor)
    logger = logging.getLogger(ROOT_LOGGER)
    logger.handlers = [handler]
    logger.setLevel(level)
    logger.propagate = False
    return handler


def drop_infinity(value: float | None) -> float | None:
    """Return a number for a log line; JSON has no infinity."""
    return None if value == math.inf else value


def describe_load(report: LoadReport | None, now: float) -> dict:
    """Return the fields of a log line for a reported load, if there is one.

    `pace` is 1.0 as usual, and `load_age_s` the report's age in seconds.
    """
    if report is None:
        return {}
    return {
        "pace": report.pace,
        "load_age_s": round(report.measure_age(now), 3),
    }


def log_fields(**fields) -> dict:
    """Return the `extra` argument for structured fields of a log line."""
    return {FIELDS: fields}
