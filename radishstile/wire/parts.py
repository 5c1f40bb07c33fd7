"""Splits bodies into numbered parts and reassembles them."""

from collections.abc import Iterator

from radishstile.errors import FrameError
from radishstile.wire.counters import WireCounters
from radishstile.wire.messages.base import Part, PartsEnd


class PartSplitter:
    """Splits one body into numbered parts, followed by an end message."""

    __slots__ = ("request_id", "part_bytes", "_part_count", "_length_bytes")

    def __init__(self, request_id: str, part_bytes: int):
        self.request_id = request_id
        self.part_bytes = part_bytes
        self._part_count = 0
        self._length_bytes = 0

    def split(self, data: bytes, kind: type[Part]) -> Iterator[Part]:
        """Yield `data` as the next parts, of type `kind`."""
        for start in range(0, len(data), self.part_bytes):
            piece = bytes(data[start : start + self.part_bytes])
            number = self._part_count
            self._part_count += 1
            self._length_bytes += len(piece)
            yield kind(request_id=self.request_id, number=number, data=piece)

    def make_end(self, kind: type[PartsEnd]) -> PartsEnd:
        """Return the end message, of type `kind`, for the parts so far."""
        return kind(
            request_id=self.request_id,
            parts=self._part_count,
            length=self._length_bytes,
        )


class PartAssembler:
    """Accepts the parts of one body in order, until its end message.

    `is_complete` becomes true only with an end message whose count and length
    match the accepted parts. After a missing part or an end message that does
    not match, everything is dropped.
    """

    __slots__ = (
        "request_id",
        "is_complete",
        "_has_failed",
        "_part_count",
        "_length_bytes",
        "_counters",
    )

    def __init__(self, request_id: str, counters: WireCounters):
        self.request_id = request_id
        self.is_complete = False
        self._has_failed = False
        self._part_count = 0
        self._length_bytes = 0
        self._counters = counters

    def accept(self, part: Part) -> bytes | None:
        """Return the part's data, or None if the part is dropped.

        Raises `FrameError` if an earlier part is missing.
        """
        if self._must_drop(part) or part.number < self._part_count:
            self._counters.dropped_parts += 1
            return None
        if part.number > self._part_count:
            self._has_failed = True
            raise FrameError(f"part {self._part_count} is missing")
        self._part_count += 1
        self._length_bytes += len(part.data)
        return part.data

    def finish(self, end: PartsEnd) -> None:
        """Mark the body as complete.

        Raises `FrameError` if parts are missing. An end message of another
        request is dropped.
        """
        if self._must_drop(end):
            self._counters.dropped_parts += 1
            return
        if (end.parts, end.length) != (self._part_count, self._length_bytes):
            self._has_failed = True
            raise FrameError(
                f"body has {self._part_count} parts and "
                f"{self._length_bytes} bytes, "
                f"not {end.parts} and {end.length}"
            )
        self.is_complete = True

    def _must_drop(self, message: Part | PartsEnd) -> bool:
        is_over = self.is_complete or self._has_failed
        return is_over or message.request_id != self.request_id
