"""Load measurements for planned moves, with their ages."""

from collections.abc import Iterable
from functools import singledispatchmethod

from radishstile.shift.settings import MoveSettings


class TargetHint:
    """The load of an upstream group in one availability zone.

    `free`, `in_flight` and `queued` are in requests, as means over the time
    since the last report: at one instant, a few slots are often full by
    chance. `rate_per_s` is in finished requests a second; `age_s` is the
    age of the hint on arrival.
    """

    __slots__ = (
        "zone",
        "group",
        "free",
        "in_flight",
        "queued",
        "rate_per_s",
        "age_s",
    )

    def __init__(
        self,
        zone: str,
        group: str,
        free: float,
        in_flight: float,
        queued: float,
        rate_per_s: float,
        age_s: float = 0.0,
    ):
        self.zone = zone
        self.group = group
        self.free = free
        self.in_flight = in_flight
        self.queued = queued
        self.rate_per_s = rate_per_s
        self.age_s = age_s


class MoveHint:
    """The load of a move at one host, in requests a second.

    `offered_per_s` is the load of the route and source region that no move
    before this one takes, `wanted_per_s` the part within the move's share,
    and `moved_per_s` the part that was moved.
    """

    __slots__ = (
        "source",
        "move",
        "offered_per_s",
        "wanted_per_s",
        "moved_per_s",
        "age_s",
    )

    def __init__(
        self,
        source: str,
        move: str,
        offered_per_s: float,
        wanted_per_s: float,
        moved_per_s: float,
        age_s: float = 0.0,
    ):
        self.source = source
        self.move = move
        self.offered_per_s = offered_per_s
        self.wanted_per_s = wanted_per_s
        self.moved_per_s = moved_per_s
        self.age_s = age_s


class TargetLoad:
    """The load of an upstream group in a whole region.

    `measured_at` is the time of the oldest hint, on this host's clock.
    """

    __slots__ = ("free", "in_flight", "queued", "rate_per_s", "measured_at")

    def __init__(self, measured_at: float):
        self.free = 0.0
        self.in_flight = 0.0
        self.queued = 0.0
        self.rate_per_s = 0.0
        self.measured_at = measured_at

    @property
    def slots(self) -> float:
        """Return the number of slots, free and in use."""
        return self.free + self.in_flight


class MoveLoad:
    """The load of a move over all hosts, in requests a second."""

    __slots__ = ("offered_per_s", "wanted_per_s", "moved_per_s", "measured_at")

    def __init__(self, measured_at: float):
        self.offered_per_s = 0.0
        self.wanted_per_s = 0.0
        self.moved_per_s = 0.0
        self.measured_at = measured_at


class _TimedHint:
    """A hint and the time of its measurement."""

    __slots__ = ("hint", "measured_at")

    def __init__(self, hint: TargetHint | MoveHint, measured_at: float):
        self.hint = hint
        self.measured_at = measured_at


class LoadMeasurements:
    """Keeps the newest hint of each source.

    A total is unknown while the hint of any of its sources is too old: a
    sum without that source would show too little load.
    """

    __slots__ = ("_max_age_s", "_targets", "_moves")

    def __init__(self, settings: MoveSettings):
        self._max_age_s = settings.max_age_s
        self._targets: dict[tuple[str, str], _TimedHint] = {}
        self._moves: dict[str, dict[str, _TimedHint]] = {}

    @singledispatchmethod
    def add(self, hint, now: float) -> None:
        """Add a hint that arrived at `now`, unless a newer one is known."""
        raise TypeError(f"unknown hint {type(hint).__name__}")

    @add.register
    def _(self, hint: TargetHint, now: float) -> None:
        key = (hint.zone, hint.group)
        _keep_newest(self._targets, key, _TimedHint(hint, now - hint.age_s))

    @add.register
    def _(self, hint: MoveHint, now: float) -> None:
        reports = self._moves.setdefault(hint.move, {})
        _keep_newest(reports, hint.source, _TimedHint(hint, now - hint.age_s))

    def remove_source(self, source: str) -> None:
        """Remove the hints of a host that is no longer a member."""
        for reports in self._moves.values():
            reports.pop(source, None)

    def list_sources(self) -> set[str]:
        """Return the names of the hosts whose hints are kept."""
        return {
            source for reports in self._moves.values() for source in reports
        }

    def read_target(
        self, zones: Iterable[str], group: str, now: float
    ) -> TargetLoad | None:
        """Return the total of `zones`, or None if one is unknown."""
        reports = [self._targets.get((zone, group)) for zone in zones]
        if not self._are_fresh(reports, now):
            return None
        total = TargetLoad(min(report.measured_at for report in reports))
        for report in reports:
            total.free += report.hint.free
            total.in_flight += report.hint.in_flight
            total.queued += report.hint.queued
            total.rate_per_s += report.hint.rate_per_s
        return total

    def read_move(self, name: str, now: float) -> MoveLoad | None:
        """Return the total load of a move, or None if it is unknown."""
        reports = list(self._moves.get(name, {}).values())
        if not self._are_fresh(reports, now):
            return None
        total = MoveLoad(min(report.measured_at for report in reports))
        for report in reports:
            total.offered_per_s += report.hint.offered_per_s
            total.wanted_per_s += report.hint.wanted_per_s
            total.moved_per_s += report.hint.moved_per_s
        return total

    def _are_fresh(self, reports: list[_TimedHint | None], now: float) -> bool:
        if not reports:
            return False
        return all(
            report is not None and now - report.measured_at <= self._max_age_s
            for report in reports
        )


def _keep_newest(reports: dict, key, report: _TimedHint) -> None:
    known = reports.get(key)
    if known is None or report.measured_at >= known.measured_at:
        reports[key] = report
