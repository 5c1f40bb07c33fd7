"""Runs the handlers for one accepted connection."""

import asyncio
import logging
import traceback
from collections.abc import Awaitable, Callable
from functools import singledispatch

from radishstile.errors import RefusalError, WireError
from radishstile.outcome import Reason
from radishstile.wire.codec import Envelope
from radishstile.wire.connection import Connection, drop_late_message
from radishstile.wire.counters import WireCounters
from radishstile.wire.exchange import Exchange, deliver
from radishstile.wire.messages.base import Message
from radishstile.wire.messages.control import CloseExchange, KeepAlive
from radishstile.wire.refusals import make_error_message
from radishstile.wire.replies import list_follow_up_types

logger = logging.getLogger(__name__)

NOTIFICATION_LIMIT_MESSAGES = 256


class PeerSession:
    """Reads one connection and runs a task for each exchange on it.

    One more task handles the notifications in order.
    """

    __slots__ = (
        "task",
        "_connection",
        "_handle",
        "_handlers",
        "_notifications",
        "_is_draining",
        "_pending",
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
        self._notifications = asyncio.Queue(NOTIFICATION_LIMIT_MESSAGES)
        self._is_draining = False
        self._pending = 0
        self._idle = asyncio.Event()
        self._idle.set()

    async def run(self) -> None:
        """Read frames until the connection ends, which raises `WireError`."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._handle_notifications())
                group.create_task(self._connection.watch())
                await self._read_frames(group)
        except BaseExceptionGroup as errors:
            raise errors.exceptions[0] from None
        finally:
            self._idle.set()

    def start_draining(self) -> None:
        """Refuse new exchanges and drop new notifications."""
        self._is_draining = True

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
                self._dispatch(envelope, group)
        finally:
            # Aborted before the handlers are cancelled, so that none of them
            # sends the peer a regular close of its exchange.
            self._connection.abort()

    def _dispatch(self, envelope: Envelope, group: asyncio.TaskGroup) -> None:
        if envelope.exchange == 0:
            accept_notification(envelope.message, self)
        elif envelope.exchange > self._connection.last_exchange_number:
            self._open_exchange(envelope, group)
        else:
            self._deliver(envelope)

    def queue_notification(self, message: Message) -> None:
        """Queue a notification for its handler, or drop it."""
        # Delivery is best-effort: a slow handler causes drops.
        if self._is_draining or self._notifications.full():
            self._connection.counters.dropped_tells += 1
            return
        self._notifications.put_nowait(message)
        self._add_pending()

    def _open_exchange(
        self, envelope: Envelope, group: asyncio.TaskGroup
    ) -> None:
        number = envelope.exchange
        self._connection.last_exchange_number = number
        exchange = Exchange(
            self._connection, number, list_follow_up_types(envelope.message)
        )
        refusal = self._find_refusal()
        if refusal is not None:
            self._connection.write(number, make_error_message(refusal))
            exchange.close()
            return
        self._connection.exchanges[number] = exchange
        self._add_pending()
        group.create_task(self._run_handler(envelope.message, exchange))

    def _find_refusal(self) -> RefusalError | None:
        if self._is_draining:
            return RefusalError(Reason.STOPPING)
        limit = self._connection.settings.exchange_limit
        if len(self._connection.exchanges) >= limit:
            return RefusalError(
                Reason.OVERLOADED, detail="too many open exchanges"
            )
        return None

    def _deliver(self, envelope: Envelope) -> None:
        exchange = self._connection.exchanges.get(envelope.exchange)
        if exchange is None:
            drop_late_message(envelope.message, self._connection.counters)
            return
        deliver(envelope.message, exchange)
        cancel_on_close(envelope.message, envelope.exchange, self)

    async def _run_handler(self, message: Message, exchange: Exchange) -> None:
        # Registered here, so that only a started task is cancelled and its
        # `finally` clause always runs.
        self._handlers[exchange.number] = asyncio.current_task()
        try:
            if not exchange.is_closed:
                await self._answer(message, exchange)
        except WireError as error:
            logger.info("wire: can't answer %s: %s", exchange.peer, error)
        finally:
            exchange.close()
            del self._handlers[exchange.number]
            self._remove_pending()

    def _add_pending(self) -> None:
        self._pending += 1
        self._idle.clear()

    def _remove_pending(self) -> None:
        self._pending -= 1
        if self._pending == 0:
            self._idle.set()

    async def _answer(self, message: Message, exchange: Exchange) -> None:
        try:
            await self._handle(message, exchange)
        except Exception as error:
            log_error(error, message, self._connection.counters)
            request_id = getattr(message, "request_id", "")
            await exchange.send(make_error_message(error, request_id))

    async def _handle_notifications(self) -> None:
        while True:
            message = await self._notifications.get()
            try:
                await self._handle(message, Exchange(self._connection, 0))
            except Exception as error:
                log_error(error, message, self._connection.counters)
            finally:
                self._remove_pending()


@singledispatch
def accept_notification(message: Message, session: PeerSession) -> None:
    """Accept a message that belongs to no exchange."""
    session.queue_notification(message)


@accept_notification.register
def _(message: KeepAlive, session: PeerSession) -> None:
    """Ignore it: its arrival was all it tells."""


@singledispatch
def cancel_on_close(
    message: Message, number: int, session: PeerSession
) -> None:
    """Cancel the handler of an exchange if `message` closes it."""


@cancel_on_close.register
def _(message: CloseExchange, number: int, session: PeerSession) -> None:
    session.cancel_handler(number)


@singledispatch
def log_error(
    error: Exception, message: Message, counters: WireCounters
) -> None:
    """Log a handler's error; an expected one only at debug level.

    An unexpected one is counted and logged with its traceback. Its text is
    left out, since it may quote a caller's key.
    """
    counters.failed_tasks += 1
    place = traceback.extract_tb(error.__traceback__)[-1]
    logger.error(
        "wire: handler of %s failed: %s at %s:%d\n%s",
        type(message).__name__,
        type(error).__name__,
        place.name,
        place.lineno,
        "".join(traceback.format_tb(error.__traceback__)),
    )


@log_error.register(RefusalError)
@log_error.register(WireError)
def _(error: Exception, message: Message, counters: WireCounters) -> None:
    logger.debug(
        "wire: answered %s with an error: %s", type(message).__name__, error
    )
