"""The body of a long answer, received while it is passed on."""

import asyncio
from collections.abc import AsyncIterator

from radishstile.entry.buffers import BufferReservation
from radishstile.entry.claims import Slot
from radishstile.entry.connection_pool import (
    ConnectionPool,
    UpstreamConnection,
    read_more,
)
from radishstile.entry.node import read_clock
from radishstile.entry.plan import AttemptResult
from radishstile.errors import HttpError, RefusalError
from radishstile.http.parser import AnswerParser
from radishstile.outcome import Outcome, Reason
from radishstile.slot.claim import Ending
from radishstile.upstream.registration import Registration


class UpstreamBody:
    """A body that is still being received.

    It occupies its slot and connection until it is closed. `result` is that
    of the run once the body is complete; `deadline_at` is the loop's time, in
    seconds.
    """

    __slots__ = (
        "_slot",
        "_upstream",
        "_connection",
        "_parser",
        "_parts",
        "_deadline_at",
        "_pool",
        "_reservation",
        "_started_at",
        "_result",
        "_ending",
        "_is_closed",
    )

    def __init__(
        self,
        slot: Slot,
        upstream: Registration,
        connection: UpstreamConnection,
        parser: AnswerParser,
        parts: list[bytes],
        result: AttemptResult,
        deadline_at: float,
        pool: ConnectionPool,
        reservation: BufferReservation,
    ):
        self._slot = slot
        self._upstream = upstream
        self._connection = connection
        self._parser = parser
        self._parts = parts
        self._deadline_at = deadline_at
        self._pool = pool
        self._reservation = reservation
        self._started_at = read_clock()
        self._result = result
        self._ending = Ending.ABANDONED
        self._is_closed = False

    @property
    def deadline_at(self) -> float | None:
        """Return the loop's time up to which the rest may be received.

        None if nothing is missing: what is ready is delivered even late.
        """
        return None if self._parser.is_complete else self._deadline_at

    async def read(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body, those received so far first.

        Raises `RefusalError` if the body can't be completed.
        """
        try:
            while self._parts:
                yield self._parts.pop(0)
            self._reservation.close()
            while not self._parser.is_complete:
                async with asyncio.timeout_at(self._deadline_at):
                    await read_more(self._connection, self._parser)
                part = self._parser.take_body()
                if part:
                    yield part
                del part
            self._ending = self._result.ending
        except (ConnectionError, HttpError, TimeoutError) as error:
            self._ending = Ending.BROKEN
            raise RefusalError(
                Reason.UPSTREAM_LOST, Outcome.RAN, detail=str(error)
            ) from error

    async def close(self) -> None:
        """Release the slot, and keep the connection if it is sound."""
        if self._is_closed:
            return
        self._is_closed = True
        self._parts.clear()
        self._reservation.close()
        is_kept = self._parser.is_complete and self._pool.keep(
            self._upstream, self._connection, self._parser
        )
        if not is_kept:
            self._connection.abort()
        held_s = read_clock() - self._started_at
        result = self._result
        await asyncio.shield(
            self._slot.release(
                self._ending, held_s, result.rate_limit, result.load
            )
        )
