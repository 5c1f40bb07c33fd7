"""The dialling side of a peer connection."""

import asyncio
import logging
import random

from radishstile.errors import FrameError, HandshakeError, PeerLostError
from radishstile.member import Member
from radishstile.wire.backoff import Backoff
from radishstile.wire.connection import Connection, drop_late_message
from radishstile.wire.counters import WireCounters
from radishstile.wire.exchange import Exchange, deliver
from radishstile.wire.handshake import run_dialler_handshake
from radishstile.wire.messages.base import Message
from radishstile.wire.settings import WireSettings

logger = logging.getLogger(__name__)


class PeerClient:
    """Keeps one connection to `peer` and opens exchanges on it.

    `peer_member` is the member that last authenticated at the peer's address.
    `last_refused_at` is the loop time at which the peer's kernel last refused
    a connection; None after a successful connect. `connection_count` is the
    number of connections that were authenticated so far.
    """

    __slots__ = (
        "peer",
        "peer_member",
        "last_refused_at",
        "connection_count",
        "_local_member",
        "_settings",
        "_counters",
        "_backoff",
        "_connection",
        "_connected",
        "_last_logged_error",
        "_sends_malformed_frames",
    )

    def __init__(
        self,
        local_member: Member,
        peer: Member,
        settings: WireSettings,
        counters: WireCounters,
        rng: random.Random | None = None,
    ):
        self.peer = peer
        self.peer_member: Member | None = None
        self.last_refused_at: float | None = None
        self.connection_count = 0
        self._local_member = local_member
        self._settings = settings
        self._counters = counters
        self._backoff = Backoff(
            settings.backoff_min_s,
            settings.backoff_max_s,
            rng or random.Random(),
        )
        self._connection: Connection | None = None
        self._connected = asyncio.Event()
        self._last_logged_error = ""
        # Whether the last connection ended with a malformed frame.
        self._sends_malformed_frames = False

    @property
    def is_connected(self) -> bool:
        """Return whether the peer is connected and authenticated."""
        return self._connection is not None

    @property
    def peer_incarnation(self) -> int | None:
        """Return the incarnation that last authenticated, if any."""
        return self.peer_member.incarnation if self.peer_member else None

    async def run(self) -> None:
        """Connect and read; reconnect with back-off when that ends.

        No error of one connection ends the task.
        """
        while True:
            try:
                await self._run_connection()
            except HandshakeError as error:
                self._counters.refused_handshakes += 1
                self._log_error(f"handshake with {self.peer}: {error}")
            except TimeoutError:
                self._log_error(f"connecting to {self.peer} timed out")
            except OSError as error:
                self._log_error(f"can't connect to {self.peer}: {error}")
            except FrameError as error:
                self._counters.refused_frames += 1
                self._sends_malformed_frames = True
                self._log_error(f"{self.peer}: {error}")
            except PeerLostError as error:
                self._sends_malformed_frames = False
                self._log_error(f"{self.peer}: {error}")
            except Exception:
                self._counters.failed_tasks += 1
                self._sends_malformed_frames = True
                logger.exception("wire: connection with %s failed", self.peer)
            await asyncio.sleep(self._backoff.next_wait())
            self._counters.reconnects += 1

    async def wait_connected(self, timeout_s: float) -> None:
        """Wait until the peer is connected; raises `TimeoutError`."""
        async with asyncio.timeout(timeout_s):
            await self._connected.wait()

    async def call(self, message: Message, timeout_s: float) -> Message:
        """Send a message and return its only reply.

        Raises `PeerLostError`, `TimeoutError`, `ReplyError` if the reply is
        of a type that does not belong to the message, and `WireError` if the
        peer's handler ended without a reply.
        """
        async with asyncio.timeout(timeout_s):
            async with await self.open(message) as exchange:
                reply = await exchange.receive()
                exchange.mark_closed()
                return reply

    async def notify(self, message: Message) -> None:
        """Send a message without a reply; raises `PeerLostError`."""
        connection = self._get_connection()
        await connection.drain()
        connection.write(0, message)

    async def open(self, message: Message) -> Exchange:
        """Open an exchange with its first message; the caller closes it.

        Raises `PeerLostError` if nothing was sent.
        """
        exchange = Exchange(self._get_connection())
        await exchange.send(message)
        return exchange

    def disconnect(self) -> None:
        """Abort the connection, for example when heartbeats are missing."""
        if self._connection is not None:
            self._connection.abort()

    def disconnect_silent(self, timeout_s: float) -> None:
        """Abort the connection if nothing came from the peer for a time."""
        connection = self._connection
        if connection is not None and connection.measure_silence() > timeout_s:
            connection.abort()

    def _get_connection(self) -> Connection:
        if self._connection is None:
            raise PeerLostError(f"{self.peer} is not connected")
        return self._connection

    async def _connect(self) -> Connection:
        try:
            async with asyncio.timeout(self._settings.connect_timeout_s):
                streams = await asyncio.open_connection(
                    self.peer.address, self.peer.peer_port
                )
        except ConnectionRefusedError:
            self.last_refused_at = asyncio.get_running_loop().time()
            raise
        return Connection(
            self._local_member, self._settings, self._counters, *streams
        )

    async def _run_connection(self) -> None:
        connection = await self._connect()
        watch = None
        try:
            await run_dialler_handshake(connection, self.peer.host)
            self._mark_connected(connection)
            watch = asyncio.create_task(connection.watch())
            await self._read_frames(connection)
        finally:
            if watch is not None:
                watch.cancel()
            self._connection = None
            self._connected.clear()
            connection.abort()

    def _mark_connected(self, connection: Connection) -> None:
        self.peer_member = connection.peer
        self.last_refused_at = None
        if not self._sends_malformed_frames:
            # A peer that is refused after each handshake is dialled rarely.
            self._last_logged_error = ""
            self._backoff.reset()
        self._connection = connection
        self.connection_count += 1
        self._connected.set()
        logger.info("wire: connected to %s", connection.peer)

    async def _read_frames(self, connection: Connection) -> None:
        while True:
            envelope = await connection.read()
            exchange = connection.exchanges.get(envelope.exchange)
            if exchange is None:
                drop_late_message(envelope.message, self._counters)
                continue
            deliver(envelope.message, exchange)

    def _log_error(self, error: str) -> None:
        # An absent peer is logged once, not at each attempt.
        if error == self._last_logged_error:
            return
        self._last_logged_error = error
        logger.warning("wire: %s", error)
