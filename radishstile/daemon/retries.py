"""Decides whether an order that failed is run again."""

import asyncio
import random

from radishstile.daemon.order import Order
from radishstile.errors import RefusalError
from radishstile.outcome import Outcome, Reason
from radishstile.run.settings import RunSettings

_FINAL = {Reason.RATE_EXCEEDED, Reason.DEADLINE, Reason.STOPPING}


class Attempts:
    """The attempts of one order."""

    __slots__ = ("_settings", "_random", "_count")

    def __init__(self, settings: RunSettings, rng: random.Random):
        self._settings = settings
        self._random = rng
        self._count = 1

    async def wait_retry(self, refusal: RefusalError, order: Order) -> None:
        """Wait before another attempt, or raise `refusal`."""
        may_repeat = order.is_idempotent or refusal.outcome is Outcome.NOT_RUN
        is_last = self._count >= self._settings.retry_attempts
        if not may_repeat or is_last or refusal.reason in _FINAL:
            raise refusal
        self._count += 1
        await asyncio.sleep(self._settings.retry_delay_s)

    def note_success(self) -> None:
        """Record an answered order."""


class Retries:
    """Opens the attempts of each order."""

    __slots__ = ("_settings", "_random")

    def __init__(self, settings: RunSettings, rng: random.Random):
        self._settings = settings
        self._random = rng

    def open(self, order: Order) -> Attempts:
        """Return the attempts of a new order."""
        return Attempts(self._settings, self._random)
