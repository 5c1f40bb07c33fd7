"""Calendar of the slot-seconds that are reserved for returns."""

import math

# Length of a bucket in seconds: about what the network and a busy host add to
# the time at which a caller comes back.
BUCKET_S = 0.1
# Buckets in which a reservation may begin. A third of the longest time that a
# caller has left (6.8 s) is 2.3 s, and forecasts don't reach further.
START_BUCKETS = 20
# All buckets: a reservation occupies a slot for its whole run, and nearly all
# runs take less than 1.2 s. What lies beyond is not counted.
BUCKETS = START_BUCKETS + 12
# Part of the slots that the forecast counts on. Runs are not packed without
# gaps: a slot is idle between the report of one run and the next grant.
USABLE_PART = 0.9
# Part of the slots that may be reserved at any load, so that returns don't
# starve, but never less than one slot. A return earns a fifth of what an
# answer in time does: in bench.overload 0.05 and more earn less.
MIN_RESERVED_PART = 0.02
# Of consecutive reservations, each is offset by this part of a bucket from
# the one before, modulo the bucket (golden ratio), so that any number of them
# is spread evenly.
OFFSET_STEP = 0.6180339887
# Tolerance of sums of floating-point numbers, in slot-seconds.
ROUNDING_S = 1e-9


class Bucket:
    """One bucket: what may be reserved, what is, and for whom (slot-s)."""

    __slots__ = ("index", "allowed_s", "reserved_s", "by_workspace")

    def __init__(self, index: int):
        self.index = index
        self.allowed_s = 0.0
        self.reserved_s = 0.0
        self.by_workspace: dict[str, float] = {}

    def fits(self, need: "Need", length_s: float) -> bool:
        """Return whether a slot can be reserved for a part of the bucket.

        A workspace may hold as much as it leaves free to others, so that one
        alone gets half of a bucket, and two that compete a third each.
        """
        held_s = 0.0
        if need.workspace:
            held_s = self.by_workspace.get(need.workspace, 0.0)
        free_s = need.part * self.allowed_s - self.reserved_s
        return held_s + length_s <= need.trust * free_s + ROUNDING_S

    def add(self, workspace: str, length_s: float) -> None:
        """Reserve, or release if the length is negative."""
        self.reserved_s = max(0.0, self.reserved_s + length_s)
        held_s = self.by_workspace.get(workspace, 0.0) + length_s
        if held_s > ROUNDING_S:
            self.by_workspace[workspace] = held_s
        else:
            self.by_workspace.pop(workspace, None)


class Need:
    """What a return needs: a slot for `slot_s` seconds in a time window.

    `part` is the part of a bucket that its priority may use, and `trust` the
    part of it that its workspace has proved to use. Times are in seconds.
    """

    __slots__ = (
        "workspace",
        "slot_s",
        "earliest_at",
        "latest_at",
        "part",
        "trust",
    )

    def __init__(
        self,
        workspace: str,
        slot_s: float,
        earliest_at: float,
        latest_at: float,
        part: float,
        trust: float,
    ):
        self.workspace = workspace
        self.slot_s = slot_s
        self.earliest_at = earliest_at
        self.latest_at = latest_at
        self.part = part
        self.trust = trust


class Booking:
    """A slot reserved from `starts_at`, from the bucket `first` on.

    `lengths_s` are the seconds that it takes of each bucket.
    """

    __slots__ = ("workspace", "starts_at", "first", "lengths_s")

    def __init__(
        self,
        workspace: str,
        starts_at: float,
        first: int,
        lengths_s: list[float],
    ):
        self.workspace = workspace
        self.starts_at = starts_at
        self.first = first
        self.lengths_s = lengths_s


class SlotCalendar:
    """The buckets ahead of one service; passed ones are dropped."""

    __slots__ = ("_buckets", "_first", "_offset")

    def __init__(self, now: float):
        self._first = _find_index(now)
        self._buckets = [Bucket(-1) for _ in range(BUCKETS)]
        for index in self._list_indices():
            self._buckets[index % BUCKETS] = Bucket(index)
        self._offset = 0.0

    def list_buckets(self, now: float) -> list[Bucket]:
        """Return the buckets from the present one on."""
        self._advance(now)
        return [self._get(index) for index in self._list_indices()]

    def allow(
        self, slots: float, queued_s: float, demand: list[float], now: float
    ) -> None:
        """Set what may be reserved in each bucket.

        `queued_s` is the work that waits, and `demand` the slots that the
        claims that arrive are expected to use, by bucket. Demand above the
        slots doesn't make the queue longer: it is refused. Reservations that
        were made on a better forecast stay.
        """
        minimum = min(slots, max(1.0, MIN_RESERVED_PART * slots))
        for bucket, used in zip(self.list_buckets(now), demand, strict=True):
            free_s = max(0.0, USABLE_PART * slots - used) * BUCKET_S
            drained_s = min(free_s, queued_s)
            queued_s -= drained_s
            bucket.allowed_s = max(free_s - drained_s, minimum * BUCKET_S)

    def book(self, need: Need, now: float) -> Booking | None:
        """Reserve a slot from the earliest bucket in which it is free."""
        self._advance(now)
        lengths_s = _divide(need.slot_s)
        first = _find_index(need.earliest_at)
        last = _find_index(need.latest_at)
        last = min(last, self._first + START_BUCKETS - 1)
        while first <= last:
            blocked = self._find_blocked(need, first, lengths_s)
            if blocked is None:
                return self._reserve(need, first, lengths_s)
            first = blocked + 1
        return None

    def release(self, booking: Booking, now: float) -> None:
        """Free what a booking holds in the buckets that are still ahead."""
        self._advance(now)
        index = booking.first
        for length_s in booking.lengths_s:
            if index >= self._first:
                self._get(index).add(booking.workspace, -length_s)
            index += 1

    def _find_blocked(
        self, need: Need, first: int, lengths_s: list[float]
    ) -> int | None:
        """Return the last bucket of a run that has no room for it."""
        index = first + len(lengths_s)
        for length_s in reversed(lengths_s):
            index -= 1
            if not self._buckets[index % BUCKETS].fits(need, length_s):
                return index
        return None

    def _reserve(
        self, need: Need, first: int, lengths_s: list[float]
    ) -> Booking:
        for index, length_s in enumerate(lengths_s, first):
            self._get(index).add(need.workspace, length_s)
        self._offset = (self._offset + OFFSET_STEP) % 1.0
        starts_at = (first + self._offset) * BUCKET_S
        starts_at = min(max(starts_at, need.earliest_at), need.latest_at)
        return Booking(need.workspace, starts_at, first, lengths_s)

    def _advance(self, now: float) -> None:
        """Replace the buckets that have passed by new ones at the end."""
        present = _find_index(now)
        if present <= self._first:
            return
        self._first = present
        for index in self._list_indices():
            if self._get(index).index != index:
                self._buckets[index % BUCKETS] = Bucket(index)

    def _list_indices(self) -> range:
        return range(self._first, self._first + BUCKETS)

    def _get(self, index: int) -> Bucket:
        return self._buckets[index % BUCKETS]


def _find_index(at: float) -> int:
    return math.floor(at / BUCKET_S)


def _divide(slot_s: float) -> list[float]:
    """Return the seconds of a run in each bucket, up to the horizon."""
    count = max(1, math.ceil(slot_s / BUCKET_S - ROUNDING_S))
    count = min(count, BUCKETS - START_BUCKETS + 1)
    rest_s = min(BUCKET_S, slot_s - BUCKET_S * (count - 1))
    return [BUCKET_S] * (count - 1) + [rest_s]
