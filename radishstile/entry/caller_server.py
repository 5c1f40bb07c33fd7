"""The HTTP server for callers."""

import asyncio

from radishstile.entry.buffers import BufferBudget
from radishstile.entry.callers import CallerConnection
from radishstile.entry.forwarding import RequestForwarder
from radishstile.entry.node import EntryNode
from radishstile.http.stream import ByteStream
from radishstile.platform.host_file import Endpoint

# Listen backlog; bursts open some hundred connections at once.
BACKLOG = 1024


class CallerServer:
    """Accepts connections of callers and tracks them."""

    __slots__ = (
        "_node",
        "_forwarder",
        "_buffers",
        "_server",
        "_tasks",
        "_connections",
    )

    def __init__(
        self,
        node: EntryNode,
        forwarder: RequestForwarder,
        buffers: BufferBudget,
    ):
        self._buffers = buffers
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

    def accept(self, stream: ByteStream) -> None:
        """Serve a new connection in a task of its own."""
        connection = CallerConnection(
            self._node, self._forwarder, self._buffers, stream
        )
        self._tasks.add(asyncio.ensure_future(self._run(connection)))

    def count_open(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def stop_listening(self) -> None:
        """Stop listening, so that callers try another host."""
        self._server.close()

    def refuse_requests(self) -> None:
        """Refuse further requests on open connections.

        A pipelining caller keeps its connection busy, so that it is never
        idle, and what came late would be cut off at the end of the drain.
        """
        for connection in self._connections:
            connection.refuses_requests = True

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
        self._connections.add(connection)
        try:
            await connection.serve()
        finally:
            self._connections.discard(connection)
            self._tasks.discard(asyncio.current_task())


class _AcceptedStream(ByteStream):
    """A stream that hands itself to the server once it is connected."""

    __slots__ = ("_server",)

    def __init__(self, server: CallerServer):
        super().__init__()
        self._server = server

    def connection_made(self, transport: asyncio.Transport) -> None:
        super().connection_made(transport)
        self._server.accept(self)
