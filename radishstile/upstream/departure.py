"""Upstreams that have said in an answer that they leave.

They are known to leave before the store tells, or while it can't.
"""

# Departed upstreams that are remembered; the oldest are forgotten first.
DEPARTED_LIMIT = 4096


class LeavingReport:
    """Reports that one incarnation of an upstream leaves.

    `started_at_ms` is its start in Unix milliseconds, or 0 if unknown.
    """

    __slots__ = ("upstream_id", "started_at_ms")

    def __init__(self, upstream_id: str, started_at_ms: int):
        self.upstream_id = upstream_id
        self.started_at_ms = started_at_ms

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return the id and start time, which identify one process."""
        return self.upstream_id, self.started_at_ms


class DepartedUpstreams:
    """The incarnations that leave, until they are replaced by another one.

    An upstream whose start is unknown is forgotten when its registration
    ends, as the next one under its id can't be told from it.
    """

    __slots__ = ("_incarnations",)

    def __init__(self):
        self._incarnations: dict[tuple[str, int], LeavingReport] = {}

    def record(self, report: LeavingReport) -> bool:
        """Record a report; return whether it is new."""
        if self.has(report.incarnation):
            return False
        self._incarnations[report.incarnation] = report
        if len(self._incarnations) > DEPARTED_LIMIT:
            del self._incarnations[next(iter(self._incarnations))]
        return True

    def has(self, incarnation: tuple[str, int]) -> bool:
        """Return whether an incarnation has said that it leaves."""
        return incarnation in self._incarnations

    def forget_unknown_start(self, upstream_id: str) -> None:
        """Forget an upstream that is no longer registered."""
        self._incarnations.pop((upstream_id, 0), None)

    def find(self, incarnation: tuple[str, int]) -> LeavingReport | None:
        """Return the report of an incarnation, if there is one."""
        return self._incarnations.get(incarnation)
