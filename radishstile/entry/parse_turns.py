"""Turns of connections whose bytes cost much time to parse."""

import asyncio
import time
from collections.abc import Callable

from radishstile.errors import RefusalError
from radishstile.outcome import Outcome, Reason

# Time between turns as a multiple of what a turn takes: such connections
# together take a quarter of the time.
TURN_FACTOR = 4
# Longest time between turns, in seconds.
MAX_TURN_S = 0.1
# Longest wait for a turn, in seconds: beyond it there are more of such
# connections than the host can serve.
MAX_WAIT_S = 2.0
# Retry-After of a request that can't be parsed in time, in seconds.
RETRY_S = 1.0


class ParseTurns:
    """Lets one connection after another parse, and others run in between.

    Bodies in chunks of one byte, or requests of a few bytes, take a hundred
    times as long for their size as others. Many such connections would hold
    up all that the host does. A single one isn't slowed down.
    """

    __slots__ = ("_clock", "_timer", "_next_at", "_last", "_turn_s")

    def __init__(
        self,
        clock: Callable[[], float],
        timer: Callable[[], float] = time.perf_counter,
    ):
        self._clock = clock
        self._timer = timer
        # The loop's time of the next turn that nobody has.
        self._next_at = 0.0
        # Who has the last turn that was given.
        self._last: object = None
        self._turn_s = 0.0

    async def take(self, taker: object, parse: Callable[[], None]) -> None:
        """Call `parse` in a turn of `taker`; raises what it raises.

        Raises `RefusalError` if too many others have a turn before.
        """
        now = self._clock()
        if self._last is taker or self._next_at < now:
            self._next_at = now
        wait_s = self._next_at - now
        if wait_s > MAX_WAIT_S:
            raise RefusalError(
                Reason.OVERLOADED,
                Outcome.NOT_RUN,
                RETRY_S,
                "too many requests take long to parse",
            )
        self._last = taker
        self._next_at += self._turn_s
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        started_at = self._timer()
        parse()
        taken_s = self._timer() - started_at
        self._turn_s = min(MAX_TURN_S, taken_s * TURN_FACTOR)
