"""The load offered to one host, by route and region of the client."""

_SMOOTHING_FACTOR = 0.2


class OfferedLoads:
    """Counts requests; smooths their rates over report intervals."""

    __slots__ = ("_counts", "_rates", "_interval_start")

    def __init__(self):
        self._counts: dict[tuple[str, str], int] = {}
        self._rates: dict[tuple[str, str], float] = {}
        self._interval_start: float | None = None

    def count(self, route: str, region: str) -> None:
        """Count one request for a route from a client in a region."""
        key = (route, region)
        self._counts[key] = self._counts.get(key, 0) + 1

    def end_interval(self, now: float) -> None:
        """Update the rates with the counts since the last call."""
        if self._interval_start is not None and now > self._interval_start:
            interval_s = now - self._interval_start
            for key in self._rates.keys() | self._counts.keys():
                per_s = self._counts.get(key, 0) / interval_s
                rate = self._rates.get(key, per_s)
                self._rates[key] = rate + _SMOOTHING_FACTOR * (per_s - rate)
        self._counts = {}
        self._interval_start = now

    def list_rates(self, region: str) -> dict[str, float]:
        """Return each route's requests a second from clients in `region`."""
        return {
            route: per_s
            for (route, source), per_s in self._rates.items()
            if source == region
        }
