"""Splits a block table into chunks that each fit into a store object."""

import sys
import zlib
from array import array
from collections.abc import Iterator

import msgpack
import xxhash

from radishstile.errors import ConfigurationError
from radishstile.lookup.address import Family
from radishstile.lookup.intervals import Intervals

MAX_INTERVALS = 49_152
MAX_BODY_BYTES = 1_048_576
_DECODE_ERRORS = (
    zlib.error,
    ValueError,
    TypeError,
    KeyError,
    msgpack.UnpackException,
)


class Chunk:
    """The intervals of one aligned address range.

    The range is the network of `prefix_bits` at `start`. `body` is the
    encoded content; `digest` depends on the content only.
    """

    __slots__ = ("family", "start", "prefix_bits", "digest", "body")

    def __init__(
        self,
        family: Family,
        start: int,
        prefix_bits: int,
        digest: str,
        body: bytes,
    ):
        self.family = family
        self.start = start
        self.prefix_bits = prefix_bits
        self.digest = digest
        self.body = body

    @property
    def name(self) -> str:
        """Return a name that is unique within a table."""
        return f"v{int(self.family)}-{self.start:x}-{self.prefix_bits}"


class _AddressRange:
    """An aligned address range and the intervals that touch it."""

    __slots__ = ("start", "prefix_bits", "first", "last")

    def __init__(self, start: int, prefix_bits: int, first: int, last: int):
        self.start = start
        self.prefix_bits = prefix_bits
        self.first = first
        self.last = last


def split_intervals(family: Family, intervals: Intervals) -> Iterator[Chunk]:
    """Yield the chunks of a family in address order.

    A range is halved until it holds at most `MAX_INTERVALS`, so a change of
    a few blocks leaves the chunks of other ranges unchanged.
    """
    pending = [_AddressRange(0, 0, 0, len(intervals) - 1)]
    while pending:
        chunk_range = pending.pop()
        if chunk_range.last - chunk_range.first < MAX_INTERVALS:
            yield _encode_range(family, intervals, chunk_range)
            continue
        low, high = _halve_range(intervals, chunk_range)
        pending.append(high)
        pending.append(low)


def _halve_range(
    intervals: Intervals, chunk_range: _AddressRange
) -> tuple[_AddressRange, _AddressRange]:
    bits = chunk_range.prefix_bits + 1
    middle = chunk_range.start + (1 << (intervals.bits - bits))
    low_last = intervals.find_index(middle - 1)
    high_first = intervals.find_index(middle)
    low = _AddressRange(chunk_range.start, bits, chunk_range.first, low_last)
    high = _AddressRange(middle, bits, high_first, chunk_range.last)
    return low, high


def _encode_range(
    family: Family, intervals: Intervals, chunk_range: _AddressRange
) -> Chunk:
    clipped = Intervals(intervals.bits)
    for index in range(chunk_range.first, chunk_range.last + 1):
        start = max(chunk_range.start, intervals.start_of(index))
        clipped.append(start, intervals.sites[index])
    content = msgpack.packb(
        {
            "family": int(family),
            "start": chunk_range.start.to_bytes(16),
            "prefix_bits": chunk_range.prefix_bits,
            "starts": _to_bytes(clipped.starts),
            "lows": _to_bytes(clipped.lows),
            "sites": clipped.sites.tobytes(),
        }
    )
    digest = xxhash.xxh3_128_hexdigest(content)
    body = zlib.compress(content)
    return Chunk(
        family, chunk_range.start, chunk_range.prefix_bits, digest, body
    )


def _to_bytes(column: array) -> bytes:
    if sys.byteorder == "big":
        column = column[:]
        column.byteswap()
    return column.tobytes()


def _from_bytes(column: array, data: bytes) -> None:
    column.frombytes(data)
    if sys.byteorder == "big":
        column.byteswap()


class ChunkAssembler:
    """Joins the chunks of a table one by one, in address order.

    Callers on an event loop can yield between chunks.
    """

    __slots__ = ("_intervals", "_next_starts")

    def __init__(self):
        self._intervals = {family: Intervals(family.bits) for family in Family}
        self._next_starts = dict.fromkeys(Family, 0)

    def add(self, body: bytes) -> None:
        """Add the next chunk.

        Raises `ConfigurationError` if it is corrupt or out of order.
        """
        chunk = _decode_body(body)
        expected = self._next_starts[chunk.family]
        if chunk.start != expected:
            raise ConfigurationError(f"block chunks: gap at {expected:#x}")
        self._intervals[chunk.family].extend(chunk.intervals)
        size = 1 << (chunk.family.bits - chunk.prefix_bits)
        self._next_starts[chunk.family] += size

    def finish(self) -> dict[Family, Intervals]:
        """Return the intervals of each family.

        Raises `ConfigurationError` if chunks are missing.
        """
        for family, expected in self._next_starts.items():
            if expected != 1 << family.bits:
                raise ConfigurationError(f"block chunks: gap at {expected:#x}")
        return self._intervals


class _DecodedChunk:
    """The decoded body of a chunk."""

    __slots__ = ("family", "start", "prefix_bits", "intervals")

    def __init__(self, record: dict):
        self.family = Family(record["family"])
        self.start = int.from_bytes(record["start"])
        self.prefix_bits = record["prefix_bits"]
        self.intervals = Intervals(self.family.bits)
        _from_bytes(self.intervals.starts, record["starts"])
        _from_bytes(self.intervals.lows, record["lows"])
        self.intervals.sites.frombytes(record["sites"])
        if len(self.intervals.starts) != len(self.intervals.sites):
            raise ValueError("number of starts differs from number of sites")


def check_chunk(body: bytes, digest: str) -> None:
    """Raise `ConfigurationError` unless `body` matches `digest`."""
    try:
        content = _decompress(body)
    except _DECODE_ERRORS as error:
        raise ConfigurationError(
            f"block chunk can't be decoded: {error}"
        ) from error
    if xxhash.xxh3_128_hexdigest(content) != digest:
        raise ConfigurationError(f"block chunk: digest is not {digest}")


def _decompress(body: bytes) -> bytes:
    reader = zlib.decompressobj()
    content = reader.decompress(body, MAX_BODY_BYTES)
    if reader.unconsumed_tail or not reader.eof:
        raise ValueError("truncated or too large")
    return content


def _decode_body(body: bytes) -> _DecodedChunk:
    try:
        return _DecodedChunk(msgpack.unpackb(_decompress(body)))
    except _DECODE_ERRORS as error:
        raise ConfigurationError(
            f"block chunk can't be decoded: {error}"
        ) from error
