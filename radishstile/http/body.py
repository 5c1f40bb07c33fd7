"""A request's body, kept outside the allocator's heap if it is large."""

import mmap
from collections.abc import Iterator

# Bytes that are kept in one growing buffer; what is more goes into blocks.
TAIL_BYTES = 16_384
# Size of a block. Each is a mapping of its own, of which only written pages
# take memory, and which is given back when the body goes. On the heap, bodies
# that came and went left holes of 0.4 of the memory in use.
BLOCK_BYTES = 262_144
# Size of the parts that a body is sent in, in bytes.
PART_BYTES = 65_536
# Memory of a block's and the tail's objects, in bytes.
BLOCK_COST_BYTES = 4096
TAIL_COST_BYTES = 64


class Body:
    """The bytes of a body in the order of their arrival."""

    __slots__ = ("_blocks", "_block_bytes", "_tail")

    def __init__(self):
        self._blocks: list[mmap.mmap] = []
        # What follows the blocks.
        self._tail = bytearray()
        self._block_bytes = 0

    def __len__(self) -> int:
        return self._block_bytes + len(self._tail)

    def __iter__(self) -> Iterator[memoryview | bytearray]:
        left = self._block_bytes
        for block in self._blocks:
            content = memoryview(block)[:left]
            left -= len(content)
            for start in range(0, len(content), PART_BYTES):
                yield content[start : start + PART_BYTES]
        if self._tail:
            yield self._tail

    def __eq__(self, other) -> bool:
        return b"".join(self) == bytes(other)

    def __bytes__(self) -> bytes:
        return b"".join(self)

    def append(self, piece: bytes) -> None:
        """Add the piece that follows."""
        if not self._tail and len(piece) >= TAIL_BYTES:
            self._add_to_blocks(piece)
            return
        self._tail += piece
        if len(self._tail) >= TAIL_BYTES:
            tail, self._tail = self._tail, bytearray()
            self._add_to_blocks(tail)

    def measure(self) -> int:
        """Return the memory that the body takes, in bytes."""
        blocks = BLOCK_COST_BYTES * len(self._blocks)
        return len(self) + blocks + TAIL_COST_BYTES

    def _add_to_blocks(self, piece: bytes | bytearray) -> None:
        """Copy a piece behind the blocks, which hold all so far."""
        content = memoryview(piece)
        position = self._block_bytes % BLOCK_BYTES
        self._block_bytes += len(piece)
        while content:
            if position == 0:
                self._blocks.append(mmap.mmap(-1, BLOCK_BYTES))
            size = min(BLOCK_BYTES - position, len(content))
            end = position + size
            self._blocks[-1][position:end] = content[:size]
            content = content[size:]
            position = end % BLOCK_BYTES
