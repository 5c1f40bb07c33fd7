"""Recent values of a variable, for answers with a replication lag."""

from bisect import bisect_right

RETENTION_S = 120.0


class History:
    """Timestamped values of a variable; times are in seconds."""

    __slots__ = ("_times", "_values")

    def __init__(self, now: float, value):
        self._times = [now]
        self._values = [value]

    @property
    def current(self):
        """Return the newest value."""
        return self._values[-1]

    def record(self, now: float, value) -> None:
        """Set the value from `now` on."""
        self._times.append(now)
        self._values.append(value)
        self._prune(now - RETENTION_S)

    def get(self, at: float):
        """Return the value at time `at`, or the oldest one kept."""
        index = bisect_right(self._times, at) - 1
        return self._values[max(index, 0)]

    def _prune(self, before: float) -> None:
        first = max(bisect_right(self._times, before) - 1, 0)
        del self._times[:first]
        del self._values[:first]
