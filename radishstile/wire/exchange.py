"""One exchange of messages between a dialler and a peer's handler."""

import asyncio
from collections import deque
from functools import singledispatch

from radishstile.errors import FrameError, PeerLostError, WireError
from radishstile.member import Member
from radishstile.wire.messages.base import Message, Part
from radishstile.wire.messages.control import CloseExchange, Credit

INBOX_LIMIT_MESSAGES = 64


class Exchange:
    """A numbered exchange on one connection.

    The number is given when the first message is written, so that numbers
    grow in the order of the stream; until then `is_sent` is false.
    """

    __slots__ = (
        "number",
        "_connection",
        "_inbox",
        "_arrived",
        "_credited",
        "_credit",
        "_window",
        "_owed",
        "_is_lost",
        "_is_over",
    )

    def __init__(self, connection, number: int | None = None):
        self.number = number
        self._connection = connection
        self._inbox = deque()
        self._arrived = asyncio.Event()
        self._credited = asyncio.Event()
        self._credit = connection.peer_credit_parts
        self._window = connection.settings.credit_parts
        self._owed = 0
        self._is_lost = False
        self._is_over = False

    @property
    def peer(self) -> Member:
        """Return the member at the other end."""
        return self._connection.peer

    @property
    def is_over(self) -> bool:
        """Return whether either side closed the exchange."""
        return self._is_over

    @property
    def is_sent(self) -> bool:
        """Return whether a message may have reached the peer."""
        return self.number is not None

    async def send(self, message: Message) -> None:
        """Send a message; a part waits until the peer has room for it.

        Raises `PeerLostError` when the connection ends, and `WireError` when
        the exchange is closed.
        """
        await take_credit(message, self)
        self._check_open()
        await self._connection.drain()
        self._check_open()
        if self.is_sent:
            self._connection.write(self.number, message)
        else:
            self.number = self._connection.open(self, message)

    async def receive(self, timeout_s: float | None = None) -> Message:
        """Return the next message, in the order of sending.

        What arrived before the end of the connection is still returned.
        Raises `TimeoutError`, `PeerLostError` when the connection ends, and
        `WireError` when the peer closed the exchange.
        """
        async with asyncio.timeout(timeout_s):
            while not self._inbox:
                self._check_open()
                self._arrived.clear()
                await self._arrived.wait()
        message = self._inbox.popleft()
        return_credit(message, self)
        return message

    def close(self) -> None:
        """End the exchange; the peer's handler is cancelled if it runs."""
        if self.is_sent and not self._is_over and not self._is_lost:
            self._connection.try_write(self.number, CloseExchange())
        self._connection.forget(self)
        self.end()

    def end(self) -> None:
        """Take note that no more messages come on this exchange."""
        self._is_over = True
        self._wake()

    def lose(self) -> None:
        """Take note that the connection ended."""
        self._is_lost = True
        self._wake()

    def _wake(self) -> None:
        self._arrived.set()
        self._credited.set()

    def _check_open(self) -> None:
        if self._is_lost:
            raise PeerLostError(f"connection to {self.peer} ended")
        if self._is_over:
            raise WireError(f"exchange with {self.peer} is closed")

    async def _wait_credit(self) -> None:
        while self._credit == 0:
            self._check_open()
            self._credited.clear()
            await self._credited.wait()
        self._credit -= 1

    def _add_credit(self, parts: int) -> None:
        if not 0 < parts <= self._connection.peer_credit_parts - self._credit:
            raise FrameError("credit is over the window")
        self._credit += parts
        self._credited.set()

    def _return_credit(self) -> None:
        # Half a window at a time, so that few frames carry credit only.
        self._owed += 1
        is_due = self._owed * 2 >= self._connection.settings.credit_parts
        if not is_due or self._is_over or self._is_lost:
            return
        self._connection.try_write(self.number, Credit(parts=self._owed))
        self._window += self._owed
        self._owed = 0

    def _put(self, message: Message) -> None:
        limit = INBOX_LIMIT_MESSAGES + self._connection.settings.credit_parts
        if len(self._inbox) >= limit:
            raise FrameError("exchange has too many unread messages")
        self._inbox.append(message)
        self._arrived.set()

    def _put_part(self, part: Part) -> None:
        if self._window == 0:
            raise FrameError("part was sent without credit")
        self._window -= 1
        self._put(part)

    async def __aenter__(self) -> "Exchange":
        return self

    async def __aexit__(self, *_) -> None:
        self.close()


@singledispatch
async def take_credit(message: Message, exchange: Exchange) -> None:
    """Wait for what `message` needs before it may be sent."""


@take_credit.register
async def _(message: Part, exchange: Exchange) -> None:
    await exchange._wait_credit()


@singledispatch
def return_credit(message: Message, exchange: Exchange) -> None:
    """Give back the room that `message` took."""


@return_credit.register
def _(message: Part, exchange: Exchange) -> None:
    exchange._return_credit()


@singledispatch
def deliver(message: Message, exchange: Exchange) -> None:
    """Hand a message from the stream to its exchange.

    Raises `FrameError` where the peer sends more than it may.
    """
    exchange._put(message)


@deliver.register
def _(message: Part, exchange: Exchange) -> None:
    exchange._put_part(message)


@deliver.register
def _(message: Credit, exchange: Exchange) -> None:
    exchange._add_credit(message.parts)


@deliver.register
def _(message: CloseExchange, exchange: Exchange) -> None:
    exchange.end()
