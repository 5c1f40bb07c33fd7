"""Exponential back-off with jitter."""

import random


class Backoff:
    """Computes the delay before each further attempt, in seconds."""

    __slots__ = ("_min_s", "_max_s", "_rng", "_next_s")

    def __init__(self, min_s: float, max_s: float, rng: random.Random):
        self._min_s = min_s
        self._max_s = max_s
        self._rng = rng
        self._next_s = min_s

    def reset(self) -> None:
        """Start again from the shortest delay."""
        self._next_s = self._min_s

    def next_wait(self) -> float:
        """Return the next delay: half to all of a limit that doubles."""
        wait_s = self._next_s
        self._next_s = min(wait_s * 2, self._max_s)
        return wait_s * self._rng.uniform(0.5, 1.0)
