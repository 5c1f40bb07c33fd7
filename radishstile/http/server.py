"""HTTP server for small GET requests, such as look-ups and scrapes."""

import asyncio
import logging
import time
from collections.abc import Callable
from urllib.parse import parse_qsl, unquote, urlsplit

from radishstile.errors import HttpError
from radishstile.http.closing import ClosingLimits, close_gracefully
from radishstile.http.message import Request
from radishstile.http.parser import RequestParser
from radishstile.http.stream import ByteStream

_LOG = logging.getLogger("radishstile.http")

# Listen backlog.
BACKLOG = 128
_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}
_TEXT = "text/plain; charset=utf-8"
_METHODS = (b"GET", b"HEAD")


class ServerLimits:
    """Limits of what a client may send, in bytes, and of its time.

    `idle_s`: how long a connection is kept without a request. `exchange_s`:
    from the first byte of a request until it is whole, and for an answer until
    it is sent.
    """

    __slots__ = ("head_bytes", "body_bytes", "idle_s", "exchange_s")

    def __init__(
        self,
        head_bytes: int = 16_384,
        body_bytes: int = 16_384,
        idle_s: float = 75.0,
        exchange_s: float = 10.0,
    ):
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.idle_s = idle_s
        self.exchange_s = exchange_s


class GetRequest:
    """A GET or HEAD request; `query` has the first value of each name."""

    __slots__ = ("path", "query", "_request")

    def __init__(self, path: str, query: dict[str, str], request: Request):
        self.path = path
        self.query = query
        self._request = request

    def find_header(self, name: bytes) -> str:
        """Return a header's value, given its lower-case name, or ""."""
        return (self._request.find(name) or b"").decode("latin-1")


class ServerAnswer:
    """A whole answer; `headers` are those beside length, date and framing."""

    __slots__ = ("status", "body", "headers")

    def __init__(
        self,
        status: int,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ):
        self.status = status
        self.body = body
        self.headers = headers or {}


Handler = Callable[[GetRequest], ServerAnswer]


class HttpServer:
    """Answers GET requests for one path, with a task for each connection."""

    __slots__ = ("_path", "_handler", "_limits", "_server", "_tasks")

    def __init__(self, path: str, handler: Handler, limits: ServerLimits):
        self._path = path
        self._handler = handler
        self._limits = limits
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    @property
    def port(self) -> int:
        """Return the listening port."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self, address: str, port: int) -> None:
        """Listen on an address and a port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: AcceptedStream(self.accept),
            address,
            port,
            backlog=BACKLOG,
            reuse_address=True,
        )

    def accept(self, stream: ByteStream) -> None:
        """Serve a new connection in a task of its own."""
        task = asyncio.ensure_future(
            _Connection(self.answer, self._limits, stream).serve()
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def count_open(self) -> int:
        """Return the number of connections that are served."""
        return len(self._tasks)

    async def stop(self) -> None:
        """Stop listening, and close all connections."""
        if self._server is None:
            return
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def answer(self, request: Request) -> ServerAnswer:
        """Return the answer to a request; raises `HttpError`."""
        get_request = _decode_target(request)
        if get_request.path != self._path:
            return make_error_answer(404)
        if request.method not in _METHODS:
            answer = make_error_answer(405)
            answer.headers["Allow"] = "GET,HEAD"
            return answer
        try:
            return self._handler(get_request)
        except Exception:
            _LOG.exception("http: %s failed", self._path)
            return make_error_answer(500)


class AcceptedStream(ByteStream):
    """A stream that hands itself to a server once it is connected."""

    __slots__ = ("_accept",)

    def __init__(self, accept: Callable[[ByteStream], None]):
        super().__init__()
        self._accept = accept

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Pass the stream on."""
        super().connection_made(transport)
        self._accept(self)


class _Connection:
    """A connection, whose requests are answered in order."""

    __slots__ = ("_answer", "_limits", "_stream", "_parser")

    def __init__(
        self,
        answer: Callable[[Request], ServerAnswer],
        limits: ServerLimits,
        stream: ByteStream,
    ):
        self._answer = answer
        self._limits = limits
        self._stream = stream
        self._parser = RequestParser(limits.head_bytes, limits.body_bytes)

    async def serve(self) -> None:
        """Answer requests until the connection ends or is unused."""
        try:
            await self._serve_requests()
            if not self._stream.is_ended:
                await close_gracefully(self._stream, ClosingLimits())
        except TimeoutError:
            self._stream.abort()
        except ConnectionError:
            # Nobody is left to answer.
            return
        finally:
            self._stream.close()

    async def _serve_requests(self) -> None:
        try:
            while request := await self._receive():
                await self._send(request)
                if not request.keeps_alive:
                    return
        except HttpError as error:
            answer = make_error_answer(error.status, str(error))
            self._stream.write(_encode(answer, "close", has_body=True))

    async def _receive(self) -> Request | None:
        """Return the next request, or None at the end of the stream."""
        parser = self._parser
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + self._limits.idle_s
        while not parser.requests:
            async with asyncio.timeout_at(ends_at):
                data = await self._stream.read()
            if not data:
                return None
            has_begun = parser.is_incomplete
            parser.feed(data, loop.time())
            if not has_begun:
                ends_at = loop.time() + self._limits.exchange_s
        return parser.requests.popleft()

    async def _send(self, request: Request) -> None:
        content = _encode(
            self._answer(request),
            _choose_connection(request),
            has_body=request.method != b"HEAD",
        )
        self._stream.write(content)
        async with asyncio.timeout(self._limits.exchange_s):
            await self._stream.drain()


def make_error_answer(status: int, detail: str = "") -> ServerAnswer:
    """Return a text answer that names the error."""
    text = f"{status}: {detail or _PHRASES[status]}"
    return ServerAnswer(status, text.encode(), {"Content-Type": _TEXT})


def _decode_target(request: Request) -> GetRequest:
    try:
        parts = urlsplit(request.target.decode("latin-1"))
    except ValueError as error:
        raise HttpError(400, "invalid target") from error
    values = parse_qsl(parts.query, keep_blank_values=True)
    return GetRequest(unquote(parts.path), dict(reversed(values)), request)


def _choose_connection(request: Request) -> str:
    """Return the `Connection` header of the answer, "" for none.

    A client of HTTP/1.0 that asks for a persistent connection needs it.
    """
    if not request.keeps_alive:
        return "close"
    asked = (request.find(b"connection") or b"").lower()
    return "keep-alive" if b"keep-alive" in asked else ""


def _encode(answer: ServerAnswer, connection: str, has_body: bool) -> bytes:
    date = time.strftime("%a, %d %b %Y %H:%M:%S GMT", time.gmtime())
    headers = {
        **answer.headers,
        "Content-Length": str(len(answer.body)),
        "Date": date,
    }
    if connection:
        headers["Connection"] = connection
    phrase = _PHRASES.get(answer.status, "")
    lines = [f"HTTP/1.1 {answer.status} {phrase}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + (answer.body if has_body else b"")
