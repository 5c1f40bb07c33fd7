"""Forecasts the work that arrives for one service's slots."""

import math

# Time constants of the two averages of arriving work, in seconds. The short
# one is the time in which 65 claims a second give the rate to about a tenth;
# the long one spans several bursts (3 s) and lags little behind waves (36 s).
SHORT_AVERAGE_S = 0.5
LONG_AVERAGE_S = 10.0
# Time in which demand is assumed to return from the short to the long
# average, in seconds: half of a burst of 3 s, which is what remains of one on
# average.
REVERSION_S = 1.5


class DecayingRate:
    """An exponentially weighted rate, in slot-seconds a second."""

    __slots__ = ("_constant_s", "_began_at", "_updated_at", "_sum_s")

    def __init__(self, constant_s: float, now: float):
        self._constant_s = constant_s
        self._began_at = now
        self._updated_at = now
        self._sum_s = 0.0

    def record(self, work_s: float, now: float) -> None:
        """Add work that arrives now."""
        self._sum_s = self._decay(now) + work_s
        self._updated_at = now

    def measure(self, now: float) -> float:
        """Return the rate; it isn't biased by the time before the first."""
        age_s = max(now - self._began_at, self._constant_s / 10)
        weight_s = -math.expm1(-age_s / self._constant_s) * self._constant_s
        return self._decay(now) / weight_s

    def _decay(self, now: float) -> float:
        elapsed_s = max(0.0, now - self._updated_at)
        return self._sum_s * math.exp(-elapsed_s / self._constant_s)


class DemandForecast:
    """Expected arrival of work: the present rate, then the usual one."""

    __slots__ = ("_short", "_long")

    def __init__(self, now: float):
        self._short = DecayingRate(SHORT_AVERAGE_S, now)
        self._long = DecayingRate(LONG_AVERAGE_S, now)

    def record(self, work_s: float, now: float) -> None:
        """Add the expected slot-seconds of a claim that arrives now."""
        self._short.record(work_s, now)
        self._long.record(work_s, now)

    def predict(self, times_s: list[float], now: float) -> list[float]:
        """Return the expected rates in some seconds, as slots in use."""
        usual = self._long.measure(now)
        excess = self._short.measure(now) - usual
        return [
            usual + excess * math.exp(-time_s / REVERSION_S)
            for time_s in times_s
        ]
