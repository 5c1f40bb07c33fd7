"""Pool of persistent HTTP connections to upstreams."""

import asyncio
from collections import deque

from radishstile.entry.buffers import (
    BufferBudget,
    BufferReservation,
    Kind,
)
from radishstile.entry.node import read_clock
from radishstile.errors import UpstreamRefusedError, UpstreamUnreachableError
from radishstile.http.body import Body
from radishstile.http.parser import AnswerParser
from radishstile.http.stream import USER_TIMEOUT_S, ByteStream
from radishstile.platform.http_codec import read_keepalive_timeout
from radishstile.upstream.registration import Registration

# Body bytes that are buffered before an answer is streamed, so that the
# request can still be retried if the answer breaks off. Most are smaller.
BUFFER_LIMIT_BYTES = 262_144
# Body bytes up to which a request is sent in one piece.
SEND_PART_BYTES = 65_536
# Connect timeout in seconds: two round trips between the farthest regions,
# and as much again for a busy host.
CONNECT_TIMEOUT_S = 0.5
# How long an idle connection is kept where the upstream announces no limit,
# in seconds; upstreams close theirs after 10.
DEFAULT_IDLE_S = 8.0
# Idle connections are closed this long before the upstream would do so, in
# seconds, so that no request races with the close.
IDLE_MARGIN_S = 1.5


class UpstreamConnection:
    """A connection to one incarnation of an upstream.

    `idle_until` is the loop's time up to which it may be reused, in seconds.
    """

    __slots__ = ("stream", "idle_until", "_sender")

    def __init__(self, stream: ByteStream):
        self.stream = stream
        self.idle_until = 0.0
        self._sender: asyncio.Task | None = None

    @property
    def is_sent(self) -> bool:
        """Return whether all of the last request was written."""
        return self._sender is None or self._sender.done()

    def send(self, head: bytes, body: Body, limit_s: float) -> None:
        """Send a request without waiting; a long body in a task of its own.

        The parts aren't copied, and the task waits for the upstream to read,
        which may pause for `limit_s` seconds.
        """
        self._sender = None
        if len(body) <= SEND_PART_BYTES:
            self.stream.set_user_timeout(USER_TIMEOUT_S)
            self.stream.write(b"".join([head, *body]))
            return
        self.stream.set_user_timeout(max(USER_TIMEOUT_S, limit_s))
        self.stream.write(head)
        self._sender = asyncio.create_task(self._send_body(body))

    async def _send_body(self, body: Body) -> None:
        for part in body:
            try:
                await self.stream.drain()
            except ConnectionError:
                # The reader of the answer learns of it.
                return
            self.stream.write(part)

    def abort(self) -> None:
        """Abort the connection and what is still to be sent."""
        if self._sender is not None:
            self._sender.cancel()
        self.stream.abort()


class _UpstreamStream(ByteStream):
    """A stream that gives its descriptor back when it is closed.

    Its unread bytes are charged to the budget.
    """

    __slots__ = ("_descriptors", "_has_descriptor", "_budget")

    def __init__(self, descriptors: asyncio.Semaphore, budget: BufferBudget):
        super().__init__()
        self._descriptors = descriptors
        self._has_descriptor = True
        self._budget = budget

    def release_descriptor(self) -> None:
        """Give the descriptor back, once."""
        if self._has_descriptor:
            self._has_descriptor = False
            self._descriptors.release()

    def connection_lost(self, failure: Exception | None) -> None:
        """Mark the connection as ended."""
        super().connection_lost(failure)
        self.release_descriptor()

    def abort(self) -> None:
        """Abort the connection; an answer that was received goes with it."""
        super().abort()
        self._chunks.clear()
        self._set_unread(0)

    def _is_flooded(self) -> bool:
        return self._budget.is_flooded

    def _set_unread(self, size: int) -> None:
        holder = self._budget.upstreams
        held = holder.get(Kind.UNREAD) - self._unread_bytes
        holder.charge(Kind.UNREAD, held + size)
        super()._set_unread(size)


