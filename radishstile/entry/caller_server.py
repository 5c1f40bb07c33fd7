"""The HTTP server for callers."""

import asyncio
import logging

from radishstile.entry.buffers import BufferBudget, Holder, Kind
from radishstile.entry.callers import (
    CONNECTION_BYTES,
    CallerConnection,
    read_limits,
)
from radishstile.entry.eviction import choose_oldest
from radishstile.entry.forwarding import RequestForwarder
from radishstile.entry.logs import log_fields
from radishstile.entry.node import EntryNode, read_clock
from radishstile.entry.parse_turns import ParseTurns
from radishstile.http.stream import ByteStream
from radishstile.platform.host_file import Endpoint

# Listen backlog; bursts open some hundred connections at once.
BACKLOG = 1024
# Interval of checks for callers that don't read, in seconds.
CHECK_INTERVAL_S = 1.0
# Time without progress after which a connection may be closed if memory is
# short, as a share of the limit for heads.
STALL_SHARE = 1 / 3
# Connections closed at once if descriptors are short, as a share of all, so
# that they aren't ranked again for each new one.
CLOSED_SHARE = 1 / 16
# Connections that are being closed, as a share of the limit, beyond it.
CLOSING_SHARE = 0.1

_LOG = logging.getLogger("radishstile.callers")


class CallerServer:
    """Accepts connections of callers and tracks them.

    At most `connection_limit` are open at a time.
    """

    __slots__ = (
        "_node",
        "_forwarder",
        "_buffers",
        "_connection_limit",
        "_turns",
        "_server",
        "_tasks",
        "_connections",
    )

    def __init__(
        self,
        node: EntryNode,
        forwarder: RequestForwarder,
        buffers: BufferBudget,
        connection_limit: int,
    ):
        self._buffers = buffers
        buffers.on_evicted = self._record_evicted
        self._connection_limit = connection_limit
        self._turns = ParseTurns(read_clock)
        self._node = node
        self._forwarder = forwarder
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._connections: set[CallerConnection] = set()

    async def start(self, endpoint: Endpoint) -> None:
        """Listen on an endpoint."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _AcceptedStream(self),
            endpoint.address,
            endpoint.port,
            backlog=BACKLOG,
        )

    def accept(self, stream: ByteStream) -> CallerConnection | None:
        """Serve a new connection in a task of its own.

        Returns None if it is closed at once, as there is no space.
        """
        if not self._make_space():
            self._node.metrics.closed_connections.inc({"reason": "refused"})
            stream.abort()
            return None
        connection = CallerConnection(
            self._node, self._forwarder, self._buffers, stream, self._turns
        )
        self._connections.add(connection)
        self._tasks.add(asyncio.ensure_future(self._run(connection)))
        return connection

    async def run(self) -> None:
        """Close the connections of callers that don't read, until cancelled.

        The limit for a head also bounds the time that a caller may take for
        the next bytes of its answer, beyond its deadline if the answer is
        complete.
        """
        while True:
            limit_s = read_limits(self._node).header_s
            self._buffers.stall_s = limit_s * STALL_SHARE
            now = read_clock()
            for connection in list(self._connections):
                if connection.abort_stalled(now, limit_s):
                    self._record_stalled(connection, now)
            for kind in Kind:
                self._node.metrics.held_bytes.set(
                    {"kind": kind.name.lower()},
                    self._buffers.used_by_kind[kind],
                )
            await asyncio.sleep(CHECK_INTERVAL_S)

    @property
    def is_flooded(self) -> bool:
        """Return whether unread bytes take more than their part."""
        return self._buffers.is_flooded

    def count_open(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def stop_listening(self) -> None:
        """Stop listening, so that callers try another host."""
        self._server.close()

    def close_idle(self) -> None:
        """Close the connections without requests in flight."""
        for connection in list(self._connections):
            if not connection.is_busy:
                connection.close()

    async def stop(self) -> None:
        """Stop listening, and cancel the open connections."""
        self.stop_listening()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, connection: CallerConnection) -> None:
        try:
            await self._serve(connection)
        finally:
            self._buffers.release(connection.holder)
            self._connections.discard(connection)
            self._tasks.discard(asyncio.current_task())

    async def _serve(self, connection: CallerConnection) -> None:
        try:
            await connection.serve()
        except Exception:
            _LOG.exception("callers: Connection failed.")
        # What its requests hold is given back before the holder is.
        await connection.wait_closed()

    def _make_space(self) -> bool:
        """Close connections where a new one has no descriptor or memory."""
        limit = self._connection_limit
        if self._buffers.count_holders() >= limit:
            count = int(limit * CLOSED_SHARE) + 1
            holders = self._buffers.list_holders()
            self._buffers.evict(choose_oldest(holders, count))
        if self._buffers.count_holders() >= limit:
            return False
        # Those that were closed have their descriptors until the next turn of
        # the event loop.
        if len(self._connections) >= limit * (1 + CLOSING_SHARE):
            return False
        return self._buffers.make_room(Holder(self._buffers), CONNECTION_BYTES)

    def _record_stalled(
        self, connection: CallerConnection, now: float
    ) -> None:
        """Count and log a connection that is closed as its caller stalls."""
        self._node.metrics.closed_connections.inc({"reason": "slow-reader"})
        holder = connection.holder
        _LOG.warning(
            "callers: Connection of a slow reader closed.",
            extra=log_fields(
                unsent_bytes=holder.get(Kind.UNSENT),
                idle_s=round(now - holder.progress_at, 3),
            ),
        )

    def _record_evicted(self, victims: list[Holder]) -> None:
        """Count and log connections that are closed for lack of space."""
        self._node.metrics.closed_connections.add(
            {"reason": "evicted"}, len(victims)
        )
        largest = max(victims, key=lambda holder: holder.total_bytes)
        _LOG.warning(
            "callers: Connections closed for lack of space.",
            extra=log_fields(
                connections=len(victims),
                held_bytes=sum(holder.total_bytes for holder in victims),
                largest_bytes=largest.total_bytes,
                largest=largest.owner.peer_address,
                open=len(self._connections),
                used_bytes=self._buffers.used_bytes,
            ),
        )


class _AcceptedStream(ByteStream):
    """A stream that hands itself to the server once it is connected."""

    __slots__ = ("_server", "_connection")

    def __init__(self, server: CallerServer):
        super().__init__()
        self._server = server
        self._connection: CallerConnection | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Serve the connection."""
        super().connection_made(transport)
        self._connection = self._server.accept(self)

    def connection_lost(self, failure: Exception | None) -> None:
        """Mark the connection as ended."""
        super().connection_lost(failure)
        # Without a reference cycle the connection goes at once.
        self._connection = None

    def _is_flooded(self) -> bool:
        return self._server.is_flooded

    def _set_unread(self, size: int) -> None:
        super()._set_unread(size)
        if self._connection is not None:
            self._connection.charge_unread()
