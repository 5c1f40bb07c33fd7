"""A byte stream over TCP that tells whether unread bytes have arrived.

`asyncio.StreamReader` does not. A pooled connection must not be reused if
unexpected bytes have arrived on it.
"""

import asyncio
import fcntl
import socket
import struct
import termios
from contextlib import suppress
from typing import Any

# Bytes that are read from a socket at once.
READ_BYTES = 65_536
# Unread bytes above which reading from the socket is paused.
UNREAD_LIMIT_BYTES = 65_536
# Bytes that are read at once, and then no more, where many streams have unread
# bytes.
SMALL_READ_BYTES = 4096
# Unsent bytes above which `drain` waits.
UNSENT_LIMIT_BYTES = 131_072
# Time without an acknowledgement after which the kernel closes a connection;
# 3 s is the shortest `contact_s` that a platform file sets. The kernel applies
# it as well to a peer that acknowledges all the time, but whose window is
# smaller than the next segment.
USER_TIMEOUT_S = 3.0
_MS_PER_S = 1000
# The same for a peer that has no space for more, in seconds: longer than the
# deadline of any request.
SLOW_USER_TIMEOUT_S = 60.0
# Time since the last acknowledgement within which a peer counts as live, in
# seconds.
LIVE_S = 1.0
# The integer that `SIOCOUTQ` fills in.
_QUEUE_SIZE = struct.Struct("i")
# The segments in flight, and the milliseconds since the last acknowledgement,
# in the kernel's `tcp_info`.
_TCP_INFO = struct.Struct("24xI28xI")

# All streams read into one buffer, whose content is copied at once: the event
# loop reads from one socket at a time.
_read_buffer = memoryview(bytearray(READ_BYTES))
_small_buffer = _read_buffer[:SMALL_READ_BYTES]


