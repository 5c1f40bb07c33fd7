"""What a listener runs for one connection: its handlers."""

import asyncio
import logging
import traceback
from collections.abc import Awaitable, Callable
from functools import singledispatch

from radishstile.errors import RefusalError, WireError
from radishstile.outcome import Reason
from radishstile.wire.codec import Envelope
from radishstile.wire.connection import Connection, drop_late
from radishstile.wire.exchange import Exchange, deliver
from radishstile.wire.messages.base import Message
from radishstile.wire.messages.control import CloseExchange
from radishstile.wire.refusals import describe_error

logger = logging.getLogger(__name__)

TELL_LIMIT_MESSAGES = 256


class Session:
    """Reads one connection and runs a task for each exchange on it.

    One-way messages are handled in order on one further task.
    """

    __slots__ = (
        "task",
        "_connection",
        "_handle",
        "_handlers",
        "_tells",
        "_is_finishing",
        "_unfinished",
        "_idle",
    )

    def __init__(
        self,
        connection: Connection,
        handle: Callable[[Message, Exchange], Awaitable[None]],
    ):
        self.task = asyncio.current_task()
        self._connection = connection
        self._handle = handle
        self._handlers: dict[int, asyncio.Task] = {}
        self._tells = asyncio.Queue(TELL_LIMIT_MESSAGES)
        self._is_finishing = False
        self._unfinished = 0
        self._idle = asyncio.Event()
        self._idle.set()

    async def run(self) -> None:
        """Read frames until the connection ends, which raises `WireError`."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._run_tells())
                await self._read_frames(group)
        except BaseExceptionGroup as errors:
            raise errors.exceptions[0] from None
        finally:
            self._idle.set()

    def refuse_new(self) -> None:
        """Refuse exchanges and one-way messages from now on."""
        self._is_finishing = True

    async def finish(self) -> None:
        """Wait for running handlers, then close the connection."""
        await self._idle.wait()
        self._connection.close()

    def cancel_handler(self, number: int) -> None:
        """Cancel the handler of an exchange that the peer closed."""
        handler = self._handlers.get(number)
        if handler is not None:
            handler.cancel()

    async def _read_frames(self, group: asyncio.TaskGroup) -> None:
        try:
            while True:
                envelope = await self._connection.read()
                self._take(envelope, group)
        finally:
            # Before the handlers are cancelled, so that none of them tells
            # the peer that its exchange was closed in good order.
            self._connection.lose()

    def _take(self, envelope: Envelope, group: asyncio.TaskGroup) -> None:
        if envelope.exchange == 0:
            self._queue_tell(envelope.message)
        elif envelope.exchange > self._connection.last_number:
            self._open(envelope, group)
        else:
            self._pass_on(envelope)

    def _queue_tell(self, message: Message) -> None:
        # One-way messages promise nothing, so a slow handler loses some.
        if self._is_finishing or self._tells.full():
            self._connection.counters.dropped_tells += 1
            return
        self._tells.put_nowait(message)
        self._begin_work()

    def _open(self, envelope: Envelope, group: asyncio.TaskGroup) -> None:
        number = envelope.exchange
        self._connection.last_number = number
        exchange = Exchange(self._connection, number)
        refusal = self._find_refusal()
        if refusal is not None:
            self._connection.write(number, describe_error(refusal))
            exchange.close()
            return
        self._connection.exchanges[number] = exchange
        self._begin_work()
        group.create_task(self._run_handler(envelope.message, exchange))

    def _find_refusal(self) -> RefusalError | None:
        if self._is_finishing:
            return RefusalError(Reason.STOPPING)
        limit = self._connection.settings.exchange_limit
        if len(self._connection.exchanges) >= limit:
            return RefusalError(Reason.OVERLOADED, detail="many exchanges")
        return None

    def _pass_on(self, envelope: Envelope) -> None:
        exchange = self._connection.exchanges.get(envelope.exchange)
        if exchange is None:
            drop_late(envelope.message, self._connection.counters)
            return
        deliver(envelope.message, exchange)
        follow_closing(envelope.message, envelope.exchange, self)

    async def _run_handler(self, message: Message, exchange: Exchange) -> None:
        # Registered here, so that only a task that started is cancelled and
        # the clean-up below always runs.
        self._handlers[exchange.number] = asyncio.current_task()
        try:
            if not exchange.is_over:
                await self._answer(message, exchange)
        except WireError as error:
            logger.info("wire: no answer to %s: %s", exchange.peer, error)
        finally:
            exchange.close()
            del self._handlers[exchange.number]
            self._end_work()

    def _begin_work(self) -> None:
        self._unfinished += 1
        self._idle.clear()

    def _end_work(self) -> None:
        self._unfinished -= 1
        if self._unfinished == 0:
            self._idle.set()

    async def _answer(self, message: Message, exchange: Exchange) -> None:
        try:
            await self._handle(message, exchange)
        except Exception as error:
            log_error(error, message)
            request_id = getattr(message, "request_id", "")
            await exchange.send(describe_error(error, request_id))

    async def _run_tells(self) -> None:
        while True:
            message = await self._tells.get()
            try:
                await self._handle(message, Exchange(self._connection, 0))
            except Exception as error:
                log_error(error, message)
            finally:
                self._end_work()


@singledispatch
def follow_closing(message: Message, number: int, session: Session) -> None:
    """Do what a delivered message asks of the session."""


@follow_closing.register
def _(message: CloseExchange, number: int, session: Session) -> None:
    session.cancel_handler(number)


@singledispatch
def log_error(error: Exception, message: Message) -> None:
    """Log a handler's error, unless it is an expected one.

    The error's text is left out, since it may quote a caller's key.
    """
    place = traceback.extract_tb(error.__traceback__)[-1]
    logger.error(
        "wire: handler of %s failed: %s at %s:%d",
        type(message).__name__,
        type(error).__name__,
        place.name,
        place.lineno,
    )


@log_error.register(RefusalError)
@log_error.register(WireError)
def _(error: Exception, message: Message) -> None:
    logger.debug("wire: %s: %s", type(message).__name__, error)
