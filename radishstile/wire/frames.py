"""Length-prefixed frames on asyncio streams."""

import asyncio
from collections.abc import Callable

from radishstile.errors import FrameError

FRAME_LIMIT_BYTES = 1_048_576 + 65_536
PREFIX_BYTES = 4
# Size of the steps in which long content is read, in bytes.
_READ_BYTES = 65_536


async def read_frame(
    reader: asyncio.StreamReader,
    limit_bytes: int = FRAME_LIMIT_BYTES,
    record_read: Callable[[], None] = lambda: None,
) -> bytes:
    """Return the content of the next frame.

    `record_read` is called for each part of it that has arrived. Raises
    `FrameError` for an empty or too large frame without reading its content,
    and `asyncio.IncompleteReadError` if the stream ends.
    """
    prefix = await reader.readexactly(PREFIX_BYTES)
    length = int.from_bytes(prefix, "big")
    record_read()
    check_length(length, limit_bytes)
    parts = []
    while length:
        part = await reader.readexactly(min(length, _READ_BYTES))
        record_read()
        parts.append(part)
        length -= len(part)
    return b"".join(parts)


def build_frame(content: bytes) -> bytes:
    """Return `content` prefixed with its length."""
    check_length(len(content), FRAME_LIMIT_BYTES)
    return len(content).to_bytes(PREFIX_BYTES, "big") + content


def write_frame(writer: asyncio.StreamWriter, content: bytes) -> int:
    """Write a frame to the stream's buffer and return its size in bytes."""
    frame = build_frame(content)
    writer.write(frame)
    return len(frame)


def check_length(length: int, limit_bytes: int) -> None:
    """Raise `FrameError` unless a frame may have this length, in bytes."""
    if length == 0:
        raise FrameError("frame is empty")
    if length > limit_bytes:
        raise FrameError(
            f"frame of {length} bytes exceeds the limit of {limit_bytes}"
        )
