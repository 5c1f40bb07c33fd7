"""The record of a soak test, indexed, and the breaches found in it."""

from collections import defaultdict

from soak.record import FaultPeriod, Run, SoakRecord
from soak.settings import SoakSettings


class Breach:
    """A broken promise and the evidence of it."""

    __slots__ = ("promise", "detail")

    def __init__(self, promise: str, detail: str):
        self.promise = promise
        self.detail = detail

    def __str__(self) -> str:
        return f"{self.promise}: {self.detail}"


class IndexedRecord:
    """The record of a soak test, indexed by request id."""

    __slots__ = (
        "record",
        "settings",
        "requests",
        "runs",
        "callers_stopped_at",
    )

    def __init__(
        self, record: SoakRecord, settings: SoakSettings, callers_stopped_at
    ):
        self.record = record
        self.settings = settings
        self.requests = {each.request_id: each for each in record.requests}
        self.runs: dict[str, list[Run]] = defaultdict(list)
        for run in record.runs:
            self.runs[run.request_id].append(run)
        # In seconds since the start of the test.
        self.callers_stopped_at: float = callers_stopped_at

    def find_unplanned_faults(
        self, begin: float, end: float
    ) -> list[FaultPeriod]:
        """Return unplanned faults that may affect `begin` to `end`.

        A fault has effects for up to `contact_s` seconds after it ends.
        """
        earliest = begin - self.settings.contact_s
        return [
            period
            for period in self.record.fault_periods
            if not period.is_planned
            and period.begin <= end
            and period.end >= earliest
        ]
