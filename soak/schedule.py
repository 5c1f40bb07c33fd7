"""Draws the faults of a run from its seed."""

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
    StoreCut,
    StoreTroubled,
    UpstreamCrashed,
    UpstreamLeaves,
    UpstreamSlowed,
)
from soak.fleet import Fleet
from soak.proxy import Harm
from standin.objects import Trouble

ALL = "all"
STORE = "store"
# Shortest and longest time that a fault lasts, in seconds.
SHORTEST_S = 0.5
LONGEST_S = 5.0
# Share of faults that come in a series: the same again, somewhere else.
SERIES_SHARE = 0.3
SERIES_GAP_S = 0.8


class Planned:
    """A fault and when it begins, in seconds from the first."""

    __slots__ = ("at", "fault")

    def __init__(self, at: float, fault: Fault):
        self.at = at
        self.fault = fault


def draw_schedule(fleet: Fleet) -> list[Planned]:
    """Return the faults of a run, ordered by time."""
    settings = fleet.settings
    draw = random.Random(f"schedule {settings.seed}")
    planned: list[Planned] = []
    while len(planned) < settings.faults:
        at = draw.uniform(0, settings.fault_s)
        make = draw.choice(_MAKERS)
        planned.append(Planned(at, make(fleet, draw)))
        if draw.random() < SERIES_SHARE:
            again = at + draw.uniform(0, SERIES_GAP_S)
            planned.append(Planned(again, make(fleet, draw)))
    return sorted(planned, key=lambda each: each.at)


def _draw_time(draw: random.Random) -> float:
    return draw.uniform(SHORTEST_S, LONGEST_S)


def _make_for_host(kind, fleet: Fleet, draw: random.Random) -> Fault:
    return kind(draw.choice(fleet.hosts).name, _draw_time(draw))


def _make_for_upstream(kind, fleet: Fleet, draw: random.Random) -> Fault:
    return kind(draw.choice(sorted(fleet.upstreams)), _draw_time(draw))


def _make_for(kind, subject: str, fleet: Fleet, draw) -> Fault:
    return kind(subject, _draw_time(draw))


def _make_store_cut(fleet: Fleet, draw: random.Random) -> Fault:
    harm = draw.choice([h for h in Harm if h is not Harm.NONE])
    return StoreCut(draw.choice(fleet.hosts).name, _draw_time(draw), harm)


def _make_store_trouble(fleet: Fleet, draw: random.Random) -> Fault:
    trouble = draw.choice([t for t in Trouble if t is not Trouble.NONE])
    return StoreTroubled(STORE, _draw_time(draw), trouble)


def _make_link_harm(fleet: Fleet, draw: random.Random) -> Fault:
    harm = draw.choice([h for h in Harm if h is not Harm.NONE])
    name = draw.choice(sorted(fleet.upstreams))
    return LinkHarmed(name, _draw_time(draw), harm)


_MAKERS = (
    partial(_make_for_host, HostKilled),
    partial(_make_for_host, HostPaused),
    partial(_make_for_host, HostStopped),
    partial(_make_for_host, HostReloaded),
    partial(_make_for, AllKilled, ALL),
    partial(_make_for, HistoryForgotten, STORE),
    partial(_make_for, KeyWithdrawn, "key"),
    partial(_make_for, ConfigurationChanged, "configuration"),
    partial(_make_for_upstream, UpstreamCrashed),
    partial(_make_for_upstream, UpstreamSlowed),
    partial(_make_for_upstream, UpstreamLeaves),
    _make_store_cut,
    _make_store_trouble,
    _make_link_harm,
)
