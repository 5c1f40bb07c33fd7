"""Closes a connection so that what was written reaches the peer.

The kernel resets a connection that is closed while bytes are unread, or still
arrive, and the peer loses what it hasn't received yet (RFC 9112, section 9.6).
"""

import asyncio
from contextlib import suppress

from radishstile.http.stream import ByteStream

# Interval of checks for what the peer has acknowledged, in seconds.
_CHECK_INTERVAL_S = 0.25


class ClosingLimits:
    """Limits of what is read after the last answer.

    `time_s` counts from the last `progress_bytes` that the peer acknowledged,
    in seconds; `read_bytes` is what it may send until then.
    """

    __slots__ = ("time_s", "read_bytes", "progress_bytes")

    def __init__(
        self,
        time_s: float = 1.0,
        read_bytes: int = 4_194_304,
        progress_bytes: int = 4096,
    ):
        self.time_s = time_s
        self.read_bytes = read_bytes
        self.progress_bytes = progress_bytes


async def close_gracefully(stream: ByteStream, limits: ClosingLimits) -> None:
    """End the sending side, read until the peer closes its own, and close.

    Returns earlier at one of the limits, or if the connection is lost.
    """
    try:
        stream.end_writing()
        with suppress(ConnectionError):
            await _discard(stream, limits)
    finally:
        stream.close()


async def _discard(stream: ByteStream, limits: ClosingLimits) -> None:
    """Read and drop what arrives, until the peer closes or at a limit."""
    loop = asyncio.get_running_loop()
    left = limits.read_bytes
    delivered = stream.acknowledged_bytes
    ends_at = loop.time() + limits.time_s
    while left > 0 and loop.time() < ends_at:
        check_at = min(ends_at, loop.time() + _CHECK_INTERVAL_S)
        with suppress(TimeoutError):
            async with asyncio.timeout_at(check_at):
                # No name keeps the bytes while the next ones are awaited.
                size = len(await stream.read())
                if not size:
                    return
                left -= size
        if stream.acknowledged_bytes - delivered >= limits.progress_bytes:
            delivered = stream.acknowledged_bytes
            ends_at = loop.time() + limits.time_s
