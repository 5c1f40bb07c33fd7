"""How fast a region's loans change.

Answers two patterns. At rest, demand that wanders between regions moves the
loans slowly, as callers' requests must not change the region where they run
by leaps. After a disruption, such as a kill of all hosts or the loss of a
zone's upstreams, a region with few upstreams of its own would refuse most of
its callers for as long as that takes, so the loans follow the plan at once.
"""

from radishstile.slot.lending import step_towards

# Part of a region's need by which a loan may change in a round of half a
# second. Four rounds are two seconds, within which at most 15% of a region's
# requests may change the region where they run.
STEP_SHARE = 0.03
# Smallest step, in slots: small regions would else never change.
STEP_MIN_SLOTS = 0.5
# Time after a disruption in which loans follow the plan, in seconds: the
# longest time that the users' sheets give hosts to be in touch again.
FREE_S = 4.0
# Part of a region's slots whose loss is a disruption.
LOST_SHARE = 0.1


class LoanPace:
    """Knows when a region's loans may leap, by the loop's time in seconds."""

    __slots__ = ("_free_until", "_capacities")

    def __init__(self):
        self._free_until = float("-inf")
        # The slots of each service in the region, as of the last round.
        self._capacities: dict[str, float] = {}

    def note_lead(self, since: float) -> None:
        """Note that the region has another lead since then."""
        self._free_until = max(self._free_until, since + FREE_S)

    def note_capacity(self, service: str, slots: float, now: float) -> None:
        """Note the region's own slots for a service."""
        before = self._capacities.get(service, 0.0)
        self._capacities[service] = slots
        if slots < before * (1 - LOST_SHARE):
            self._free_until = now + FREE_S

    def step(
        self, current: float | None, target: float, need: float, now: float
    ) -> float:
        """Return the next size of a loan on its way to `target`, in slots.

        `current` is None where there was no loan; `need` is what the region
        needs in all.
        """
        if current is None or now < self._free_until:
            return target
        limit = max(STEP_MIN_SLOTS, need * STEP_SHARE)
        return step_towards(current, target, limit)
