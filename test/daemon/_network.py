"""The network of hosts that share one event loop.

Each task, listener and connection belongs to the host in whose context it
was made, so that one host can die, or lose a link, while the others go on.
"""

import asyncio
from contextvars import ContextVar

HOST: ContextVar[str] = ContextVar("host", default="")


class Network:
    """Notes who owns what in a loop, kills hosts and cuts links."""

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self._loop = loop
        self._tasks: dict[str, set[asyncio.Task]] = {}
        self._servers: dict[str, list[asyncio.Server]] = {}
        self._transports: dict[str, list[asyncio.Transport]] = {}
        self._peer_ports: dict[int, str] = {}
        self._cuts: set[tuple[str, str]] = set()
        self._closed: set[tuple[str, int]] = set()
        self._dead: set[str] = set()
        self._wrap()

    def note_peer_port(self, host: str, port: int) -> None:
        """Note at which port the other hosts reach a host."""
        self._peer_ports[port] = host
        self._dead.discard(host)

    def cut(self, sender: str, receiver: str) -> None:
        """Hold back all that `sender` sends to `receiver`.

        What was sent waits, as with TCP, and arrives after `heal`.
        """
        self._cuts.add((sender, receiver))
        for transport in self._list_links(sender, receiver):
            transport.pause_reading()

    def heal(self, sender: str, receiver: str) -> None:
        """End a cut."""
        self._cuts.discard((sender, receiver))
        for transport in self._list_links(sender, receiver):
            transport.resume_reading()

    def cut_port(self, host: str, port: int) -> None:
        """Cut a host off from the store or an upstream at `port`.

        Open connections break and new ones wait until their time-out.
        """
        self._closed.add((host, port))
        for transport in self._transports.get(host, []):
            peer = transport.get_extra_info("peername")
            if peer is not None and peer[1] == port:
                transport.abort()

    def heal_port(self, host: str, port: int) -> None:
        """End a cut of a port."""
        self._closed.discard((host, port))

    async def kill(self, host: str) -> None:
        """Close a host's sockets, then end its tasks.

        Nothing that its tasks do while they end leaves the host.
        """
        self._dead.add(host)
        for server in self._servers.pop(host, []):
            server.close()
        for transport in self._transports.pop(host, []):
            transport.abort()
        while tasks := self._list_tasks(host):
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)
        self._tasks.pop(host, None)

    def _list_tasks(self, host: str) -> list[asyncio.Task]:
        return [task for task in self._tasks.get(host, ()) if not task.done()]

    def _list_links(self, sender: str, receiver: str) -> list:
        """Return the receiver's ends of the links between two hosts."""
        theirs = {
            transport.get_extra_info("sockname")
            for transport in self._transports.get(sender, [])
        }
        return [
            transport
            for transport in self._transports.get(receiver, [])
            if not transport.is_closing()
            and transport.get_extra_info("peername") in theirs
        ]

    def _wrap(self) -> None:
        loop = self._loop
        self._create_server = loop.create_server
        self._create_connection = loop.create_connection
        self._sock_connect = loop.sock_connect
        self._make_transport = loop._make_socket_transport
        loop.create_server = self._open_server
        loop.create_connection = self._open_connection
        # The HTTP client connects its sockets itself.
        loop.sock_connect = self._connect_socket
        loop._make_socket_transport = self._open_transport
        loop.set_task_factory(self._start_task)

    def _start_task(self, loop, coroutine, **options) -> asyncio.Task:
        task = asyncio.Task(coroutine, loop=loop, **options)
        tasks = self._tasks.setdefault(HOST.get(), set())
        tasks.difference_update([each for each in tasks if each.done()])
        tasks.add(task)
        return task

    async def _open_server(self, *args, **options) -> asyncio.Server:
        server = await self._create_server(*args, **options)
        self._servers.setdefault(HOST.get(), []).append(server)
        return server

    async def _open_connection(self, factory, host=None, port=None, **options):
        me = HOST.get()
        if me in self._dead:
            raise ConnectionRefusedError("this host is dead")
        other = self._peer_ports.get(port, "")
        if {(me, other), (other, me)} & self._cuts:
            await asyncio.Event().wait()
        return await self._create_connection(factory, host, port, **options)

    async def _connect_socket(self, sock, address) -> None:
        if (HOST.get(), address[1]) in self._closed:
            await asyncio.Event().wait()
        await self._sock_connect(sock, address)

    def _open_transport(self, *args, **options) -> asyncio.Transport:
        transport = self._make_transport(*args, **options)
        kept = self._transports.setdefault(HOST.get(), [])
        kept[:] = [each for each in kept if not each.is_closing()]
        kept.append(transport)
        return transport
