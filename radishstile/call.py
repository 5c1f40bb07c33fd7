"""A caller's request and its answer, independent of HTTP."""

from collections.abc import AsyncIterator, Awaitable, Callable

BodyReader = Callable[[int], Awaitable[bytes]]


class CallerRequest:
    """One request of a caller.

    `headers` are the end-to-end headers without the caller's key;
    `deadline_s` is the caller's deadline in seconds, or None; `read_body`
    takes a limit in bytes and raises `RefusalError` beyond it.
    """

    __slots__ = (
        "method",
        "path",
        "query",
        "headers",
        "key",
        "idempotency_key",
        "client_address",
        "deadline_s",
        "traceparent",
        "read_body",
    )

    def __init__(
        self,
        method: str,
        path: str,
        query: str,
        headers: list[tuple[str, str]],
        key: str | None,
        idempotency_key: str | None,
        client_address: str,
        deadline_s: float | None,
        traceparent: str | None,
        read_body: BodyReader,
    ):
        self.method = method
        self.path = path
        self.query = query
        self.headers = headers
        self.key = key
        self.idempotency_key = idempotency_key
        self.client_address = client_address
        self.deadline_s = deadline_s
        self.traceparent = traceparent
        self.read_body = read_body

    @property
    def target(self) -> str:
        """Return the path with its query, as sent to the upstream."""
        return f"{self.path}?{self.query}" if self.query else self.path


class Answer:
    """An upstream's answer: status, headers and streamed body.

    `parts` raises `RefusalError` if the body can't be completed.
    """

    __slots__ = ("status", "headers", "parts", "upstream")

    def __init__(
        self,
        status: int,
        headers: list[tuple[str, str]],
        parts: AsyncIterator[bytes],
        upstream: str = "",
    ):
        self.status = status
        self.headers = headers
        self.parts = parts
        self.upstream = upstream
