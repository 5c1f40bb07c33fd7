"""Length-prefixed frames on asyncio streams."""

import asyncio

from radishstile.errors import FrameError

FRAME_LIMIT_BYTES = 1_048_576 + 65_536
PREFIX_BYTES = 4


async def read_frame(
    reader: asyncio.StreamReader, limit_bytes: int = FRAME_LIMIT_BYTES
) -> bytes:
    """Return the content of the next frame.

    Raises `FrameError` for an empty or too large frame without reading its
    content, and `asyncio.IncompleteReadError` if the stream ends.
    """
    prefix = await reader.readexactly(PREFIX_BYTES)
    length = int.from_bytes(prefix, "big")
    check_length(length, limit_bytes)
    return await reader.readexactly(length)


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
