"""Reservations of refused callers, found again by what they repeat."""

import heapq
import itertools

from radishstile.slot.calendar import Booking
from radishstile.slot.claim import Claim

# Callers may come this much before the reserved time, in seconds. Retry-After
# has a resolution of 10 ms, and the entry host limits it by the time that is
# left when the refusal reaches it, which is some ms less than at the leader.
EARLY_S = 0.05
# Callers may come this much after the reserved time, in seconds: latency of
# the network and two busy hosts on the way.
LATE_S = 0.3
# Deadlines of two claims that differ by less are taken as those of one caller
# that repeats, in seconds: the latency of its attempts varies by less.
SAME_DEADLINE_S = 0.03
# Reservations for one fingerprint at a time: callers that read one object
# can't be told apart, and more of them are refused without a return.
MAX_PER_FINGERPRINT = 4

Key = tuple[str, str, str, bytes]


class Reservation:
    """A slot that is reserved for a refused claim's return."""

    __slots__ = ("key", "booking", "deadline_at")

    def __init__(self, key: Key, booking: Booking, deadline_at: float):
        self.key = key
        self.booking = booking
        self.deadline_at = deadline_at

    @property
    def service(self) -> str:
        """Return the service of the claim."""
        return self.key[0]

    @property
    def workspace(self) -> str:
        """Return the workspace of the claim."""
        return self.key[1]

    def has_begun(self, now: float) -> bool:
        """Return whether a caller that comes now isn't too early."""
        return now >= self.booking.starts_at - EARLY_S


class ReservationBook:
    """The reservations that callers have not come for, by claim."""

    __slots__ = ("_by_key", "_count")

    def __init__(self):
        self._by_key: dict[Key, list[Reservation]] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, reservation: Reservation) -> None:
        """Add a reservation."""
        self._by_key.setdefault(reservation.key, []).append(reservation)
        self._count += 1

    def remove(self, reservation: Reservation) -> bool:
        """Remove a reservation; return whether it was there."""
        held = self._by_key.get(reservation.key, [])
        if reservation not in held:
            return False
        held.remove(reservation)
        if not held:
            del self._by_key[reservation.key]
        self._count -= 1
        return True

    def has_room(self, claim: Claim) -> bool:
        """Return whether one more may be held for a claim."""
        held = self._by_key.get(make_key(claim), ())
        return len(held) < MAX_PER_FINGERPRINT

    def find_due(self, claim: Claim, now: float) -> Reservation | None:
        """Return the reservation that a claim has come for, or None.

        Of several, it is the one with the most similar deadline. Those whose
        callers are late have been removed before.
        """
        held = self._by_key.get(make_key(claim), ())
        due = [r for r in held if r.has_begun(now)]
        return min(
            due,
            key=lambda r: abs(r.deadline_at - claim.deadline_at),
            default=None,
        )

    def find_repeated(self, claim: Claim) -> Reservation | None:
        """Return the reservation of the same caller, or None."""
        for held in self._by_key.get(make_key(claim), ()):
            if has_same_deadline(held, claim):
                return held
        return None


class ExpiryQueue:
    """Things that expire, the earliest first."""

    __slots__ = ("_heap", "_numbers")

    def __init__(self):
        self._heap: list = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, item, expires_at: float) -> None:
        """Add an item."""
        entry = (expires_at, next(self._numbers), item)
        heapq.heappush(self._heap, entry)

    def take(self, now: float):
        """Remove and return the next item that has expired, or None."""
        if not self._heap or self._heap[0][0] >= now:
            return None
        return heapq.heappop(self._heap)[2]


def make_key(claim: Claim) -> Key:
    """Return what a caller that returns has in common with its refusal."""
    return claim.service, claim.workspace, claim.route, claim.fingerprint


def has_same_deadline(held: Claim | Reservation, claim: Claim) -> bool:
    """Return whether a claim's deadline is that of an earlier one."""
    return abs(held.deadline_at - claim.deadline_at) < SAME_DEADLINE_S
