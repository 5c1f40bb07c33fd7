"""The listening side of peer connections."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from radishstile.errors import FrameError, HandshakeError, WireError
from radishstile.member import Member
from radishstile.wire.connection import Connection
from radishstile.wire.counters import WireCounters
from radishstile.wire.exchange import Exchange
from radishstile.wire.handshake import run_listener_handshake
from radishstile.wire.messages.base import Message
from radishstile.wire.session import PeerSession
from radishstile.wire.settings import WireSettings

logger = logging.getLogger(__name__)

Handler = Callable[[Message, Exchange], Awaitable[None]]


class PeerServer:
    """Accepts peers and runs a handler for each exchange they open.

    `handle` is cancelled when the peer closes the exchange or disconnects;
    work that must not stop then needs `asyncio.shield` or a task of its own.
    """

    __slots__ = (
        "_local_member",
        "_settings",
        "_handle",
        "_counters",
        "_server",
        "_sessions",
        "_tasks",
        "_is_stopping",
    )

    def __init__(
        self,
        local_member: Member,
        settings: WireSettings,
        handle: Handler,
        counters: WireCounters,
    ):
        self._local_member = local_member
        self._settings = settings
        self._handle = handle
        self._counters = counters
        self._server: asyncio.Server | None = None
        self._sessions: set[PeerSession] = set()
        self._tasks: set[asyncio.Task] = set()
        self._is_stopping = False

    @property
    def port(self) -> int:
        """Return the listening port."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self) -> None:
        """Listen on the local member's address and peer port."""
        self._server = await asyncio.start_server(
            self._serve,
            self._local_member.address,
            self._local_member.peer_port,
        )

    async def stop(self) -> None:
        """Stop accepting work, wait for running handlers, and close.

        Handlers still running after `stop_timeout_s` are cancelled.
        """
        self._is_stopping = True
        self._server.close()
        for session in self._sessions:
            session.start_draining()
        try:
            async with asyncio.timeout(self._settings.stop_timeout_s):
                await self._finish_sessions()
        except TimeoutError:
            logger.warning("wire: cancelling handlers that are still running")
        await self._cancel_tasks()

    async def _finish_sessions(self) -> None:
        for session in list(self._sessions):
            await session.finish()
        tasks = [session.task for session in self._sessions]
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _cancel_tasks(self) -> None:
        tasks = set(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        connection = Connection(
            self._local_member, self._settings, self._counters, reader, writer
        )
        try:
            await run_listener_handshake(connection)
            await self._run_session(connection)
        except HandshakeError as error:
            self._counters.refused_handshakes += 1
            logger.warning(
                "wire: handshake with %s failed: %s", connection.address, error
            )
        except WireError as error:
            logger.info(
                "wire: connection with %s ended: %s", connection.peer, error
            )
        except Exception:
            self._counters.failed_tasks += 1
            logger.exception(
                "wire: connection with %s failed", connection.peer
            )
        finally:
            self._tasks.discard(task)
            connection.abort()

    async def _run_session(self, connection: Connection) -> None:
        if self._is_stopping:
            return
        session = PeerSession(connection, self._handle)
        self._sessions.add(session)
        try:
            await session.run()
        except FrameError:
            self._counters.refused_frames += 1
            raise
        finally:
            self._sessions.discard(session)
