"""Log formats: plain text or JSON.

Each message begins with the name of its component, as in `peers: `.
"""

import json
import logging
import sys

from radishstile.daemon.settings import LogSettings

ROOT_LOGGER = "radishstile"


class TextFormatter(logging.Formatter):
    """Formats time, level, host and message as plain text."""

    __slots__ = ("_host",)

    def __init__(self, host: str):
        super().__init__()
        self._host = host

    def format(self, record: logging.LogRecord) -> str:
        """Return one line of text."""
        time = self.formatTime(record, "%Y-%m-%dT%H:%M:%S")
        line = f"{time} {record.levelname} {self._host} {record.getMessage()}"
        if record.exc_info:
            line += "\n" + self.formatException(record.exc_info)
        return line


class JsonFormatter(logging.Formatter):
    """Formats each record as one line of JSON."""

    __slots__ = ("_host",)

    def __init__(self, host: str):
        super().__init__()
        self._host = host

    def format(self, record: logging.LogRecord) -> str:
        """Return one line of JSON."""
        component, _, text = record.getMessage().partition(": ")
        fields = {
            "time": self.formatTime(record, "%Y-%m-%dT%H:%M:%S"),
            "level": record.levelname,
            "host": self._host,
            "part": component,
            "message": text,
        }
        if record.exc_info:
            fields["error"] = self.formatException(record.exc_info)
        return json.dumps(fields)


def configure_logging(settings: LogSettings, host: str) -> None:
    """Send this package's log lines to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    formatter = JsonFormatter if settings.format == "json" else TextFormatter
    handler.setFormatter(formatter(host))
    logger = logging.getLogger(ROOT_LOGGER)
    logger.handlers = [handler]
    logger.setLevel(settings.level)
    logger.propagate = False
