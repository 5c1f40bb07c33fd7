"""The load that an upstream reports with its answers."""

import math

from radishstile.errors import LoadReportError

# Largest figures that are taken for real: counts of requests or slots, and a
# pace of a hundred times the usual.
MAX_COUNT = 1_000_000
MAX_PACE = 100.0
MIN_PACE = 0.01
# Oldest report that a host may send, in seconds: longer than any run.
MAX_AGE_S = 3600.0
# Number of values of a report in a message.
_VALUES = 5


class LoadReport:
    """What an upstream said of itself at one moment.

    `running`, `waiting` and `slots` are numbers of requests and slots. `pace`
    is how long work takes there compared with usual, 1.0 as usual, or None if
    it was not named. `heard_at` is the time at which the head of the answer
    arrived, on the event loop's clock of this host, in seconds.
    """

    __slots__ = ("running", "waiting", "slots", "pace", "heard_at")

    def __init__(
        self,
        running: int,
        waiting: int,
        slots: int,
        pace: float | None,
        heard_at: float,
    ):
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.pace = pace
        self.heard_at = heard_at

    def measure_age(self, now: float) -> float:
        """Return the time since the report was heard, in seconds."""
        return max(0.0, now - self.heard_at)


def check_report(report: LoadReport) -> LoadReport:
    """Return a report; raises `LoadReportError` if a figure is not possible.

    The figures may come from an upstream or from another host.
    """
    for count in (report.running, report.waiting, report.slots):
        if type(count) is not int or not 0 <= count <= MAX_COUNT:
            raise LoadReportError("a count of the load is not possible")
    if report.pace is None:
        return report
    if not _is_number(report.pace) or not MIN_PACE <= report.pace <= MAX_PACE:
        raise LoadReportError("the pace of the load is not possible")
    return report


def encode_report(report: LoadReport | None, now: float) -> list:
    """Return a report as the values of a message, empty if there is none."""
    if report is None:
        return []
    return [
        report.running,
        report.waiting,
        report.slots,
        report.pace,
        report.measure_age(now),
    ]


def decode_report(values: list, now: float) -> LoadReport | None:
    """Return the report in a message, or None if there is none.

    Raises `LoadReportError` if a value is of a wrong type or not possible.
    """
    if not values:
        return None
    if len(values) != _VALUES:
        raise LoadReportError("the load has a wrong number of values")
    running, waiting, slots, pace, age_s = values
    if not _is_number(age_s) or not 0 <= age_s <= MAX_AGE_S:
        raise LoadReportError("the age of the load is not possible")
    return check_report(LoadReport(running, waiting, slots, pace, now - age_s))


def _is_number(value: object) -> bool:
    return type(value) in (int, float) and math.isfinite(value)
