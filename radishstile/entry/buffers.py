"""A limit of the bytes that a host buffers for all connections together.

Each connection has limits of its own, but their number times these is more
than the memory of a host.
"""

# Part of a host's memory that bodies may use. The process itself takes a
# quarter, and connections hold unread and unsent bytes besides.
MEMORY_SHARE = 0.3
# Bytes that each body may use without counting, so that large ones don't
# displace the many small ones.
UNCOUNTED_BYTES = 16_384


class BufferBudget:
    """The bytes that bodies may use."""

    __slots__ = ("limit_bytes", "used_bytes")

    def __init__(self, memory_bytes: float):
        self.limit_bytes = int(memory_bytes * MEMORY_SHARE)
        self.used_bytes = 0

    def open(self) -> "BufferReservation":
        """Return a reservation of no bytes."""
        return BufferReservation(self)


class BufferReservation:
    """The part of the budget that one body uses, until it is closed."""

    __slots__ = ("_budget", "_bytes")

    def __init__(self, budget: BufferBudget):
        self._budget = budget
        self._bytes = 0

    def resize(self, size: int) -> bool:
        """Use `size` bytes; return False, and change nothing, if too many."""
        counted = size if size > UNCOUNTED_BYTES else 0
        used = self._budget.used_bytes - self._bytes + counted
        if counted > self._bytes and used > self._budget.limit_bytes:
            return False
        self._budget.used_bytes = used
        self._bytes = counted
        return True

    def close(self) -> None:
        """Give all bytes back."""
        self.resize(0)
