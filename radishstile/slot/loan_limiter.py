"""Limits how fast a region's loans change.

The share of a region's requests that changes the region where they run is
limited. It follows the region's mix: the shares of its own slots and of those
borrowed from each other region. All loans of a service are limited together,
since two that grow at once move the requests of both.

Requests don't follow slots alone: under little load they go where their
objects are cached. So slots are weighted by the requests that they get.
"""

from collections import deque

# Window over which the limit holds, in seconds.
WINDOW_S = 2.0
# Fraction of a service's slots that may change their region within a window.
# Loans may grow faster than they are returned, since a region that lacks slots
# refuses callers; but not while the requests of lost slots move as well. The
# bound for requests is 0.15; the rest is for chance in where they run.
MAX_GROWTH_SHIFT = 0.12
MAX_RETURN_SHIFT = 0.07
# Part of a region's own slots whose loss within the window counts.
LOST_SHARE = 0.05
# Time after a leader's start, or a failure, during which loans follow the plan
# at once, in seconds: the longest time that hosts may take to reconnect.
UNLIMITED_S = 4.0
# Halvings of the interval in which the largest permitted step is searched.
SEARCH_STEPS = 16

# Grants of the last rounds below which slots have equal weights, and the
# smallest and the largest weight, so that chance changes them little.
MIN_GRANTS = 100
MIN_WEIGHT = 0.5
MAX_WEIGHT = 3.0
# Name of a region's own slots among those of its lenders.
OWN = ""

# Slots or their shares, by region.
Mix = dict[str, float]


class LoanRateLimiter:
    """Limits loan changes; times are the event loop's, in seconds."""

    __slots__ = ("_unlimited_until", "_growing_until", "_slots")

    def __init__(self):
        self._unlimited_until = float("-inf")
        # The time until which the loans of each service grow at once.
        self._growing_until: dict[str, float] = {}
        # The recent slots of each service by region, with their times.
        self._slots: dict[str, deque[tuple[float, Mix]]] = {}

    def start(self, now: float) -> None:
        """Let loans follow the plan at once for some seconds."""
        self._unlimited_until = now + UNLIMITED_S
        self._growing_until.clear()
        self._slots.clear()

    def lift_growth(self, service: str, now: float) -> None:
        """Let a service's loans grow to the plan at once for some seconds.

        What a failure took has moved its requests already, so a loan that
        replaces it moves them back. A loan that shrinks moves others.
        """
        self._growing_until[service] = now + UNLIMITED_S

    def resume(self) -> None:
        """Limit changes from now on, as earlier loans go on."""
        self._unlimited_until = float("-inf")

    def is_unlimited(self, now: float) -> bool:
        """Return whether loans follow the plan at once."""
        return now < self._unlimited_until

    def list_growing(self, now: float) -> list[str]:
        """Return the services whose loans grow at once."""
        return sorted(
            service
            for service, until in self._growing_until.items()
            if now < until
        )

    def limit_change(
        self,
        service: str,
        own: float,
        current: dict[str, float],
        target: dict[str, float],
        granted: dict[str, float],
        now: float,
    ) -> dict[str, float]:
        """Return the next loans of a service, in slots by lender.

        `own` are the slots of the region itself, `current` and `target` the
        loans in use and those planned, `granted` the recent grants by region,
        those of the region itself under an empty name. A change that comes
        about without the loans, such as the loss of own slots, is not undone.
        """
        if self.is_unlimited(now):
            return dict(target)
        slots = {**current, OWN: own}
        history = self._record(service, slots, now)
        if service in self.list_growing(now):
            current = _grow(current, target)
            slots = {**current, OWN: own}
        weights = _weigh(slots, granted)
        mix = _mix(slots, weights)
        is_growing = sum(target.values()) > sum(current.values())
        limit = _choose_limit(is_growing, own, history)
        past = [_mix(earlier, weights) for earlier in history]
        limits = [
            (earlier, max(limit, measure_shift(earlier, mix)))
            for earlier in past
        ]
        # Bisects the part of the way that all limits permit.
        low, high = 0.0, 1.0
        step = 1.0
        for _ in range(SEARCH_STEPS):
            loans = _step_towards(current, target, step)
            if _is_within(_mix({**loans, OWN: own}, weights), limits):
                low = step
            else:
                high = step
            step = (low + high) / 2
        return _step_towards(current, target, low)

    def _record(self, service: str, slots: Mix, now: float) -> list[Mix]:
        """Add the slots, and return those in use within the window."""
        history = self._slots.setdefault(service, deque())
        history.append((now, slots))
        while len(history) > 1 and history[1][0] <= now - WINDOW_S:
            history.popleft()
        return [earlier for _, earlier in history]


def measure_shift(before: Mix, after: Mix) -> float:
    """Return the share that changed its region between two mixes."""
    return sum(
        max(0.0, after.get(region, 0.0) - before.get(region, 0.0))
        for region in before.keys() | after.keys()
    )


def _choose_limit(is_growing: bool, own: float, history: list[Mix]) -> float:
    """Return the share that loans may move, given the recent own slots."""
    has_lost_slots = any(
        own < earlier[OWN] * (1 - LOST_SHARE) for earlier in history
    )
    if is_growing and not has_lost_slots:
        return MAX_GROWTH_SHIFT
    return MAX_RETURN_SHIFT


def _is_within(mix: Mix, limits: list[tuple[Mix, float]]) -> bool:
    return all(measure_shift(past, mix) <= limit for past, limit in limits)


def _weigh(slots: Mix, granted: dict[str, float]) -> Mix:
    """Return how many requests a slot of each region gets, on average 1."""
    total_slots = sum(slots.values())
    total_granted = sum(granted.values())
    if total_granted < MIN_GRANTS:
        return {}
    weights = {}
    for region, amount in slots.items():
        if amount <= 0:
            continue
        share = granted.get(region, 0.0) / total_granted
        weight = share * total_slots / amount
        weights[region] = min(max(weight, MIN_WEIGHT), MAX_WEIGHT)
    return weights


def _mix(slots: Mix, weights: Mix) -> Mix:
    """Return the share of each region, where slots have weights."""
    weighted = {
        region: amount * weights.get(region, 1.0)
        for region, amount in slots.items()
    }
    total = sum(weighted.values())
    if total <= 0:
        return {}
    return {region: amount / total for region, amount in weighted.items()}


def _grow(
    current: dict[str, float], target: dict[str, float]
) -> dict[str, float]:
    """Return the larger of the loans in use and those planned."""
    return {
        region: max(current.get(region, 0.0), target.get(region, 0.0))
        for region in current.keys() | target.keys()
    }


def _step_towards(
    current: dict[str, float], target: dict[str, float], step: float
) -> dict[str, float]:
    """Return loans changed by a part of the way, from 0 to 1."""
    return {
        region: current.get(region, 0.0)
        + step * (target.get(region, 0.0) - current.get(region, 0.0))
        for region in current.keys() | target.keys()
    }
