"""Health of an upstream, from request results and its own reports.

Results take precedence; reports are hints.
"""

from functools import singledispatch, singledispatchmethod

from transitions import Machine

from radishstile.upstream.settings import UpstreamSettings
from radishstile.upstream.slot import (
    Broken,
    Completed,
    Errored,
    SlotResult,
    TimedOut,
    Unreachable,
)

COLD = "cold"
WARMING = "warming"
HEALTHY = "healthy"
FAILING = "failing"
DOWN = "down"
DRAINING = "draining"
LEAVING = "leaving"

STATES = (COLD, WARMING, HEALTHY, FAILING, DOWN, DRAINING, LEAVING)
WORKING = (COLD, WARMING, HEALTHY, FAILING)

# One state machine serves all upstreams: its events take the model as an
# argument, so `Health` needs none of the attributes that a bound model gets.
_STATE_MACHINE = Machine(
    model=None,
    states=STATES,
    initial=None,
    auto_transitions=False,
    transitions=[
        ["succeed", [COLD, FAILING], WARMING],
        ["succeed", [WARMING, HEALTHY], "="],
        ["complete", WARMING, HEALTHY],
        ["back_off", HEALTHY, WARMING],
        ["fail", [COLD, WARMING, HEALTHY], FAILING],
        ["fail", FAILING, DOWN],
        ["revive", DOWN, COLD],
        ["drain", [*WORKING, DOWN, LEAVING], DRAINING],
        ["leave", [*WORKING, DOWN, DRAINING], LEAVING],
        ["reinstate", [DRAINING, LEAVING], COLD],
    ],
    ignore_invalid_triggers=True,
)


class HealthReport:
    """The answer of an upstream's health endpoint."""

    __slots__ = ("is_ok",)

    def __init__(self, is_ok: bool):
        self.is_ok = is_ok


class LoadReport:
    """The answer of the load endpoint; `busy_share` is from 0 to 1."""

    __slots__ = ("busy_share",)

    def __init__(self, busy_share: float):
        self.busy_share = busy_share


class Health:
    """Health state of one upstream; `failed_at` is the last failure."""

    __slots__ = (
        "state",
        "failed_at",
        "_settings",
        "_failures",
        "_probe_interval_s",
        "_probe_at",
        "_reported_at",
        "_is_report_bad",
    )

    def __init__(self, settings: UpstreamSettings, state: str = COLD):
        self.state = state
        self.failed_at = 0.0
        self._settings = settings
        self._failures = 0
        self._probe_interval_s = settings.probe_interval_s
        self._probe_at = 0.0
        self._reported_at: float | None = None
        self._is_report_bad = False

    def fire(self, event: str) -> None:
        """Trigger `event`; it is ignored if the state has no transition."""
        _STATE_MACHINE.events[event].trigger(self)

    @property
    def is_working(self) -> bool:
        """Return whether the upstream may get new work."""
        return self.state in WORKING

    def record_result(self, result: SlotResult, now: float) -> None:
        """Update the state from the result of a request."""
        self._apply_result(result, now)

    @singledispatchmethod
    def _apply_result(self, result: SlotResult, now: float) -> None:
        """Ignore results that say nothing about the upstream's health."""

    @_apply_result.register
    def _(self, result: Completed, now: float) -> None:
        self._failures = 0
        self._probe_interval_s = self._settings.probe_interval_s
        self.fire("succeed")

    @_apply_result.register(Errored)
    @_apply_result.register(Unreachable)
    @_apply_result.register(Broken)
    @_apply_result.register(TimedOut)
    def _(self, result: SlotResult, now: float) -> None:
        self.failed_at = now
        self._failures += 1
        if self._failures < self._settings.failures_to_eject:
            return
        self.fire("fail")
        self._probe_at = now + self._probe_interval_s

    def record_report(
        self, report: HealthReport | LoadReport, now: float
    ) -> None:
        """Record a report, which is valid until `report_max_age_s`."""
        self._reported_at = now
        self._is_report_bad = is_bad_report(report)

    def allows_slow_start(self, now: float) -> bool:
        """Return whether slow start may open more slots.

        It pauses when the last report is bad or too old. For an upstream that
        never reported, only its answers count.
        """
        if self._reported_at is None:
            return True
        age_s = now - self._reported_at
        if age_s > self._settings.report_max_age_s:
            return False
        return not self._is_report_bad

    def has_bad_report(self, now: float) -> bool:
        """Return whether the last report is bad and still valid."""
        if self._reported_at is None or not self._is_report_bad:
            return False
        return now - self._reported_at <= self._settings.report_max_age_s

    def is_probe_due(self, now: float) -> bool:
        """Return whether the upstream is down and its next probe is due."""
        return self.state == DOWN and now >= self._probe_at

    def record_probe(self, is_ok: bool, now: float) -> None:
        """Record the result of a probe and double the probe interval."""
        self._probe_interval_s = min(
            self._probe_interval_s * 2, self._settings.probe_interval_limit_s
        )
        self._probe_at = now + self._probe_interval_s
        if is_ok:
            self.fire("revive")


@singledispatch
def is_bad_report(report: object) -> bool:
    """Return whether a report shows an unhealthy or overloaded upstream."""
    raise TypeError(f"not a report: {report!r}")


@is_bad_report.register
def _(report: HealthReport) -> bool:
    return not report.is_ok


@is_bad_report.register
def _(report: LoadReport) -> bool:
    return report.busy_share >= 1
