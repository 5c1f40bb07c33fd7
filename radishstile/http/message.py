"""HTTP/1.1 requests and answer heads, with undecoded bytes."""

from radishstile.http.body import Body

Headers = list[tuple[bytes, bytes]]
# Memory of a header's objects beside its bytes: a tuple, two byte strings and
# a list entry, each rounded up.
FIELD_COST_BYTES = 192
# The same of a request without headers and body.
REQUEST_COST_BYTES = 768


class Request:
    """A complete request; header names are in lower case.

    `received_at` is the loop time at which its first byte arrived.
    """

    __slots__ = (
        "method",
        "target",
        "headers",
        "body",
        "keeps_alive",
        "received_at",
        "_head_bytes",
    )

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: Body,
        keeps_alive: bool,
        received_at: float,
        head_bytes: int = 0,
    ):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.keeps_alive = keeps_alive
        self.received_at = received_at
        self._head_bytes = head_bytes

    def measure(self) -> int:
        """Return the memory that the request takes, in bytes."""
        fields = measure_fields(len(self.headers), self._head_bytes)
        return REQUEST_COST_BYTES + fields + self.body.measure()

    @property
    def path(self) -> str:
        """Return the target without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    def find(self, name: bytes) -> bytes | None:
        """Return the value of the first header with that name, if any."""
        return find_header(self.headers, name)


class AnswerHead:
    """Status and headers of an answer; header names keep their case."""

    __slots__ = ("status", "headers")

    def __init__(self, status: int, headers: Headers):
        self.status = status
        self.headers = headers

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header, given its lower-case name."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None

    def find_all(self, name: bytes) -> list[bytes]:
        """Return all values of a header, given its lower-case name."""
        return [
            value.strip(b" \t")
            for key, value in self.headers
            if key.lower() == name
        ]


def measure_fields(count: int, size: int) -> int:
    """Return the memory of `count` headers of `size` bytes, in bytes."""
    return count * FIELD_COST_BYTES + size


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header with that name, if any."""
    for key, value in headers:
        if key == name:
            return value
    return None
