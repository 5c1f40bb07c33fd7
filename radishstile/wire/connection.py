"""A connection to a peer, its envelopes and its exchanges."""

import asyncio
from functools import singledispatch

from radishstile.errors import FrameError, PeerLostError
from radishstile.member import Member
from radishstile.wire.codec import Envelope, decode, encode
from radishstile.wire.counters import WireCounters
from radishstile.wire.exchange import Exchange
from radishstile.wire.frames import (
    FRAME_LIMIT_BYTES,
    PREFIX_BYTES,
    read_frame,
    write_frame,
)
from radishstile.wire.messages.base import Message, Part
from radishstile.wire.messages.control import KeepAlive
from radishstile.wire.settings import WireSettings


class Connection:
    """A connection to one peer and the exchanges that are open on it.

    `peer` and `peer_credit_parts` are set by the handshake. `is_silent` is
    whether the connection was aborted since nothing came from the peer, which
    may be alive; after another end its process is gone unless it reconnects.
    """

    __slots__ = (
        "local_member",
        "peer",
        "peer_credit_parts",
        "settings",
        "counters",
        "exchanges",
        "last_exchange_number",
        "is_silent",
        "_reader",
        "_writer",
        "_reads",
        "_read_at",
        "_writes",
    )

    def __init__(
        self,
        local_member: Member,
        settings: WireSettings,
        counters: WireCounters,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ):
        self.local_member = local_member
        self.peer: Member | None = None
        self.peer_credit_parts = 0
        self.settings = settings
        self.counters = counters
        self.exchanges: dict[int, Exchange] = {}
        self.last_exchange_number = 0
        self.is_silent = False
        self._reader = reader
        self._writer = writer
        self._reads = 0
        self._read_at = asyncio.get_running_loop().time()
        self._writes = 0

    @property
    def address(self) -> str:
        """Return the address of the remote end, for log lines."""
        name = self._writer.get_extra_info("peername")
        return f"{name[0]}:{name[1]}" if name else "unknown address"

    async def read(self, limit_bytes: int = FRAME_LIMIT_BYTES) -> Envelope:
        """Return the next envelope.

        Raises `FrameError` if it is invalid, and `PeerLostError` at the end
        of the stream.
        """
        try:
            content = await read_frame(
                self._reader, limit_bytes, self._record_read
            )
        except (OSError, asyncio.IncompleteReadError) as error:
            reason = "was silent" if self.is_silent else "ended"
            raise PeerLostError(
                f"connection with {self.address} {reason}"
            ) from error
        self.counters.frames_in += 1
        self.counters.bytes_in += len(content) + PREFIX_BYTES
        envelope = decode(content)
        if self.peer and envelope.incarnation != self.peer.incarnation:
            raise FrameError(
                "the message names another incarnation than the handshake"
            )
        return envelope

    async def drain(self) -> None:
        """Wait until the write buffer has space.

        Senders wait before they write, so a peer that does not read slows
        them down. Raises `PeerLostError` if the stream is closed.
        """
        if self._writer.is_closing():
            raise PeerLostError(f"connection with {self.address} ended")
        try:
            await self._writer.drain()
        except OSError as error:
            raise PeerLostError(
                f"connection with {self.address} ended"
            ) from error

    def write(self, number: int, message: Message) -> None:
        """Write a message of exchange `number` without waiting.

        Raises `FrameError` if the message can't be encoded, and
        `PeerLostError` if the stream is closed.
        """
        content = encode(
            Envelope(self.local_member.incarnation, number, message)
        )
        if self._writer.is_closing():
            raise PeerLostError(f"connection with {self.address} ended")
        self.counters.bytes_out += write_frame(self._writer, content)
        self.counters.frames_out += 1
        self._writes += 1

    def try_write(self, number: int, message: Message) -> None:
        """Write a message unless the stream is closed."""
        if not self._writer.is_closing():
            self.write(number, message)

    def open(self, exchange: Exchange, message: Message) -> int:
        """Write the first message of an exchange and return its number."""
        number = self.last_exchange_number + 1
        self.write(number, message)
        self.last_exchange_number = number
        self.exchanges[number] = exchange
        return number

    def remove(self, exchange: Exchange) -> None:
        """Remove an exchange; later messages for it are dropped."""
        self.exchanges.pop(exchange.number, None)

    async def watch(self) -> None:
        """Send a frame where none is due, and abort a silent connection.

        Silence is counted in intervals of this host's loop, so that one that
        was busy or suspended itself first reads what has arrived meanwhile.
        """
        interval_s = self.settings.keepalive_s
        silent_s = 0.0
        while silent_s < self.settings.silence_timeout_s:
            reads, writes = self._reads, self._writes
            await asyncio.sleep(interval_s)
            silent_s = silent_s + interval_s if self._reads == reads else 0.0
            if self._writes == writes:
                self.try_write(0, KeepAlive())
        self.is_silent = True
        self.counters.silent_connections += 1
        self.abort()

    def measure_silence(self) -> float:
        """Return the seconds since something came from the peer."""
        return asyncio.get_running_loop().time() - self._read_at

    def abort(self) -> None:
        """Abort the connection and fail its exchanges at once."""
        self._writer.transport.abort()
        for exchange in self.exchanges.values():
            exchange.mark_disconnected()
        self.exchanges.clear()

    def close(self) -> None:
        """Close the connection after sending what was written."""
        self._writer.close()

    def _record_read(self) -> None:
        self._reads += 1
        self._read_at = asyncio.get_running_loop().time()


@singledispatch
def drop_late_message(message: Message, counters: WireCounters) -> None:
    """Drop a message of a closed exchange, and count it if it is a part."""


@drop_late_message.register
def _(message: Part, counters: WireCounters) -> None:
    counters.dropped_parts += 1
