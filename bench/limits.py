"""Compares three ways to keep a workspace's rate over a fleet.

Usage: python -m bench.limits [PATH], where PATH takes the results as JSON.
`above` is the most requests sent above the limit in any window; `wrong` is
the part refused that one ideal bucket with the same wait admits; `used` is
the part of the rate that is sent after the first second.
"""

import json
import sys

from bench.limits_model import (
    EVIDENCE_S,
    HOLDER,
    HOME,
    NEXT_HOME,
    SEED,
    SETTINGS,
    START_S,
    Request,
    Result,
    Scenario,
    World,
)
from bench.limits_schemes import SCHEMES

WINDOWS_S = (0.1, 1.0, 10.0)
SETTLE_S = 1.0
SLACK = 1e-6
# The home goes away once the shares are steady, and for long.
AWAY = {"fault_at_s": 10.0, "fault_end_s": 20.0, "length_s": 22.0}
SMALL = {"load_per_s": 18.0, "rate_per_s": 20.0, "burst": 5, "length_s": 100.0}
SCENARIOS = (
    Scenario("even"),
    Scenario("one host", target="one"),
    Scenario("load moves", target="moves"),
    Scenario("holder dies", fault="holder"),
    Scenario("home dies", fault="home"),
    Scenario("home paused, woken", fault="pause", **AWAY),
    Scenario("store out, home dead", fault="outage", **AWAY),
    Scenario("region cut off, back", fault="cut", **AWAY),
    Scenario("burst 5, even", burst=5),
    Scenario("burst 5, 20 a second", **SMALL),
    Scenario("overload 5x", load_per_s=5000, length_s=5),
)


class Trial:
    """One scheme under one scenario."""

    __slots__ = ("world", "scheme")

    def __init__(self, make_scheme, scenario: Scenario, seed: int):
        self.world = World(scenario)
        self.scheme = make_scheme(self.world)
        for when, host in scenario.draw_arrivals(seed):
            self.world.at(when, self.arrive, host)
        if scenario.fault:
            self.world.at(scenario.fault_at_s, self.start_fault)

    def run(self) -> Result:
        """Run the scenario to its end."""
        self.world.run()
        return self.world.result

    def arrive(self, host: int) -> None:
        """Bring one request to a host, which may be away."""
        world = self.world
        if not world.is_serving(host):
            return
        world.result.requests += 1
        request = Request(host, world.now)
        end = world.now + SETTINGS.admit_wait_s
        world.at(end, world.refuse, request)
        self.scheme.arrive(request)

    def start_fault(self) -> None:
        """Begin the scenario's fault."""
        world = self.world
        kind = world.scenario.fault
        evident_at = world.now + EVIDENCE_S
        if kind == "holder":
            world.dead.add(HOLDER)
            world.at(evident_at, self.scheme.end_holder, HOLDER)
        elif kind == "home":
            world.dead.add(HOME)
            world.at(evident_at, self.replace_home)
        elif kind == "outage":
            world.dead.add(HOME)
        else:
            world.fault_on = True
            world.at(world.scenario.fault_end_s, world.wake)

    def replace_home(self) -> None:
        """Let the next host be home."""
        self.world.home_at = NEXT_HOME
        self.scheme.replace_home()


def count_excess(
    spends: list[float], window_s: float, scenario: Scenario
) -> float:
    """Return the most requests in a window above its rate and burst."""
    limit = scenario.rate_per_s * window_s + scenario.burst
    worst = first = 0
    for last, when in enumerate(spends):
        while spends[first] < when - window_s:
            first += 1
        excess = last - first + 1 - limit
        worst = max(worst, excess if excess > SLACK else 0)
    return worst


def count_ideal(scenario: Scenario, seed: int) -> float:
    """Return the part that one ideal bucket with the same wait refuses."""
    free_at = 0.0
    refused = count = 0
    for when, _ in scenario.draw_arrivals(seed):
        count += 1
        earliest = max(free_at, when - scenario.burst / scenario.rate_per_s)
        if earliest - when > SETTINGS.admit_wait_s:
            refused += 1
            continue
        free_at = earliest + 1 / scenario.rate_per_s
    return refused / count


def measure(make_scheme, scenario: Scenario, seed: int = SEED) -> dict:
    """Return the figures of one cell of the table."""
    result = Trial(make_scheme, scenario, seed).run()
    waits = sorted(result.waits) or [0.0]
    refused = result.refused / max(1, result.requests)
    excesses = [
        count_excess(result.spends, window_s, scenario)
        for window_s in WINDOWS_S
    ]
    loaded_s = scenario.length_s - SETTLE_S
    began = START_S + SETTLE_S
    sent = sum(began <= at < began + loaded_s for at in result.spends)
    wrong = max(0.0, refused - count_ideal(scenario, seed))
    return {
        "scenario": scenario.name,
        "scheme": make_scheme.name,
        "requests": result.requests,
        "above": max(excesses),
        "wrong_pct": wrong * 100,
        "used_pct": sent / loaded_s / scenario.rate_per_s * 100,
        "p50_ms": waits[len(waits) // 2] * 1000,
        "p99_ms": waits[len(waits) * 99 // 100] * 1000,
        "messages": result.messages / max(1, result.requests),
    }


def print_row(row: dict) -> None:
    """Print one cell."""
    print(
        f"{row['scenario']:21} {row['scheme']:7} above {row['above']:4.0f}"
        f"  wrong {row['wrong_pct']:7.3f}%"
        f"  used {row['used_pct']:5.1f}%  p50 {row['p50_ms']:6.1f}"
        f"  p99 {row['p99_ms']:6.1f} ms  messages {row['messages']:.2f}",
        flush=True,
    )


def main(arguments: list[str]) -> int:
    """Print each cell, and write all of them to the path given."""
    rows = []
    for scenario in SCENARIOS:
        for make_scheme in SCHEMES:
            rows.append(measure(make_scheme, scenario))
            print_row(rows[-1])
    if arguments:
        with open(arguments[0], "w", encoding="utf-8") as file:
            json.dump(rows, file, indent=1)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
