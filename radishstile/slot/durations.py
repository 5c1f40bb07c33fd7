"""Whether an upstream's runs take longer than expected."""

from collections import deque
from statistics import median

# Number of runs of which the median counts. Three of five have to be slow: if
# 3% of requests take seven times as long, chance does this once in 4,000 runs.
MEDIAN_RUNS = 5


class DurationRatio:
    """The recent ratio of actual to expected hold times of an upstream.

    It is a moving average, which a single run of seven times the usual time
    distorts for seconds if the upstream is slow at the moment as well. Where
    the upstream reports its pace it is a median, which a single run does not
    change.
    """

    __slots__ = ("value", "_smoothing", "_recent")

    def __init__(self, smoothing: float):
        self.value = 1.0
        self._smoothing = smoothing
        self._recent = deque([1.0] * MEDIAN_RUNS, maxlen=MEDIAN_RUNS)

    def record(self, ratio: float, is_pace_reported: bool) -> None:
        """Add the ratio of a finished run."""
        self._recent.append(ratio)
        if is_pace_reported:
            self.value = median(self._recent)
        else:
            self.value += self._smoothing * (ratio - self.value)
