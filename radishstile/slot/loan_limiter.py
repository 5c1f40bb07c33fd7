"""Limits how fast a region's loans change.

In normal operation loans follow demand slowly, because the share of requests
that change the region where they run is limited. After a disruption, such as
a restart of all hosts or the loss of a zone's upstreams, loans follow the
plan at once; otherwise a region with few upstreams would refuse most of its
callers until its loans had grown.
"""

from radishstile.slot.lending import step_towards

# Fraction of a region's need by which a loan may change per round of half a
# second. At most 15% of a region's requests may change the region where they
# run within two seconds, which are four rounds.
MAX_STEP_SHARE = 0.03
# Smallest step limit, in slots: without it, loans of small regions would
# never change.
MIN_STEP_SLOTS = 0.5
# Time after a disruption during which loans follow the plan at once, in
# seconds: the longest time that hosts may take to reconnect.
UNLIMITED_S = 4.0
# Fraction of a region's slots whose loss counts as a disruption.
CAPACITY_LOSS_SHARE = 0.1


class LoanRateLimiter:
    """Limits loan changes; times are the event loop's, in seconds."""

    __slots__ = ("_unlimited_until", "_capacities")

    def __init__(self):
        self._unlimited_until = float("-inf")
        # The region's slots for each service, as of the last round.
        self._capacities: dict[str, float] = {}

    def record_leader_change(self, since: float) -> None:
        """Record that the region's leader changed at time `since`."""
        self._unlimited_until = max(self._unlimited_until, since + UNLIMITED_S)

    def record_capacity(self, service: str, slots: float, now: float) -> None:
        """Record the slots of the region's upstreams for a service."""
        before = self._capacities.get(service, 0.0)
        self._capacities[service] = slots
        if slots < before * (1 - CAPACITY_LOSS_SHARE):
            self._unlimited_until = now + UNLIMITED_S

    def is_unlimited(self, now: float) -> bool:
        """Return whether loans follow the plan at once."""
        return now < self._unlimited_until

    def limit_change(
        self, current: float | None, target: float, need: float, now: float
    ) -> float:
        """Return the next size of a loan that changes to `target`, in slots.

        `current` is None if there was no loan; `need` is the region's total
        need.
        """
        if current is None or self.is_unlimited(now):
            return target
        limit = max(MIN_STEP_SLOTS, need * MAX_STEP_SHARE)
        return step_towards(current, target, limit)
