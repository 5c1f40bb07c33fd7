"""An exchange of messages between a dialler and a peer's handler."""

import asyncio
from collections import deque
from functools import singledispatch

from radishstile.errors import FrameError, PeerLostError, ReplyError, WireError
from radishstile.member import Member
from radishstile.wire.messages.base import Message, Part
from radishstile.wire.messages.control import CloseExchange, Credit
from radishstile.wire.replies import Types, check_type, list_reply_types

INBOX_LIMIT_MESSAGES = 64


class Exchange:
    """A numbered exchange on one connection.

    The number is assigned when the first message is written, so that numbers
    increase along the stream; until then `is_sent` is false. `expected` are
    the types that the peer may send on an exchange that it opened; on one
    that is opened here they follow from the first message.
    """

    __slots__ = (
        "number",
        "_connection",
        "_expected",
        "_inbox",
        "_message_arrived",
        "_credit_added",
        "_send_credit",
        "_receive_window",
        "_unreturned_credit",
        "_is_disconnected",
        "_is_closed",
    )

    def __init__(
        self, connection, number: int | None = None, expected: Types = ()
    ):
        self.number = number
        self._connection = connection
        self._expected = expected
        self._inbox = deque()
        self._message_arrived = asyncio.Event()
        self._credit_added = asyncio.Event()
        self._send_credit = connection.peer_credit_parts
        self._receive_window = connection.settings.credit_parts
        self._unreturned_credit = 0
        self._is_disconnected = False
        self._is_closed = False

    @property
    def peer(self) -> Member:
        """Return the member at the remote end."""
        return self._connection.peer

    @property
    def connection(self):
        """Return the connection that carries the exchange."""
        return self._connection

    @property
    def is_disconnected(self) -> bool:
        """Return whether the connection ended before the exchange."""
        return self._is_disconnected

    @property
    def is_closed(self) -> bool:
        """Return whether either side closed the exchange."""
        return self._is_closed

    @property
    def is_sent(self) -> bool:
        """Return whether a message may have reached the peer."""
        return self.number is not None

    async def send(self, message: Message) -> None:
        """Send a message; a part waits for the peer's credit.

        Raises `PeerLostError` if the connection ends, and `WireError` if the
        exchange is closed.
        """
        await take_credit(message, self)
        self._check_open()
        await self._connection.drain()
        self._check_open()
        if self.is_sent:
            self._connection.write(self.number, message)
        else:
            self.number = self._connection.open(self, message)
            self._expected = list_reply_types(message)

    async def receive(self, timeout_s: float | None = None) -> Message:
        """Return the next message, in the order of sending.

        Messages that arrived before the connection ended are still returned.
        Raises `TimeoutError`, `PeerLostError` if the connection has ended,
        `ReplyError` if the message is of a type that the exchange does not
        expect, and `WireError` if the peer has closed the exchange.
        """
        async with asyncio.timeout(timeout_s):
            while not self._inbox:
                self._check_open()
                self._message_arrived.clear()
                await self._message_arrived.wait()
        message = self._inbox.popleft()
        return_credit(message, self)
        self._check_type(message)
        return message

    def close(self) -> None:
        """Close the exchange; a running handler of the peer is cancelled."""
        if self.is_sent and not self._is_closed and not self._is_disconnected:
            self._connection.try_write(self.number, CloseExchange())
        self._connection.remove(self)
        self.mark_closed()

    def mark_closed(self) -> None:
        """Mark the exchange as closed by the peer or locally."""
        self._is_closed = True
        self._wake_waiters()

    def mark_disconnected(self) -> None:
        """Mark the connection as ended."""
        self._is_disconnected = True
        self._wake_waiters()

    def _check_type(self, message: Message) -> None:
        try:
            check_type(message, self._expected)
        except ReplyError:
            self._connection.counters.wrong_replies += 1
            raise

    def _wake_waiters(self) -> None:
        self._message_arrived.set()
        self._credit_added.set()

    def _check_open(self) -> None:
        if self._is_disconnected:
            raise PeerLostError(f"connection to {self.peer} ended")
        if self._is_closed:
            raise WireError(f"exchange with {self.peer} is closed")

    async def _wait_credit(self) -> None:
        while self._send_credit == 0:
            self._check_open()
            self._credit_added.clear()
            await self._credit_added.wait()
        self._send_credit -= 1

    def _add_credit(self, parts: int) -> None:
        if (
            not 0
            < parts
            <= self._connection.peer_credit_parts - self._send_credit
        ):
            raise FrameError("credit exceeds the window")
        self._send_credit += parts
        self._credit_added.set()

    def _return_credit(self) -> None:
        # Credit is returned for half a window at once, in fewer frames.
        self._unreturned_credit += 1
        is_due = (
            self._unreturned_credit * 2
            >= self._connection.settings.credit_parts
        )
        if not is_due or self._is_closed or self._is_disconnected:
            return
        self._connection.try_write(
            self.number, Credit(parts=self._unreturned_credit)
        )
        self._receive_window += self._unreturned_credit
        self._unreturned_credit = 0

    def _enqueue(self, message: Message) -> None:
        limit = INBOX_LIMIT_MESSAGES + self._connection.settings.credit_parts
        if len(self._inbox) >= limit:
            raise FrameError("exchange has too many unread messages")
        self._inbox.append(message)
        self._message_arrived.set()

    def _enqueue_part(self, part: Part) -> None:
        if self._receive_window == 0:
            raise FrameError("part was sent without credit")
        self._receive_window -= 1
        self._enqueue(part)

    async def __aenter__(self) -> "Exchange":
        return self

    async def __aexit__(self, *_) -> None:
        self.close()


@singledispatch
async def take_credit(message: Message, exchange: Exchange) -> None:
    """Wait for the credit that sending `message` needs."""


@take_credit.register
async def _(message: Part, exchange: Exchange) -> None:
    await exchange._wait_credit()


@singledispatch
def return_credit(message: Message, exchange: Exchange) -> None:
    """Return the credit that `message` used."""


@return_credit.register
def _(message: Part, exchange: Exchange) -> None:
    exchange._return_credit()


@singledispatch
def deliver(message: Message, exchange: Exchange) -> None:
    """Pass a received message to its exchange.

    Raises `FrameError` if the peer exceeds a limit.
    """
    exchange._enqueue(message)


@deliver.register
def _(message: Part, exchange: Exchange) -> None:
    exchange._enqueue_part(message)


@deliver.register
def _(message: Credit, exchange: Exchange) -> None:
    exchange._add_credit(message.parts)


@deliver.register
def _(message: CloseExchange, exchange: Exchange) -> None:
    exchange.mark_closed()
