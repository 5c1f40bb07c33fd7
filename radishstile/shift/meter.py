"""Averages the load of an upstream group over report intervals."""


class LoadMeans:
    """Mean free slots, requests in flight and queued, of one interval."""

    __slots__ = ("free", "in_flight", "queued")

    def __init__(self, free: float, in_flight: float, queued: float):
        self.free = free
        self.in_flight = in_flight
        self.queued = queued


class LoadMeter:
    """Averages samples of one group's load over an interval.

    In a single sample, a few slots are often full by chance, and a move's
    controller would consider the target hot.
    """

    __slots__ = ("_free", "_in_flight", "_queued", "_count", "_means")

    def __init__(self):
        self._means: LoadMeans | None = None
        self._reset()

    def _reset(self) -> None:
        self._free = 0
        self._in_flight = 0
        self._queued = 0
        self._count = 0

    def add(self, free: int, in_flight: int, queued: int) -> None:
        """Add one sample, in requests."""
        self._free += free
        self._in_flight += in_flight
        self._queued += queued
        self._count += 1

    def end_interval(self) -> None:
        """Compute the means of the samples since the last call."""
        if not self._count:
            return
        self._means = LoadMeans(
            self._free / self._count,
            self._in_flight / self._count,
            self._queued / self._count,
        )
        self._reset()

    @property
    def means(self) -> LoadMeans | None:
        """Return the means of the last complete interval, or None."""
        return self._means
