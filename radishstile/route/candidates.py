"""Orders the candidate zones of a request."""

import random
from enum import IntEnum

from radishstile.route.settings import ChoiceSettings


class FreeCapacity(IntEnum):
    """Free capacity of a candidate as far as known, the best first."""

    FREE = 0
    QUEUING = 1
    UNKNOWN = 2
    FULL = 3


class ZoneHint:
    """Load that the owner of a zone's slots reported at `received_at`.

    `wait_s` is the expected wait of a new request, in seconds.
    """

    __slots__ = ("slots", "free", "wait_s", "received_at")

    def __init__(
        self, slots: int, free: int, wait_s: float, received_at: float
    ):
        self.slots = slots
        self.free = free
        self.wait_s = wait_s
        self.received_at = received_at


class Candidate:
    """A zone with upstreams of the group, as seen from one entry host.

    `delay_s` is the network delay to it, in seconds, and `headroom` the
    unused fraction of the link to its region, from 0 to 1 (1 in the local
    region).
    """

    __slots__ = ("region", "zone", "delay_s", "headroom", "hint")

    def __init__(
        self,
        region: str,
        zone: str,
        delay_s: float,
        headroom: float = 1.0,
        hint: ZoneHint | None = None,
    ):
        self.region = region
        self.zone = zone
        self.delay_s = delay_s
        self.headroom = headroom
        self.hint = hint


class Location:
    """The region and zone of the host that orders candidates."""

    __slots__ = ("region", "zone")

    def __init__(self, region: str, zone: str):
        self.region = region
        self.zone = zone


def order_candidates(
    settings: ChoiceSettings,
    location: Location,
    candidates: list[Candidate],
    now: float,
    rng: random.Random,
    moved_region: str | None = None,
) -> list[Candidate]:
    """Return the usable candidates in the order of attempts.

    The region that a planned move names comes first, then the local zone, the
    local region, and others by link delay. Candidates that are full, or whose
    link has no headroom, are omitted. Candidates at the same distance are
    ordered by the power of two random choices, so that hosts with the same
    hints don't all choose the same zone.
    """
    ordered: list[Candidate] = []
    tiers: dict[tuple, list[Candidate]] = {}
    for candidate in candidates:
        if not _is_usable(settings, location, candidate, now):
            continue
        key = _get_tier(settings, location, candidate, now, moved_region)
        tiers.setdefault(key, []).append(candidate)
    for key in sorted(tiers):
        ordered += _order_by_two_choices(settings, tiers[key], now, rng)
    return ordered


def classify_capacity(
    settings: ChoiceSettings, hint: ZoneHint | None, now: float
) -> FreeCapacity:
    """Return the free capacity that a hint shows; an old one is ignored."""
    if hint is None or now - hint.received_at > settings.hint_max_age_s:
        return FreeCapacity.UNKNOWN
    if hint.free > 0:
        return FreeCapacity.FREE
    if hint.slots == 0 or hint.wait_s > settings.wait_max_s:
        return FreeCapacity.FULL
    return FreeCapacity.QUEUING


def _is_usable(
    settings: ChoiceSettings,
    location: Location,
    candidate: Candidate,
    now: float,
) -> bool:
    if classify_capacity(settings, candidate.hint, now) == FreeCapacity.FULL:
        return False
    if candidate.region == location.region:
        return True
    return candidate.headroom >= settings.headroom_min


def _get_tier(
    settings: ChoiceSettings,
    location: Location,
    candidate: Candidate,
    now: float,
    moved_region: str | None,
) -> tuple:
    target_region = moved_region or location.region
    is_remote = candidate.region != target_region
    is_other_zone = candidate.zone != location.zone
    # A zone with free slots comes before a nearer one with a queue.
    capacity = classify_capacity(settings, candidate.hint, now)
    if is_remote:
        is_queuing = capacity == FreeCapacity.QUEUING
        return is_remote, is_queuing, is_other_zone, candidate.delay_s
    return is_remote, capacity, is_other_zone, candidate.delay_s


def _order_by_two_choices(
    settings: ChoiceSettings,
    candidates: list[Candidate],
    now: float,
    rng: random.Random,
) -> list[Candidate]:
    remaining = sorted(candidates, key=lambda candidate: candidate.zone)
    ordered = []
    while remaining:
        pair = rng.sample(remaining, min(2, len(remaining)))
        better = min(pair, key=lambda each: _get_load_key(settings, each, now))
        ordered.append(better)
        remaining.remove(better)
    return ordered


def _get_load_key(
    settings: ChoiceSettings, candidate: Candidate, now: float
) -> tuple:
    capacity = classify_capacity(settings, candidate.hint, now)
    if capacity in (FreeCapacity.UNKNOWN, FreeCapacity.FULL):
        return capacity, 0.0, -candidate.headroom
    hint = candidate.hint
    busy_share = 1 - hint.free / max(1, hint.slots)
    return capacity, hint.wait_s + busy_share, -candidate.headroom
