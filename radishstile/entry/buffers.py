"""The account of the memory that a host holds for connections.

Each connection has limits of its own, but their number times these is more
than the memory of a host. Everything held for a connection is charged here
from the first byte. Where the budget is short, the holders that make no
progress are closed first, the largest before the others.
"""

from collections.abc import Callable
from enum import IntEnum
from typing import Protocol

from radishstile.entry.eviction import choose_victims

# Memory of the process itself, with what it knows of the fleet, in bytes;
# measured 48 MB at rest with one peer.
PROCESS_BYTES = 60_000_000
# Part of the memory that the account may fill together with the process. The
# rest is for what the allocator can't reuse and for bytes in transit.
MEMORY_SHARE = 0.9
# The least part for the account, where the memory is smaller than a process
# needs.
MIN_SHARE = 0.3
# Part of the account that is kept for small holders, so that large ones don't
# displace the many small ones.
RESERVE_SHARE = 0.1
# Largest size of a small holder in bytes: a connection with a request that has
# a head of the usual limit and no long body.
SMALL_BYTES = 49_152
# Part of the account that is freed at once, so that the holders aren't
# searched again for each of the next requests.
FREED_SHARE = 1 / 16
# Part of the account that unread bytes may take before sockets are read in
# small pieces.
UNREAD_SHARE = 1 / 16
# Part of the account above which long answers are passed on in small pieces.
SHORT_SHARE = 3 / 4
# Time between searches that free nothing, in seconds.
SEARCH_PAUSE_S = 0.05
# Bytes that count as progress of a connection. Fewer may be sent one at a
# time just to look alive.
PROGRESS_BYTES = 4096


class Kind(IntEnum):
    """What memory is held for."""

    CONNECTION = 0
    UNREAD = 1
    # A request that has arrived partly.
    PARTIAL = 2
    REQUEST = 3
    ANSWER = 4
    UNSENT = 5


class Owner(Protocol):
    """The connection that memory is held for."""

    def refresh(self, now: float) -> None:
        """Bring the holder up to date."""

    def evict(self) -> None:
        """Give up what is held; the request is refused or cut off."""


class BufferBudget:
    """The memory that connections may use, in bytes.

    `limit_bytes` is for all holders, `reserve_bytes` beyond it for small
    ones. `stall_s` is the time without progress after which a holder may be
    closed. `on_evicted` is called with the holders that were closed.
    `upstreams` holds what was received from upstreams and not read.
    """

    __slots__ = (
        "limit_bytes",
        "reserve_bytes",
        "used_bytes",
        "used_by_kind",
        "stall_s",
        "on_evicted",
        "upstreams",
        "_holders",
        "_clock",
        "_next_search_at",
    )

    def __init__(
        self,
        memory_bytes: float,
        clock: Callable[[], float] = lambda: 0.0,
        stall_s: float = 1.0,
    ):
        whole = max(
            memory_bytes * MIN_SHARE,
            memory_bytes * MEMORY_SHARE - PROCESS_BYTES,
        )
        self.reserve_bytes = int(whole * RESERVE_SHARE)
        self.limit_bytes = int(whole) - self.reserve_bytes
        self.used_bytes = 0
        self.used_by_kind = [0] * len(Kind)
        self.stall_s = stall_s
        self.on_evicted: Callable[[list[Holder]], None] = lambda holders: None
        self.upstreams = Holder(self)
        self._holders: set[Holder] = set()
        self._clock = clock
        self._next_search_at = 0.0

    @property
    def is_flooded(self) -> bool:
        """Return whether unread bytes take more than their part."""
        unread = self.used_by_kind[Kind.UNREAD]
        return unread > self.limit_bytes * UNREAD_SHARE

    @property
    def is_short(self) -> bool:
        """Return whether little is left for large holders."""
        return self.used_bytes > self.limit_bytes * SHORT_SHARE

    def open(self, holder: "Holder | None" = None) -> "BufferReservation":
        """Return a reservation of no bytes, for an answer."""
        return BufferReservation(holder or Holder(self))

    def hold(self, owner: Owner) -> "Holder":
        """Return the holder of a new connection."""
        holder = Holder(self, owner, self._clock())
        self._holders.add(holder)
        return holder

    def forget(self, holder: "Holder") -> None:
        """Choose this holder no more; what it has is still charged."""
        self._holders.discard(holder)

    def release(self, holder: "Holder") -> None:
        """Give back all that a holder has."""
        self.forget(holder)
        # Without a reference cycle the connection goes at once.
        holder.owner = None
        for kind in Kind:
            holder.charge(kind, 0)

    def count_holders(self) -> int:
        """Return the number of connections that aren't being closed."""
        return len(self._holders)

    def list_holders(self) -> "list[Holder]":
        """Return the holders of connections, brought up to date."""
        now = self._clock()
        for holder in self._holders:
            holder.owner.refresh(now)
        return list(self._holders)

    def has_room(self, holder: "Holder", size: int) -> bool:
        """Return whether `size` bytes more fit, of this holder."""
        return self._count_missing(holder, size) <= 0

    def make_room(self, holder: "Holder", size: int) -> bool:
        """Return whether `size` bytes more fit, once others are closed."""
        missing = self._count_missing(holder, size)
        if missing <= 0:
            return True
        now = self._clock()
        if now < self._next_search_at:
            return False
        others = [h for h in self.list_holders() if h is not holder]
        victims = choose_victims(
            others,
            missing + int(self.limit_bytes * FREED_SHARE),
            now - self.stall_s,
            holder.total_bytes + size <= SMALL_BYTES,
        )
        self.evict(victims)
        if sum(victim.total_bytes for victim in victims) < missing:
            # A search takes long where there are thousands of connections.
            self._next_search_at = now + SEARCH_PAUSE_S
        return self.has_room(holder, size)

    def evict(self, victims: "list[Holder]") -> None:
        """Close the connections of some holders."""
        if not victims:
            return
        self.on_evicted(victims)
        for victim in victims:
            victim.owner.evict()

    def _count_missing(self, holder: "Holder", size: int) -> int:
        limit = self.limit_bytes
        if holder.total_bytes + size <= SMALL_BYTES:
            limit += self.reserve_bytes
        return self.used_bytes + size - limit


