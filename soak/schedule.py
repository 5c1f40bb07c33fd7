"""Draws a random schedule of faults from the seed."""

import random
from functools import partial

from soak.faults import (
    AllKilled,
    ConfigurationChanged,
    Fault,
    HistoryForgotten,
    HostKilled,
    HostPaused,
    HostReloaded,
    HostStopped,
    KeyWithdrawn,
    LinkHarmed,
    RouteAdded,
    StoreCut,
    StoreRestored,
    StoreTroubled,
    UpstreamCrashed,
    UpstreamLeaves,
    UpstreamPaused,
    UpstreamSlowed,
    UpstreamWithdrawn,
    ZoneEvacuated,
)
from soak.fleet import Fleet
from soak.proxy import ConnectionFault
from standin.object_store import FailureMode

ALL_HOSTS = "all"
STORE = "store"
# Range of the duration of a fault, in seconds.
MIN_FAULT_S = 0.5
MAX_FAULT_S = 5.0
# The same of the absence of a store that is then restored, and the range of
# its backup's age.
MAX_RESTORE_S = 1.5
MIN_BACKUP_AGE_S = 0.5
MAX_BACKUP_AGE_S = 5.0
# Share of faults that are followed by another one of the same kind.
REPEAT_SHARE = 0.3
MAX_REPEAT_DELAY_S = 0.8


class ScheduledFault:
    """A fault and its delay after the start of the fault phase."""

    __slots__ = ("delay_s", "fault")

    def __init__(self, delay_s: float, fault: Fault):
        self.delay_s = delay_s
        self.fault = fault


def draw_schedule(fleet: Fleet) -> list[ScheduledFault]:
    """Return the faults of a soak test, ordered by time."""
    settings = fleet.settings
    rng = random.Random(f"schedule {settings.seed}")
    scheduled: list[ScheduledFault] = []
    while len(scheduled) < settings.faults:
        delay_s = rng.uniform(0, settings.fault_s)
        make_fault = rng.choice(_FAULT_FACTORIES)
        scheduled.append(ScheduledFault(delay_s, make_fault(fleet, rng)))
        if rng.random() < REPEAT_SHARE:
            repeat_delay_s = delay_s + rng.uniform(0, MAX_REPEAT_DELAY_S)
            scheduled.append(
                ScheduledFault(repeat_delay_s, make_fault(fleet, rng))
            )
    return sorted(scheduled, key=lambda each: each.delay_s)


def _draw_duration_s(rng: random.Random) -> float:
    return rng.uniform(MIN_FAULT_S, MAX_FAULT_S)


def _make_for_host(kind, fleet: Fleet, rng: random.Random) -> Fault:
    return kind(rng.choice(fleet.hosts).name, _draw_duration_s(rng))


def _make_for_upstream(kind, fleet: Fleet, rng: random.Random) -> Fault:
    return kind(rng.choice(sorted(fleet.upstreams)), _draw_duration_s(rng))


def _make_evacuation(fleet: Fleet, rng: random.Random) -> Fault:
    """Evacuate a zone that shares its region with another one."""
    zones = [name for name in sorted(fleet.settings.zones) if "akl" in name]
    return ZoneEvacuated(rng.choice(zones), MAX_FAULT_S)


def _make_fixed(kind, subject: str, fleet: Fleet, rng) -> Fault:
    return kind(subject, _draw_duration_s(rng))


def _make_store_connection_fault(fleet: Fleet, rng: random.Random) -> Fault:
    connection_fault = rng.choice(
        [h for h in ConnectionFault if h is not ConnectionFault.NONE]
    )
    return StoreCut(
        rng.choice(fleet.hosts).name, _draw_duration_s(rng), connection_fault
    )


def _make_store_failure(fleet: Fleet, rng: random.Random) -> Fault:
    failure_mode = rng.choice(
        [t for t in FailureMode if t is not FailureMode.NONE]
    )
    return StoreTroubled(STORE, _draw_duration_s(rng), failure_mode)


def _make_restored_store(fleet: Fleet, rng: random.Random) -> Fault:
    return StoreRestored(
        STORE,
        rng.uniform(MIN_FAULT_S, MAX_RESTORE_S),
        rng.uniform(MIN_BACKUP_AGE_S, MAX_BACKUP_AGE_S),
    )


def _make_upstream_link_fault(fleet: Fleet, rng: random.Random) -> Fault:
    connection_fault = rng.choice(
        [h for h in ConnectionFault if h is not ConnectionFault.NONE]
    )
    name = rng.choice(sorted(fleet.upstreams))
    return LinkHarmed(name, _draw_duration_s(rng), connection_fault)


_FAULT_FACTORIES = (
    partial(_make_for_host, HostKilled),
    partial(_make_for_host, HostPaused),
    partial(_make_for_host, HostStopped),
    partial(_make_for_host, HostReloaded),
    partial(_make_fixed, AllKilled, ALL_HOSTS),
    partial(_make_fixed, HistoryForgotten, STORE),
    partial(_make_fixed, KeyWithdrawn, "key"),
    partial(_make_fixed, ConfigurationChanged, "configuration"),
    partial(_make_for_upstream, UpstreamCrashed),
    partial(_make_for_upstream, UpstreamSlowed),
    partial(_make_for_upstream, UpstreamLeaves),
    partial(_make_for_upstream, UpstreamWithdrawn),
    partial(_make_for_upstream, UpstreamPaused),
    partial(_make_fixed, RouteAdded, "configuration"),
    _make_restored_store,
    _make_evacuation,
    _make_store_connection_fault,
    _make_store_failure,
    _make_upstream_link_fault,
)
