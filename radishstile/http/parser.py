"""Incremental parsers for HTTP/1.1 requests and answers."""

from collections import deque

import httptools

from radishstile.errors import HttpError
from radishstile.http.body import Body
from radishstile.http.message import (
    AnswerHead,
    Headers,
    Request,
    measure_fields,
)
from radishstile.http.statuses import INTERIM_STATUSES, is_final

_BAD_REQUEST = 400
_BODY_TOO_LARGE = 413
_HEAD_TOO_LARGE = 431
# Colon, space and line end around a header's name and value.
_HEADER_OVERHEAD_BYTES = 4
_NO_BODY_STATUSES = (204, 304)


class AnswerLimits:
    """Limits of what an upstream may send beside an answer's body, in bytes.

    `head_bytes`: one head, or the trailers or chunk extensions between two
    parts of a body. `skipped_bytes`: everything before the awaited answer,
    such as answers to other requests.
    """

    __slots__ = ("head_bytes", "skipped_bytes")

    def __init__(
        self, head_bytes: int = 65_536, skipped_bytes: int = 1_048_576
    ):
        self.head_bytes = head_bytes
        self.skipped_bytes = skipped_bytes


class RequestParser:
    """Parses the requests on a connection and limits their size.

    `requests` holds the complete requests in order. `head_started_at` is when
    the first byte of an incomplete head arrived, or None.
    """

    __slots__ = (
        "requests",
        "head_started_at",
        "expects_continue",
        "_header_limit",
        "_body_limit",
        "_parser",
        "_now",
        "_started_at",
        "_has_begun",
        "_target",
        "_headers",
        "_head_bytes",
        "_unparsed_bytes",
        "_body",
        "_error",
    )

    def __init__(self, header_limit_bytes: int, body_limit_bytes: int):
        self.requests: deque[Request] = deque()
        self.head_started_at: float | None = None
        self.expects_continue = False
        self._header_limit = header_limit_bytes
        self._body_limit = body_limit_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._now = 0.0
        self._has_begun = False
        # Bytes received since the last header or part of a body was complete.
        self._unparsed_bytes = 0
        self._error: HttpError | None = None
        self._reset()

    @property
    def is_incomplete(self) -> bool:
        """Return whether a request has arrived only partly."""
        return self._has_begun

    @property
    def body_bytes(self) -> int:
        """Return the size of the body that is being received."""
        return len(self._body)

    def measure_waiting(self) -> int:
        """Return the memory of the requests that wait here, in bytes."""
        return sum(request.measure() for request in self.requests)

    def measure_partial(self) -> int:
        """Return the memory of a request that is being received, in bytes."""
        if not self._has_begun:
            return 0
        fields = measure_fields(len(self._headers), self._head_bytes)
        return fields + self._unparsed_bytes + self._body.measure()

    def discard(self) -> None:
        """Drop all requests, whole or not; what is fed later is ignored.

        It also ends the reference cycle with the parser and its last error,
        which would keep a closed connection's memory for long.
        """
        self.requests.clear()
        self._parser = None
        self._error = None
        self._has_begun = False
        self._reset()

    def feed(self, data: bytes, now: float) -> None:
        """Parse received bytes; raises `HttpError` if they are rejected."""
        if self._parser is None:
            return
        self._now = now
        self._unparsed_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise HttpError(
                _BAD_REQUEST, "protocol upgrades are not supported"
            ) from error
        except httptools.HttpParserError as error:
            raise self._error or HttpError(
                _BAD_REQUEST, f"malformed request: {error}"
            ) from error
        # A header line counts towards the head once it is complete.
        if self._has_begun and self._unparsed_bytes > self._header_limit:
            raise HttpError(_HEAD_TOO_LARGE, "the head is too large")

    def _reset(self) -> None:
        self._target = b""
        self._headers: Headers = []
        self._head_bytes = 0
        self._body = Body()
        self._started_at = self._now

    def _count_head(self, size: int) -> None:
        self._unparsed_bytes = 0
        self._head_bytes += size
        if self._head_bytes > self._header_limit:
            self._fail(_HEAD_TOO_LARGE, "the head is too large")

    def _fail(self, status: int, detail: str) -> None:
        self._error = HttpError(status, detail)
        raise self._error

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset()
        self._unparsed_bytes = 0
        self._has_begun = True
        self.head_started_at = self._now

    def on_url(self, part: bytes) -> None:
        """Append to the request target."""
        self._target += part
        self._count_head(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._count_head(len(name) + len(value) + _HEADER_OVERHEAD_BYTES)
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check `Content-Length` before the body arrives."""
        self.head_started_at = None
        for name, value in self._headers:
            if name == b"content-length" and int(value) > self._body_limit:
                self._fail(_BODY_TOO_LARGE, "the body is too large")
            if name == b"expect" and value.lower() == b"100-continue":
                self.expects_continue = True

    def on_body(self, part: bytes) -> None:
        """Append to the body."""
        self._unparsed_bytes = 0
        self._body.append(part)
        if len(self._body) > self._body_limit:
            self._fail(_BODY_TOO_LARGE, "the body is too large")

    def on_message_complete(self) -> None:
        """Add the complete request to `requests`."""
        self._has_begun = False
        self.expects_continue = False
        body, self._body = self._body, Body()
        self.requests.append(
            Request(
                self._parser.get_method(),
                self._target,
                self._headers,
                body,
                self._parser.should_keep_alive(),
                self._started_at,
                self._head_bytes,
            )
        )


class AnswerParser:
    """Parses the answer to one request.

    A preceding answer with another request id is skipped: some upstreams
    answer twice, and the second answer precedes that to the next request.
    Where `request_id` is None, answers need none.
    """

    __slots__ = (
        "head",
        "is_complete",
        "skipped_answers",
        "has_extra_bytes",
        "keeps_alive",
        "_request_id",
        "_id_header",
        "_parser",
        "_headers",
        "_body",
        "_has_known_length",
        "_is_skipping",
        "_limits",
        "_framing_bytes",
        "_skipped_bytes",
        "_error",
    )

    def __init__(
        self,
        id_header: bytes,
        request_id: bytes | None,
        limits: AnswerLimits,
    ):
        self.head: AnswerHead | None = None
        self.is_complete = False
        self.skipped_answers = 0
        self.has_extra_bytes = False
        self.keeps_alive = False
        self._id_header = id_header
        self._request_id = request_id
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._body = bytearray()
        self._has_known_length = False
        self._is_skipping = False
        self._limits = limits
        # Bytes received since the last head or part of a body was complete.
        self._framing_bytes = 0
        # Bytes received before the awaited answer's head.
        self._skipped_bytes = 0
        self._error: HttpError | None = None

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises `HttpError` if they are malformed or exceed the limits.
        """
        self._framing_bytes += len(data)
        if self.head is None:
            self._skipped_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise HttpError(
                502, "the upstream upgraded the connection"
            ) from error
        except httptools.HttpParserError as error:
            # Bytes after a complete answer belong to no request.
            if self.is_complete:
                self.has_extra_bytes = True
                return
            raise self._error or HttpError(
                502, f"malformed answer: {error}"
            ) from error
        self._check_limits()

    def _check_limits(self) -> None:
        if self.is_complete:
            return
        if self._framing_bytes > self._limits.head_bytes:
            raise HttpError(502, "the answer's head or framing is too large")
        if (
            self.head is None
            and self._skipped_bytes > self._limits.skipped_bytes
        ):
            raise HttpError(502, "too many bytes precede the answer")

    def feed_eof(self) -> None:
        """Handle the end of the stream.

        It completes an answer of unknown length; raises `HttpError` if the
        answer is incomplete.
        """
        if self.is_complete:
            return
        if self.head is None or self._has_known_length:
            raise HttpError(502, "the answer is incomplete")
        self.is_complete = True
        self.keeps_alive = False

    def take_body(self) -> bytes:
        """Return what arrived of the body since the last call."""
        part = bytes(self._body)
        self._body.clear()
        return part

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Start an answer; one that follows a complete answer is extra."""
        if self.is_complete:
            self.has_extra_bytes = True
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Set `head`, unless the answer is to be skipped."""
        self._framing_bytes = 0
        if self.is_complete:
            return
        status = self._parser.get_status_code()
        is_interim = status in INTERIM_STATUSES
        if not is_interim and not is_final(status):
            self._error = HttpError(502, f"{status:03} is no status of HTTP")
            raise self._error
        head = AnswerHead(status, self._headers)
        is_other = (
            self._request_id is not None
            and head.find(self._id_header) != self._request_id
        )
        self._is_skipping = is_interim or is_other
        if self._is_skipping:
            return
        self.head = head
        self._has_known_length = (
            status in _NO_BODY_STATUSES
            or head.find(b"content-length") is not None
            or b"chunked" in (head.find(b"transfer-encoding") or b"").lower()
        )

    def on_body(self, part: bytes) -> None:
        """Append to the body."""
        self._framing_bytes = 0
        if not self._is_skipping and not self.is_complete:
            self._body += part

    def on_message_complete(self) -> None:
        """Mark the answer as complete, or count a skipped one."""
        if self._is_skipping:
            self._is_skipping = False
            self.skipped_answers += 1
            return
        if self.is_complete:
            return
        self.is_complete = True
        self.keeps_alive = self._parser.should_keep_alive()
