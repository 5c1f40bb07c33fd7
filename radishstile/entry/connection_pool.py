"""Pool of persistent HTTP connections to upstreams."""

import asyncio
from collections import deque

from radishstile.entry.node import read_clock
from radishstile.errors import UpstreamUnreachableError
from radishstile.http.parser import AnswerParser
from radishstile.http.stream import ByteStream
from radishstile.platform.http_codec import read_keepalive_timeout
from radishstile.upstream.registration import Registration

# Body bytes that are buffered before an answer is streamed, so that the
# request can still be retried if the answer breaks off. Most are smaller.
BUFFER_LIMIT_BYTES = 262_144
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

    __slots__ = ("stream", "idle_until")

    def __init__(self, stream: ByteStream):
        self.stream = stream
        self.idle_until = 0.0


class ConnectionPool:
    """Idle connections by upstream; the last used one is reused first."""

    __slots__ = ("_idle",)

    def __init__(self):
        self._idle: dict[tuple[str, int], deque[UpstreamConnection]] = {}

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
                return connection
            connection.stream.abort()
        return await self._connect(upstream)

    def release(
        self,
        upstream: Registration,
        connection: UpstreamConnection,
        idle_s: float | None,
    ) -> None:
        """Return a connection to the pool.

        `idle_s` is the idle limit that the upstream announced, in seconds.
        """
        if not connection.stream.is_reusable:
            connection.stream.abort()
            return
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
                connections.popleft().stream.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle.values():
            _abort_all(connections)
        self._idle.clear()

    async def _connect(self, upstream: Registration) -> UpstreamConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, stream = await loop.create_connection(
                    ByteStream, upstream.address, upstream.port
                )
        except TimeoutError as error:
            raise UpstreamUnreachableError("connect timed out") from error
        except OSError as error:
            raise UpstreamUnreachableError(str(error)) from error
        return UpstreamConnection(stream)


def _abort_all(connections: deque[UpstreamConnection]) -> None:
    for connection in connections:
        connection.stream.abort()


async def read_buffered(
    connection: UpstreamConnection, parser: AnswerParser
) -> list[bytes]:
    """Read an answer until it is complete or exceeds the buffer.

    Returns the parts of the body; raises `ConnectionError` or `HttpError`.
    """
    parts: list[bytes] = []
    size = 0
    while not parser.is_complete and size < BUFFER_LIMIT_BYTES:
        await read_more(connection, parser)
        new = parser.take_body()
        size += sum(map(len, new))
        parts += new
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
