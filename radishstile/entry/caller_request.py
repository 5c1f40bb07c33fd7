"""A caller's request, decoded, and the answer to it."""

from collections.abc import AsyncIterator
from typing import Protocol

from radishstile.entry.buffers import BufferReservation, Holder
from radishstile.http.message import AnswerHead, Request


class CallerRequest:
    """A caller's request.

    `deadline_s` is how long the caller waits, in seconds, or None if it does
    not say. `affinity_key` names the object that the request is about; it
    and `api_key` are empty if missing. `holder` is charged with what is
    buffered of its answer, if it is set.
    """

    __slots__ = (
        "http_request",
        "request_id",
        "hostname",
        "api_key",
        "affinity_key",
        "deadline_s",
        "holder",
    )

    def __init__(
        self,
        http_request: Request,
        request_id: str,
        hostname: str,
        api_key: str,
        affinity_key: str,
        deadline_s: float | None,
    ):
        self.http_request = http_request
        self.request_id = request_id
        self.hostname = hostname
        self.api_key = api_key
        self.affinity_key = affinity_key
        self.deadline_s = deadline_s
        self.holder: Holder | None = None


class AnswerBody(Protocol):
    """A body that is received while it is passed on."""

    @property
    def deadline_at(self) -> float | None:
        """Return the loop's time up to which the rest may be received."""

    def read(self) -> AsyncIterator[bytes]:
        """Yield the body's parts; raises `RefusalError` if it breaks off."""

    async def close(self) -> None:
        """Free what the body occupies."""


class BufferedAnswer:
    """An upstream's answer that is complete.

    It must be closed, whether or not it was passed on. `deadline_at` is the
    request's deadline, the loop's time in seconds.
    """

    __slots__ = ("head", "parts", "deadline_at", "_reservation")

    def __init__(
        self,
        head: AnswerHead,
        parts: list[bytes],
        reservation: BufferReservation,
        deadline_at: float,
    ):
        self.head = head
        self.parts = parts
        self.deadline_at = deadline_at
        self._reservation = reservation

    async def close(self) -> None:
        """Free the buffer."""
        self._reservation.close()


class StreamedAnswer:
    """An upstream's answer whose body is still being received.

    It must be closed, whether or not its body was read. `deadline_at` is the
    request's deadline, the loop's time in seconds.
    """

    __slots__ = ("head", "body", "deadline_at")

    def __init__(self, head: AnswerHead, body: AnswerBody, deadline_at: float):
        self.head = head
        self.body = body
        self.deadline_at = deadline_at

    async def close(self) -> None:
        """Free the slot and the connection."""
        await self.body.close()


Answer = BufferedAnswer | StreamedAnswer
