"""Call counters and rate limits of the stand-in store."""

from enum import Enum


class CallKind(Enum):
    """Kind of a call to the store."""

    READ = "reads"
    WRITE = "writes"
    WATCH = "watches"
    LIST = "lists"


class CallCounts:
    """Accepted calls by kind and by object name, and rejected calls."""

    __slots__ = ("kinds", "refused", "by_name")

    def __init__(self):
        self.kinds = dict.fromkeys(CallKind, 0)
        self.refused = 0
        self.by_name: dict[str, int] = {}

    def add(self, kind: CallKind, name: str) -> None:
        """Count an accepted call."""
        self.kinds[kind] += 1
        self.by_name[name] = self.by_name.get(name, 0) + 1

    def to_record(self) -> dict:
        """Return the counts as a JSON object."""
        kinds = {kind.value: count for kind, count in self.kinds.items()}
        return {**kinds, "refused": self.refused, "by_name": self.by_name}


class FixedWindowLimiter:
    """Rate limiter with a fixed window of one second of the clock."""

    __slots__ = ("_limit_per_s", "_window", "_used")

    def __init__(self, limit_per_s: int):
        self._limit_per_s = limit_per_s
        self._window = -1
        self._used = 0

    def try_acquire(self, now: float) -> bool:
        """Return whether the window of `now` allows one more call."""
        if int(now) != self._window:
            self._window = int(now)
            self._used = 0
        if self._used >= self._limit_per_s:
            return False
        self._used += 1
        return True