class Holder:
    """What is held for one connection, in bytes by kind.

    `progress_at` is when it made progress last, `is_waiting` whether its
    next step is the caller's, and `has_served` whether a request of it was
    answered. `owner` is None for what belongs to no connection.
    """

    __slots__ = (
        "owner",
        "total_bytes",
        "progress_at",
        "is_waiting",
        "has_served",
        "_budget",
        "_bytes",
        "_moved_bytes",
    )

    def __init__(
        self,
        budget: BufferBudget,
        owner: Owner | None = None,
        now: float = 0.0,
    ):
        self.owner = owner
        self.total_bytes = 0
        self.progress_at = now
        self.is_waiting = False
        self.has_served = False
        self._budget = budget
        self._bytes = [0] * len(Kind)
        self._moved_bytes = 0

    def get(self, kind: Kind) -> int:
        """Return the bytes held of a kind."""
        return self._bytes[kind]

    @property
    def is_budget_short(self) -> bool:
        """Return whether the host has little memory left."""
        return self._budget.is_short

    @property
    def is_partial(self) -> bool:
        """Return whether a request has arrived partly."""
        return self._bytes[Kind.PARTIAL] > 0

    def charge(self, kind: Kind, size: int) -> None:
        """Hold `size` bytes of a kind, whether or not they fit."""
        added = size - self._bytes[kind]
        if not added:
            return
        self._bytes[kind] = size
        self.total_bytes += added
        self._budget.used_bytes += added
        self._budget.used_by_kind[kind] += added

    def try_charge(self, kind: Kind, size: int) -> bool:
        """Hold `size` bytes of a kind; change nothing if they don't fit."""
        added = size - self._bytes[kind]
        if added > 0 and not self._budget.make_room(self, added):
            return False
        self.charge(kind, size)
        return True

    def record_moved(self, size: int, now: float) -> None:
        """Record that `size` bytes arrived or were taken."""
        self._moved_bytes += size
        if self._moved_bytes >= PROGRESS_BYTES:
            self.record_progress(now)

    def record_progress(self, now: float) -> None:
        """Record progress."""
        self._moved_bytes = 0
        self.progress_at = now


class BufferReservation:
    """The memory that one answer uses, until it is closed."""

    __slots__ = ("_holder", "_bytes")

    def __init__(self, holder: Holder):
        self._holder = holder
        self._bytes = 0

    def resize(self, size: int) -> bool:
        """Use `size` bytes; return False, and change nothing, if too many."""
        held = self._holder.get(Kind.ANSWER) - self._bytes
        if not self._holder.try_charge(Kind.ANSWER, held + size):
            return False
        self._bytes = size
        return True

    def force(self, size: int) -> None:
        """Use `size` bytes that are already there."""
        held = self._holder.get(Kind.ANSWER) - self._bytes
        self._holder.charge(Kind.ANSWER, held + size)
        self._bytes = size

    def close(self) -> None:
        """Give all bytes back."""
        self.force(0)
