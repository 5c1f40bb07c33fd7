"""Estimates of how long requests hold a slot."""


class HoldTimeEstimate:
    """Moving averages of one route's hold times, in seconds.

    The initial value is the route's objective for cold runs, and
    `INITIAL_WARM_SHARE` of it for warm runs.
    """

    __slots__ = ("warm_s", "cold_s", "_smoothing")

    INITIAL_WARM_SHARE = 0.5
    # Samples are clipped to this multiple of the mean, so that one slow
    # upstream doesn't distort the estimate for all.
    MAX_SAMPLE_RATIO = 2.0

    def __init__(self, objective_s: float, smoothing: float):
        self.cold_s = objective_s
        self.warm_s = objective_s * self.INITIAL_WARM_SHARE
        self._smoothing = smoothing

    def get_expected_s(self, is_warm: bool) -> float:
        """Return the expected hold time of a run."""
        return self.warm_s if is_warm else self.cold_s

    def record(self, is_warm: bool, held_s: float) -> None:
        """Add a finished run to the mean."""
        if is_warm:
            self.warm_s = self._update_mean(self.warm_s, held_s)
        else:
            self.cold_s = self._update_mean(self.cold_s, held_s)

    def _update_mean(self, mean: float, sample: float) -> float:
        clipped = min(sample, mean * self.MAX_SAMPLE_RATIO)
        return mean + self._smoothing * (clipped - mean)
