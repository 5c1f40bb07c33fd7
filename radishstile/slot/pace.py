"""How long work takes on an upstream, compared with usual."""

from radishstile.slot.load_report import LoadReport

# Time after which a report tells nothing, in seconds: slow upstreams are drawn
# anew at this interval, so a report of age a holds with probability
# 1 - a / MAX_REPORT_AGE_S.
MAX_REPORT_AGE_S = 0.6
# Time constant of the long-run mean, in seconds: some twenty slow moments, so
# that a single one changes it little.
MEAN_TIME_S = 10.0
# Ratio to the mean from which a moment is a slow one; the mean of an upstream
# that is 2.5 times slower for 15% of the time is 1.2.
SLOW_MOMENT_RATIO = 1.3
# Largest factor by which a reported pace excuses a long run. Slow moments take
# 2.5 times as long; a machine that is much slower is avoided like any other.
MAX_EXCUSED_PACE = 3.0


class PaceEstimate:
    """The reported pace of one incarnation of an upstream, 1.0 as usual.

    Times are on the event loop's clock, in seconds; reports from before
    `known_since` are those of an earlier incarnation.
    """

    __slots__ = ("latest", "mean", "_known_since")

    def __init__(self, known_since: float):
        self.latest: LoadReport | None = None
        self.mean = 1.0
        self._known_since = known_since

    @property
    def is_reported(self) -> bool:
        """Return whether the upstream has ever reported its pace."""
        return self.latest is not None

    def record(self, report: LoadReport, now: float) -> bool:
        """Apply a report, and return whether it was of use.

        Reports without a pace are not, nor those that are too old, precede the
        latest one, or are of an earlier incarnation.
        """
        is_old = report.measure_age(now) >= MAX_REPORT_AGE_S
        if report.pace is None or is_old:
            return False
        if report.heard_at < self._known_since:
            return False
        gap_s = MAX_REPORT_AGE_S
        if self.latest is not None:
            gap_s = min(gap_s, report.heard_at - self.latest.heard_at)
        if gap_s < 0:
            return False
        # Weighted by time: a fast upstream sends more reports than a slow one.
        self.mean += gap_s / MEAN_TIME_S * (report.pace - self.mean)
        self.latest = report
        return True

    def measure(self, now: float) -> float:
        """Return the expected factor on the work of a run that starts now."""
        if self.latest is None:
            return 1.0
        age_s = self.latest.measure_age(now)
        weight = max(0.0, 1 - age_s / MAX_REPORT_AGE_S)
        return self.mean + weight * (self.latest.pace - self.mean)

    def is_slow_moment(self, now: float) -> bool:
        """Return whether work takes longer now than it does in the mean."""
        return self.measure(now) > SLOW_MOMENT_RATIO * self.mean

    def read_recent(self, now: float) -> float:
        """Return the pace of a report that may still hold, otherwise 1.0."""
        if self.latest is None:
            return 1.0
        is_old = self.latest.measure_age(now) >= MAX_REPORT_AGE_S
        return 1.0 if is_old else self.latest.pace


def find_factor(ratio: float, fastest: float, slowest: float) -> float:
    """Return the part of a run's duration ratio that the pace explains.

    `ratio` is the held time divided by the usual one; the pace of the run is
    somewhere between the fastest and the slowest that were reported.
    """
    low = min(fastest, MAX_EXCUSED_PACE)
    high = min(slowest, MAX_EXCUSED_PACE)
    return min(max(ratio, low), high)
