"""A TCP proxy on loopback that can go silent."""

import asyncio

from lab.messages import CHUNK_BYTES


class Proxy:
    """Forwards connections; while it is cut, no byte passes either way.

    Connections of before stay silent for good, as behind a partition.
    """

    def __init__(self, target_port: int):
        self._target_port = target_port
        self._generation = 0
        self._open = asyncio.Event()
        self._open.set()

    async def start(self) -> int:
        """Listen on a free loopback port and return it."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Go silent."""
        self._generation += 1
        self._open.clear()

    def heal(self) -> None:
        """Forward new connections again."""
        self._open.set()

    async def _serve(self, reader, writer) -> None:
        await self._open.wait()
        generation = self._generation
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._pump(reader, far_writer, generation),
            self._pump(far_reader, writer, generation),
        )

    async def _pump(self, reader, writer, generation: int) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if generation == self._generation:
                    writer.write(data)
                    await writer.drain()
            writer.close()
        except OSError:
            writer.close()
