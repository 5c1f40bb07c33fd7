"""Claims that wait for a slot of one service, the most urgent first."""

from collections.abc import Iterator

from sortedcontainers import SortedKeyList

from radishstile.slot.claim import Claim
from radishstile.slot.upstream import BookedUpstream


class Waiting:
    """A claim in the queue.

    `home` is the upstream that knows its object and should be free first, if
    there is one. Until `patient_until`, on the loop's clock, the claim takes
    only a slot of an upstream that knows the object. `is_timely` tells that
    it was expected to be answered within its objective when it came.
    """

    __slots__ = ("claim", "home", "patient_until", "expected_s", "is_timely")

    def __init__(
        self,
        claim: Claim,
        home: BookedUpstream | None,
        patient_until: float,
        expected_s: float,
        is_timely: bool,
    ):
        self.claim = claim
        self.home = home
        self.patient_until = patient_until
        self.expected_s = expected_s
        self.is_timely = is_timely

    @property
    def rank(self) -> tuple[int, float]:
        """Return what orders the queue: urgency, then arrival."""
        return self.claim.priority, self.claim.arrived_at


def _read_rank(waiting: Waiting) -> tuple[int, float]:
    return waiting.rank


class ClaimQueue:
    """The waiting claims of one service."""

    __slots__ = ("_by_rank", "_by_id")

    def __init__(self):
        self._by_rank = SortedKeyList(key=_read_rank)
        self._by_id: dict[str, Waiting] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[Waiting]:
        return iter(list(self._by_rank))

    def put(self, waiting: Waiting) -> None:
        """Add a claim."""
        self._by_rank.add(waiting)
        self._by_id[waiting.claim.claim_id] = waiting
        _note_work(waiting, waiting.expected_s)

    def remove(self, claim_id: str) -> Waiting | None:
        """Take a claim out, if it is there."""
        waiting = self._by_id.pop(claim_id, None)
        if waiting is not None:
            self._by_rank.remove(waiting)
            _note_work(waiting, -waiting.expected_s)
        return waiting

    def measure_ahead(self, priority: int) -> float:
        """Return the expected slot-seconds of claims that go first."""
        work_s = 0.0
        for waiting in self._by_rank:
            if waiting.claim.priority > priority:
                break
            work_s += waiting.expected_s
        return work_s


def _note_work(waiting: Waiting, work_s: float) -> None:
    """Add to the work that waits for a claim's home."""
    if waiting.home is None:
        return
    queued_s = waiting.home.queued_s
    priority = waiting.claim.priority
    queued_s[priority] = max(0.0, queued_s.get(priority, 0.0) + work_s)