class ByteStream(asyncio.BufferedProtocol):
    """One TCP connection, read and written by one task at a time.

    `failure` is the error that ended the connection, or None after a normal
    end.
    """

    __slots__ = (
        "transport",
        "failure",
        "_chunks",
        "_unread_bytes",
        "_written_bytes",
        "_acknowledged_bytes",
        "_user_timeout_s",
        "_is_ended",
        "_is_reading_paused",
        "_is_writing_paused",
        "_is_writing_ended",
        "_is_idle",
        "_read_waiter",
        "_end_waiter",
        "_drain_waiter",
        "_close_waiter",
    )

    def __init__(self):
        self.transport: asyncio.Transport | None = None
        self.failure: Exception | None = None
        self._chunks: list[bytes] = []
        self._unread_bytes = 0
        self._written_bytes = 0
        self._acknowledged_bytes = 0
        self._user_timeout_s = 0.0
        self._is_ended = False
        self._is_reading_paused = False
        self._is_writing_paused = False
        self._is_writing_ended = False
        self._is_idle = False
        self._read_waiter: asyncio.Future | None = None
        self._end_waiter: asyncio.Future | None = None
        self._drain_waiter: asyncio.Future | None = None
        self._close_waiter: asyncio.Future | None = None

    @property
    def unread_bytes(self) -> int:
        """Return the bytes that were received and not read."""
        return self._unread_bytes

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that were written and not taken by the kernel."""
        if self.transport is None:
            return 0
        return self.transport.get_write_buffer_size()

    @property
    def acknowledged_bytes(self) -> int:
        """Return the bytes that were written and acknowledged by the peer."""
        waiting_bytes = self.unsent_bytes + self._count_queued()
        self._acknowledged_bytes = self._written_bytes - waiting_bytes
        return self._acknowledged_bytes

    @property
    def is_acknowledged(self) -> bool:
        """Return whether all was acknowledged when it was last asked for."""
        return self._acknowledged_bytes == self._written_bytes

    @property
    def peer_address(self) -> str:
        """Return the peer's IP address, empty if it is not known."""
        if self.transport is None:
            return ""
        name = self.transport.get_extra_info("peername")
        return name[0] if name else ""

    @property
    def is_lost(self) -> bool:
        """Return whether both directions are closed."""
        return self.transport is None

    @property
    def is_ended(self) -> bool:
        """Return whether the peer closed the connection or it was lost."""
        return self._is_ended

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection is open and has no unread bytes."""
        return not self._is_ended and not self._unread_bytes

    async def read(self) -> bytes:
        """Return the received bytes, or none at the end of the stream.

        Raises `ConnectionError` if the connection was lost.
        """
        if not self._chunks and not self._is_ended:
            self._read_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._read_waiter
            finally:
                self._read_waiter = None
        if self._chunks:
            return self._take_unread()
        if self.failure is not None:
            raise ConnectionResetError(str(self.failure)) from self.failure
        return b""

    def set_idle(self, is_idle: bool) -> None:
        """Set whether nothing is awaited; what comes then ends the stream.

        Nobody would read it, and many idle streams would keep it.
        """
        self._is_idle = is_idle

    def write(self, content: bytes) -> None:
        """Send bytes without waiting, unless the sending side has ended."""
        if self._can_write:
            self._written_bytes += len(content)
            self.transport.write(content)

    async def drain(self) -> None:
        """Wait until the write buffer has been mostly sent.

        Raises `ConnectionError` if the connection has ended.
        """
        if self._is_writing_paused and not self._is_ended:
            self._drain_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._drain_waiter
            finally:
                self._drain_waiter = None
        if self._is_ended:
            raise ConnectionResetError("the connection has ended")

    async def wait_ended(self) -> None:
        """Wait until the peer closes the connection or it is lost.

        While too much is unread, only a write that fails shows it.
        """
        if self._is_ended:
            return
        self._end_waiter = asyncio.get_running_loop().create_future()
        try:
            await self._end_waiter
        finally:
            self._end_waiter = None

    async def wait_closed(self) -> None:
        """Wait until all was sent after `close`, or the connection is lost."""
        if self.is_lost:
            return
        self._close_waiter = asyncio.get_running_loop().create_future()
        try:
            await self._close_waiter
        finally:
            self._close_waiter = None

    def set_unsent_limit(self, size: int) -> None:
        """Set the unsent bytes above which `drain` waits."""
        if self.transport is not None:
            self.transport.set_write_buffer_limits(high=size)

    def set_user_timeout(self, timeout_s: float) -> None:
        """Set how long the peer may acknowledge nothing new, in seconds.

        It is the TCP user timeout (RFC 5482).
        """
        raw = self._find_socket()
        if raw is None or timeout_s == self._user_timeout_s:
            return
        self._user_timeout_s = timeout_s
        # A socket is closed before its stream learns that it is lost.
        with suppress(OSError):
            raw.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                int(timeout_s * _MS_PER_S),
            )

    def adapt_user_timeout(self) -> None:
        """Give a peer that only lacks space for more a longer user timeout.

        Called about once a second while bytes are not acknowledged.
        """
        is_waiting = self.acknowledged_bytes < self._written_bytes
        is_slow = is_waiting and self._is_peer_live()
        self.set_user_timeout(
            SLOW_USER_TIMEOUT_S if is_slow else USER_TIMEOUT_S
        )

    def end_writing(self) -> None:
        """Close the sending side after what was written."""
        if self._can_write:
            self._is_writing_ended = True
            self.transport.write_eof()

    def interrupt_read(self) -> None:
        """Let a `read` that waits return no bytes, as at the stream's end."""
        _wake(self._read_waiter)

    def close(self) -> None:
        """Close the connection after sending what was written."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Abort the connection without sending what is buffered."""
        if self.transport is not None:
            self.transport.abort()

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set the transport and the socket options."""
        self.transport = transport
        transport.set_write_buffer_limits(high=UNSENT_LIMIT_BYTES)
        self.set_user_timeout(USER_TIMEOUT_S)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to put received bytes."""
        return _small_buffer if self._is_flooded() else _read_buffer

    def buffer_updated(self, size: int) -> None:
        """Keep received bytes until they are read."""
        if self._is_idle:
            self._mark_ended()
            self.abort()
            return
        self._chunks.append(bytes(_read_buffer[:size]))
        self._set_unread(self._unread_bytes + size)
        limit = 0 if self._is_flooded() else UNREAD_LIMIT_BYTES
        if self._unread_bytes > limit and not self._is_reading_paused:
            self._is_reading_paused = True
            self.transport.pause_reading()
        _wake(self._read_waiter)

    def eof_received(self) -> bool:
        """Mark the end of the stream; writing is still possible."""
        self._mark_ended()
        return True

    def connection_lost(self, failure: Exception | None) -> None:
        """Mark the connection as ended."""
        self.failure = self.failure or failure
        self.transport = None
        self._mark_ended()
        _wake(self._close_waiter)

    def pause_writing(self) -> None:
        """Make `drain` wait."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Let `drain` return."""
        self._is_writing_paused = False
        _wake(self._drain_waiter)

    @property
    def _can_write(self) -> bool:
        if self.transport is None or self._is_writing_ended:
            return False
        return not self.transport.is_closing()

    def _find_socket(self) -> Any:
        """Return the socket, or None if there is none any more."""
        if self.transport is None:
            return None
        return self.transport.get_extra_info("socket")

    def _count_queued(self) -> int:
        """Return the bytes that the kernel holds until they are acknowledged.

        Returns 0 if the kernel doesn't tell.
        """
        raw = self._find_socket()
        if raw is None:
            return 0
        try:
            answer = fcntl.ioctl(
                raw.fileno(), termios.TIOCOUTQ, bytes(_QUEUE_SIZE.size)
            )
        except (OSError, ValueError):
            # The latter is that of a socket that was closed.
            return 0
        return _QUEUE_SIZE.unpack(answer)[0]

    def _is_peer_live(self) -> bool:
        """Return whether nothing is in flight, or was acknowledged lately."""
        raw = self._find_socket()
        if raw is None:
            return False
        try:
            info = raw.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size
            )
        except OSError:
            return False
        if len(info) < _TCP_INFO.size:
            return False
        in_flight, acknowledged_ms = _TCP_INFO.unpack(info)
        return not in_flight or acknowledged_ms < LIVE_S * _MS_PER_S

    def _is_flooded(self) -> bool:
        """Return whether all streams together have too many unread bytes."""
        return False

    def _set_unread(self, size: int) -> None:
        self._unread_bytes = size

    def _take_unread(self) -> bytes:
        content = b"".join(self._chunks)
        self._chunks.clear()
        self._set_unread(0)
        if self._is_reading_paused:
            self._is_reading_paused = False
            if self.transport is not None:
                self.transport.resume_reading()
        return content

    def _mark_ended(self) -> None:
        self._is_ended = True
        _wake(self._read_waiter)
        _wake(self._end_waiter)
        _wake(self._drain_waiter)


def _wake(waiter: asyncio.Future | None) -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)
