"""HTTP client of one server, with persistent connections."""

import asyncio
from collections import deque

from radishstile.errors import HttpError, NotConnectedError
from radishstile.http.message import AnswerHead, Headers
from radishstile.http.parser import AnswerLimits, AnswerParser
from radishstile.http.stream import ByteStream

_BAD_GATEWAY = 502
_FIRST_ERROR_STATUS = 300


class ClientLimits:
    """Limits of what the server may send, and of idle connections.

    `head_bytes` and `body_bytes` are those of one answer. `idle_s` is how long
    an unused connection is kept, in seconds: many servers close theirs after
    5, and a request that races with the close gets no answer.
    """

    __slots__ = ("head_bytes", "body_bytes", "idle_s")

    def __init__(
        self, body_bytes: int, head_bytes: int = 65_536, idle_s: float = 4.0
    ):
        self.body_bytes = body_bytes
        self.head_bytes = head_bytes
        self.idle_s = idle_s


class ClientRequest:
    """A request with a whole body; `target` is encoded already."""

    __slots__ = ("method", "target", "headers", "body")

    def __init__(
        self,
        method: str,
        target: str,
        headers: Headers | None = None,
        body: bytes = b"",
    ):
        self.method = method
        self.target = target
        self.headers = headers or []
        self.body = body


class ClientAnswer:
    """Head and body of an answer; that of an error may lack its body."""

    __slots__ = ("head", "body")

    def __init__(self, head: AnswerHead, body: bytes | bytearray):
        self.head = head
        self.body = body

    @property
    def status(self) -> int:
        """Return the status code."""
        return self.head.status


class HttpClient:
    """Sends requests to one server, each once on a connection of its own.

    A connection is reused only after a whole answer, and nothing else, came
    on it. The last used one is reused first.
    """

    __slots__ = ("_address", "_port", "_limits", "_open", "_idle")

    def __init__(self, address: str, port: int, limits: ClientLimits):
        self._address = address
        self._port = port
        self._limits = limits
        self._open: set[ByteStream] = set()
        # Idle connections, with the loop's time until which they are kept.
        self._idle: deque[tuple[float, ByteStream]] = deque()

    def count_open(self) -> int:
        """Return the number of open connections, idle or not."""
        return len(self._open)

    async def send(
        self, request: ClientRequest, timeout_s: float
    ) -> ClientAnswer:
        """Send a request and return its answer.

        Raises `NotConnectedError` if nothing was sent, and `ConnectionError`,
        `HttpError` or `TimeoutError` if the server may have the request.
        """
        async with asyncio.timeout(timeout_s):
            stream = self._take_idle() or await self._connect()
            parser = self._make_parser()
            is_kept = False
            try:
                stream.write(self._encode(request))
                answer = await self._receive(stream, parser)
                is_kept = _is_reusable(stream, parser)
                return answer
            finally:
                self._release(stream, is_kept)

    def close(self) -> None:
        """Close all connections; requests on them get no answer."""
        self._idle.clear()
        for stream in list(self._open):
            self._discard(stream)

    def _take_idle(self) -> ByteStream | None:
        self._expire()
        while self._idle:
            _, stream = self._idle.pop()
            if stream.is_reusable:
                stream.set_idle(False)
                return stream
            self._discard(stream)
        return None

    async def _connect(self) -> ByteStream:
        loop = asyncio.get_running_loop()
        try:
            _, stream = await loop.create_connection(
                ByteStream, self._address, self._port
            )
        except TimeoutError:
            # Of the kernel, before that of the request.
            raise NotConnectedError("connect timed out") from None
        except OSError as error:
            raise NotConnectedError(str(error)) from error
        self._open.add(stream)
        return stream

    def _make_parser(self) -> AnswerParser:
        head_bytes = self._limits.head_bytes
        return AnswerParser(b"", None, AnswerLimits(head_bytes, head_bytes))

    def _encode(self, request: ClientRequest) -> bytes:
        lines = [
            f"{request.method} {request.target} HTTP/1.1".encode("ascii"),
            f"Host: {self._address}:{self._port}".encode("ascii"),
            b"Accept: */*",
        ]
        lines += [b"%b: %b" % header for header in request.headers]
        if request.method != "GET":
            lines.append(b"Content-Length: %d" % len(request.body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + request.body

    async def _receive(
        self, stream: ByteStream, parser: AnswerParser
    ) -> ClientAnswer:
        """Read an answer; the status of an error is known without its body."""
        body = bytearray()
        while not parser.is_complete:
            data = await stream.read()
            if data:
                parser.feed(data)
            else:
                parser.feed_eof()
            body += parser.take_body()
            if len(body) > self._limits.body_bytes:
                raise HttpError(_BAD_GATEWAY, "the answer is too large")
            head = parser.head
            if head is not None and head.status >= _FIRST_ERROR_STATUS:
                break
        return ClientAnswer(parser.head, body)

    def _release(self, stream: ByteStream, is_kept: bool) -> None:
        # After `close` the stream is no longer among the open ones.
        if not is_kept or stream not in self._open:
            self._discard(stream)
            return
        loop = asyncio.get_running_loop()
        stream.set_idle(True)
        self._idle.append((loop.time() + self._limits.idle_s, stream))
        loop.call_later(self._limits.idle_s, self._expire)

    def _expire(self) -> None:
        now = asyncio.get_running_loop().time()
        while self._idle and self._idle[0][0] <= now:
            _, stream = self._idle.popleft()
            self._discard(stream)

    def _discard(self, stream: ByteStream) -> None:
        self._open.discard(stream)
        stream.abort()


def _is_reusable(stream: ByteStream, parser: AnswerParser) -> bool:
    """Return whether a connection carried its exchange and nothing else."""
    return (
        parser.keeps_alive
        and not parser.has_extra_bytes
        and stream.is_reusable
        and not stream.transport.get_write_buffer_size()
    )
