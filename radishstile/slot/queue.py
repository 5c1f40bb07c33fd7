"""Priority queue of the claims that wait for a slot of one service."""

from collections.abc import Iterator

from sortedcontainers import SortedKeyList

from radishstile.slot.claim import Claim
from radishstile.slot.upstream import UpstreamState


class WaitingClaim:
    """A claim in the queue.

    `preferred` is the upstream that has cached its object and is expected to
    be free first, if any. Until `preferred_until`, the wait limit on the event
    loop's clock, the claim accepts only upstreams that have cached the object.
    `is_timely` is whether it was expected to meet its objective on arrival.
    """

    __slots__ = (
        "claim",
        "preferred",
        "preferred_until",
        "expected_s",
        "is_timely",
    )

    def __init__(
        self,
        claim: Claim,
        preferred: UpstreamState | None,
        preferred_until: float,
        expected_s: float,
        is_timely: bool,
    ):
        self.claim = claim
        self.preferred = preferred
        self.preferred_until = preferred_until
        self.expected_s = expected_s
        self.is_timely = is_timely

    @property
    def sort_key(self) -> tuple[int, float]:
        """Return the key that orders the queue: priority, then arrival."""
        return self.claim.priority, self.claim.arrived_at


def _get_sort_key(waiting: WaitingClaim) -> tuple[int, float]:
    return waiting.sort_key


class ClaimQueue:
    """The waiting claims of one service."""

    __slots__ = ("_sorted", "_by_id")

    def __init__(self):
        self._sorted = SortedKeyList(key=_get_sort_key)
        self._by_id: dict[str, WaitingClaim] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[WaitingClaim]:
        return iter(list(self._sorted))

    def add(self, waiting: WaitingClaim) -> None:
        """Add a claim."""
        self._sorted.add(waiting)
        self._by_id[waiting.claim.claim_id] = waiting
        _add_queued_work(waiting, waiting.expected_s)

    def remove(self, claim_id: str) -> WaitingClaim | None:
        """Remove and return a claim, or return None if it isn't queued."""
        waiting = self._by_id.pop(claim_id, None)
        if waiting is not None:
            self._sorted.remove(waiting)
            _add_queued_work(waiting, -waiting.expected_s)
        return waiting

    def sum_work_ahead(self, priority: int) -> float:
        """Return the expected slot-seconds of claims served earlier."""
        work_s = 0.0
        for waiting in self._sorted:
            if waiting.claim.priority > priority:
                break
            work_s += waiting.expected_s
        return work_s


def _add_queued_work(waiting: WaitingClaim, work_s: float) -> None:
    """Add to the work queued for a claim's preferred upstream."""
    if waiting.preferred is None:
        return
    work_by_priority = waiting.preferred.queued_work_s
    priority = waiting.claim.priority
    work_by_priority[priority] = max(
        0.0, work_by_priority.get(priority, 0.0) + work_s
    )
