"""A loopback TCP proxy with injectable connection faults."""

import asyncio
from enum import Enum

CHUNK_BYTES = 65_536
# Added delay of each chunk while connections are delayed, in seconds.
DELAY_S = 0.25


class ConnectionFault(Enum):
    """How a proxy treats its connections."""

    NONE = "none"
    DELAYED = "delayed"
    # Open and new connections are reset.
    RESET = "reset"
    # Bytes are held back in both directions; connections stay open.
    SILENT = "silent"
    # Only bytes from the target are held back.
    ONE_WAY = "one-way"


class Proxy:
    """Forwards connections to a local port and applies the current fault."""

    __slots__ = (
        "port",
        "_fault",
        "_target_port",
        "_server",
        "_writers",
        "_unblocked",
        "_severed",
    )

    def __init__(self, target_port: int):
        self.port = 0
        self._fault = ConnectionFault.NONE
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._unblocked = asyncio.Event()
        # Set for the connections that were open when `sever` was called.
        self._severed = asyncio.Event()

    async def start(self) -> "Proxy":
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._forward, "127.0.0.1", 0
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        self._reset_all()

    def set_fault(self, fault: ConnectionFault) -> None:
        """Apply a fault to all connections from now on."""
        self._fault = fault
        if fault is ConnectionFault.RESET:
            self._reset_all()
        # Connections with held bytes are reset, so that these are never
        # delivered late.
        if fault is ConnectionFault.NONE:
            self._reset_all()
            self._unblocked.set()
            self._unblocked = asyncio.Event()

    def sever(self) -> None:
        """Make open connections silent for good; new ones work."""
        self._severed.set()
        self._severed = asyncio.Event()

    def _reset_all(self) -> None:
        for writer in self._writers:
            writer.transport.abort()

    async def _forward(self, reader, writer) -> None:
        if self._fault is ConnectionFault.RESET:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
        except OSError:
            self._writers.discard(writer)
            writer.transport.abort()
            return
        self._writers.add(target_writer)
        severed = self._severed
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._copy(reader, target_writer, False, severed)
                )
                group.create_task(
                    self._copy(target_reader, writer, True, severed)
                )
        finally:
            for each in (writer, target_writer):
                self._writers.discard(each)
                each.transport.abort()

    async def _copy(
        self, reader, writer, is_answer: bool, severed: asyncio.Event
    ) -> None:
        """Copy to the end of the stream; a fault may delay or hold bytes."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._delay_or_block(is_answer)
                if severed.is_set():
                    continue
                writer.write(data)
                await writer.drain()
            if not severed.is_set():
                writer.write_eof()
        except OSError:
            if not severed.is_set():
                writer.transport.abort()

    async def _delay_or_block(self, is_answer: bool) -> None:
        if self._fault is ConnectionFault.DELAYED:
            await asyncio.sleep(DELAY_S)
        is_blocked_answer = (
            self._fault is ConnectionFault.ONE_WAY and is_answer
        )
        if is_blocked_answer or self._fault is ConnectionFault.SILENT:
            await self._unblocked.wait()
