"""Counts the calls to the store and records when it was last reached."""

from enum import Enum


class CallKind(Enum):
    """Kind of a call to the store."""

    READ = "read"
    WRITE = "write"
    WATCH = "watch"
    LIST = "list"


class StoreCallCounters:
    """Counts of calls by kind and of failed calls, and the last answered call.

    `last_reached_at` is the loop time, in seconds, at which the last answered
    call was sent, or minus infinity before the first one.
    """

    __slots__ = (
        "reads",
        "writes",
        "watches",
        "lists",
        "failed",
        "_last_reached_at",
    )

    def __init__(self):
        self.reads = 0
        self.writes = 0
        self.watches = 0
        self.lists = 0
        self.failed = 0
        self._last_reached_at = float("-inf")

    @property
    def last_reached_at(self) -> float:
        """Return when the last answered call was sent."""
        return self._last_reached_at

    def record_call(self, kind: CallKind) -> None:
        """Count a call of `kind` that is about to be sent."""
        counter = _COUNTERS[kind]
        setattr(self, counter, getattr(self, counter) + 1)

    def record_answer(self, began_at: float) -> None:
        """Record that the call sent at `began_at` was answered."""
        self._last_reached_at = max(self._last_reached_at, began_at)

    def record_failure(self) -> None:
        """Count a call that got no usable answer."""
        self.failed += 1


_COUNTERS = {
    CallKind.READ: "reads",
    CallKind.WRITE: "writes",
    CallKind.WATCH: "watches",
    CallKind.LIST: "lists",
}