class ConnectionPool:
    """Idle connections by upstream; the last used one is reused first.

    At most `limit` connections are open at a time.
    """

    __slots__ = ("_idle", "_descriptors", "_budget")

    def __init__(self, budget: BufferBudget, limit: int):
        self._budget = budget
        self._idle: dict[tuple[str, int], deque[UpstreamConnection]] = {}
        self._descriptors = asyncio.Semaphore(limit)

    async def acquire(self, upstream: Registration) -> UpstreamConnection:
        """Return an idle connection or a new one.

        Raises `UpstreamUnreachableError`; nothing was sent then.
        """
        idle = self._idle.get(upstream.incarnation)
        while idle:
            connection = idle.pop()
            if (
                connection.stream.is_reusable
                and read_clock() < connection.idle_until
            ):
                connection.stream.set_idle(False)
                return connection
            connection.abort()
        return await self.connect(upstream)

    def release(
        self,
        upstream: Registration,
        connection: UpstreamConnection,
        idle_s: float | None,
    ) -> None:
        """Return a connection to the pool.

        `idle_s` is the idle limit that the upstream announced, in seconds.
        """
        is_needed = self._descriptors.locked()
        if is_needed or not connection.stream.is_reusable:
            # Where all descriptors are in use, others wait for this one.
            connection.abort()
            return
        connection.stream.set_idle(True)
        kept_s = DEFAULT_IDLE_S if idle_s is None else idle_s - IDLE_MARGIN_S
        connection.idle_until = read_clock() + kept_s
        self._idle.setdefault(upstream.incarnation, deque()).append(connection)

    def keep(
        self,
        upstream: Registration,
        connection: UpstreamConnection,
        parser: AnswerParser,
    ) -> bool:
        """Pool a connection that carried its answer and nothing else.

        Returns whether it did.
        """
        is_sound = (
            parser.keeps_alive
            and connection.is_sent
            and not parser.has_extra_bytes
            and not parser.skipped_answers
        )
        if is_sound:
            idle_s = read_keepalive_timeout(parser.head)
            self.release(upstream, connection, idle_s)
        return is_sound

    def prune(self, usable: set[tuple[str, int]]) -> None:
        """Close expired connections and those to other upstreams."""
        now = read_clock()
        for incarnation, connections in list(self._idle.items()):
            if incarnation not in usable:
                _abort_all(connections)
                del self._idle[incarnation]
                continue
            while connections and connections[0].idle_until <= now:
                connections.popleft().abort()

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle.values():
            _abort_all(connections)
        self._idle.clear()

    async def connect(self, upstream: Registration) -> UpstreamConnection:
        """Return a new connection; raises `UpstreamUnreachableError`.

        Waits for a descriptor where all are in use.
        """
        if self._descriptors.locked():
            self._close_oldest_idle()
        await self._descriptors.acquire()
        stream = _UpstreamStream(self._descriptors, self._budget)
        try:
            await _open(stream, upstream)
        except BaseException:
            stream.release_descriptor()
            raise
        return UpstreamConnection(stream)

    def _close_oldest_idle(self) -> None:
        queues = [queue for queue in self._idle.values() if queue]
        if queues:
            oldest = min(queues, key=lambda queue: queue[0].idle_until)
            oldest.popleft().abort()


async def _open(stream: ByteStream, upstream: Registration) -> None:
    """Connect a stream; raises `UpstreamUnreachableError`."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await loop.create_connection(
                lambda: stream, upstream.address, upstream.port
            )
    except TimeoutError as error:
        raise UpstreamUnreachableError("connect timed out") from error
    except ConnectionRefusedError as error:
        raise UpstreamRefusedError(str(error)) from error
    except (OSError, ValueError, OverflowError) as error:
        # The latter two are those of addresses and ports that can't be used.
        raise UpstreamUnreachableError(str(error)) from error


def _abort_all(connections: deque[UpstreamConnection]) -> None:
    for connection in connections:
        connection.abort()


async def read_buffered(
    connection: UpstreamConnection,
    parser: AnswerParser,
    reservation: BufferReservation,
) -> list[bytes]:
    """Read an answer until it is complete or exceeds the buffer.

    It is buffered no further if the host's buffers are full. Returns the parts
    of the body; raises `ConnectionError` or `HttpError`.
    """
    parts: list[bytes] = []
    size = 0
    while not parser.is_complete and size < BUFFER_LIMIT_BYTES:
        await read_more(connection, parser)
        part = parser.take_body()
        if not part:
            continue
        parts.append(part)
        size += len(part)
        if not reservation.resize(size):
            reservation.force(size)
            break
    return parts


async def read_more(
    connection: UpstreamConnection, parser: AnswerParser
) -> None:
    """Read once from the upstream and feed the parser."""
    data = await connection.stream.read()
    if data:
        parser.feed(data)
    else:
        parser.feed_eof()
