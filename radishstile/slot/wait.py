"""Expected waits: when work that is ahead of a claim is done."""

from collections.abc import Iterable

# The expected hold time is multiplied by this factor before it is compared
# with a deadline or an objective, because hold times vary by 15%.
HOLD_TIME_FACTOR = 1.25


def estimate_start(remaining_s: Iterable[float], work_s: float) -> float:
    """Return the seconds until some work is done and one slot is free.

    `remaining_s` are the times in which each slot becomes free. Work starts
    on each slot as it becomes free, so the result t is where the sum of
    max(0, t - remaining) over the slots equals `work_s`. Returns infinity
    without slots.
    """
    total_s = work_s
    start_s = float("inf")
    for count, free_s in enumerate(sorted(remaining_s), 1):
        if free_s >= start_s:
            break
        total_s += free_s
        start_s = total_s / count
    return start_s
