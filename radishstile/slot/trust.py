"""How much of its reservations each workspace uses."""

import math
from collections import OrderedDict

# Time constant in which endings of reservations are forgotten, in seconds: a
# few times the longest wait for a return (2 s).
MEMORY_S = 10.0
# Reservations that a workspace is assumed to have kept, so that single callers
# that leave don't count against it.
ASSUMED_KEPT = 4.0
# Workspaces that are remembered, those whose reservations ended last; some
# hundred are active in a region.
MAX_WORKSPACES = 1024


class _Record:
    """Decaying counts of reservations that were kept and unused."""

    __slots__ = ("kept", "unused", "updated_at")

    def __init__(self, now: float):
        self.kept = 0.0
        self.unused = 0.0
        self.updated_at = now

    def decay(self, now: float) -> None:
        """Reduce the counts by the time since the last update."""
        factor = math.exp(min(0.0, self.updated_at - now) / MEMORY_S)
        self.kept *= factor
        self.unused *= factor
        self.updated_at = now


class TrustRegister:
    """The part of its reservations that each workspace keeps, from 0 to 1."""

    __slots__ = ("_records",)

    def __init__(self):
        self._records: OrderedDict[str, _Record] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def record(self, workspace: str, is_kept: bool, now: float) -> None:
        """Count a reservation that was kept or not used."""
        record = self._records.get(workspace)
        if record is None:
            record = self._records[workspace] = _Record(now)
        self._records.move_to_end(workspace)
        if len(self._records) > MAX_WORKSPACES:
            self._records.popitem(last=False)
        record.decay(now)
        record.kept += is_kept
        record.unused += not is_kept

    def measure(self, workspace: str, now: float) -> float:
        """Return the kept part of the recent reservations."""
        record = self._records.get(workspace)
        if record is None:
            return 1.0
        record.decay(now)
        kept = record.kept + ASSUMED_KEPT
        return kept / (kept + record.unused)
