"""A loopback proxy that harms the connections through it."""

import asyncio
from enum import Enum

CHUNK_BYTES = 65_536
# How much later bytes arrive at a delaying proxy, in seconds.
DELAY_S = 0.25


class Harm(Enum):
    """What happens to connections."""

    NONE = "none"
    DELAYED = "delayed"
    # Open connections are reset, and so are new ones.
    RESET = "reset"
    # Nothing passes, and nobody is told.
    SILENT = "silent"
    # What callers send passes, what comes back does not.
    ONE_WAY = "one-way"


class Proxy:
    """Passes connections to one port on; its harm may change at any time."""

    __slots__ = ("port", "_harm", "_target", "_server", "_writers", "_calm")

    def __init__(self, target_port: int):
        self.port = 0
        self._harm = Harm.NONE
        self._target = target_port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._calm = asyncio.Event()

    async def start(self) -> "Proxy":
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._pass, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Cut all connections."""
        self._server.close()
        self._reset_all()

    def set_harm(self, harm: Harm) -> None:
        """Treat all connections in another way from now on."""
        self._harm = harm
        if harm is Harm.RESET:
            self._reset_all()
        # Bytes that were held back are lost with their connections.
        if harm is Harm.NONE:
            self._reset_all()
            self._calm.set()
            self._calm = asyncio.Event()

    def _reset_all(self) -> None:
        for writer in self._writers:
            writer.transport.abort()

    async def _pass(self, reader, writer) -> None:
        if self._harm is Harm.RESET:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self._target
            )
        except OSError:
            self._writers.discard(writer)
            writer.transport.abort()
            return
        self._writers.add(far_writer)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._copy(reader, far_writer, False))
                group.create_task(self._copy(far_reader, writer, True))
        finally:
            for each in (writer, far_writer):
                self._writers.discard(each)
                each.transport.abort()

    async def _copy(self, reader, writer, is_answer: bool) -> None:
        """Copy until an end; a harmed direction holds its bytes back."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._hold_back(is_answer)
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except OSError:
            writer.transport.abort()

    async def _hold_back(self, is_answer: bool) -> None:
        if self._harm is Harm.DELAYED:
            await asyncio.sleep(DELAY_S)
        is_cut = self._harm is Harm.ONE_WAY and is_answer
        if is_cut or self._harm is Harm.SILENT:
            await self._calm.wait()
