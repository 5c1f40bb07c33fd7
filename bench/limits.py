"""Compares three ways to keep a workspace's rate over a fleet.

`python -m bench.limits [JSON]` prints a table. Hosts are limiters on a plain
event heap with fixed delays; the network loses nothing.
"""

import heapq
import itertools
import json
import random
import sys

from radishstile.fleet.allotment import Claim, Inquiry
from radishstile.fleet.home import Home
from radishstile.workspace.limiter import Limiter
from radishstile.workspace.settings import AdmissionSettings

RESOURCE = "rate/bench"
HOSTS = 22
REGIONS = 3
RATE_PER_S = 1000.0
BURST = 100
NEAR_S = 0.0015
FAR_S = 0.055
LENGTH_S = 20.0
FAULT_AT_S = 8.0
TICK_S = 0.25
WINDOWS_S = (0.1, 1.0, 10.0)
SEED = 20


class Scenario:
    """A load in requests a second, where it goes, and one fault."""

    __slots__ = ("name", "load_per_s", "target", "fault")

    def __init__(self, name, load_per_s, target="even", fault=""):
        self.name = name
        self.load_per_s = load_per_s
        self.target = target
        self.fault = fault

    def choose_host(self, draw: random.Random, now: float) -> int:
        """Return the host that a request at `now` meets."""
        if self.target == "even":
            return draw.randrange(HOSTS)
        if self.target == "moves" and now > FAULT_AT_S:
            return 11
        return 7

    def draw_arrivals(self) -> list[tuple[float, int]]:
        """Return the times and hosts of all requests."""
        draw = random.Random(SEED)
        now = 0.0
        arrivals = []
        while now < LENGTH_S:
            now += draw.expovariate(self.load_per_s)
            arrivals.append((now, self.choose_host(draw, now)))
        return arrivals


SCENARIOS = (
    Scenario("even", 900),
    Scenario("one host", 900, "one"),
    Scenario("load moves", 900, "moves"),
    Scenario("holder dies", 900, fault="holder"),
    Scenario("home dies", 900, fault="home"),
    Scenario("home paused 20 s", 900, fault="pause"),
    Scenario("store outage, home dies", 900, fault="outage"),
    Scenario("region cut off", 900, fault="cut"),
    Scenario("overload 5x", 5000),
)


class Result:
    """What one scheme did in one scenario; waits in seconds."""

    __slots__ = ("spends", "waits", "refused", "messages", "requests", "lost")

    def __init__(self):
        self.spends: list[float] = []
        self.waits: list[float] = []
        self.refused = 0
        self.messages = 0
        self.requests = 0
        self.lost = 0


class Fleet:
    """Hosts of one scheme on an event heap."""

    def __init__(self, scheme: str, scenario: Scenario):
        self.scheme = scheme
        self.scenario = scenario
        self.result = Result()
        self.heap: list = []
        self.order = itertools.count()
        self.now = 0.0
        self.settings = AdmissionSettings()
        self.members = [(f"host{n}", 1) for n in range(HOSTS)]
        self.limiters = [
            Limiter(RESOURCE, member, self.settings, 0.0)
            for member in self.members
        ]
        self.queues: list[list] = [[] for _ in range(HOSTS)]
        self.next_claim = [0.0] * HOSTS
        self.is_claiming = [False] * HOSTS
        self.next_serve = [0.0] * HOSTS
        self.dead: set[int] = set()
        self.fault_on = False
        self.home_at = 0
        self.home = Home(RESOURCE, 1, RATE_PER_S, BURST, self.members, 0.0)
        if scheme == "static":
            self.divide_equally()

    def divide_equally(self) -> None:
        """Give each host a fixed part, at least one token of burst."""
        for limiter in self.limiters:
            limiter.holding.rate = RATE_PER_S / HOSTS
            limiter.holding.burst = BURST // HOSTS
            limiter.bucket.resize(RATE_PER_S / HOSTS, BURST // HOSTS, 0.0)

    def at(self, when: float, act, *parts) -> None:
        """Put an event on the heap."""
        heapq.heappush(self.heap, (when, next(self.order), act, parts))

    def run(self) -> Result:
        """Run the scenario to its end."""
        if self.scheme == "home":
            for limiter in self.limiters:
                limiter.settings.idle_return_s = 1e9
        if self.scheme != "static":
            self.send_all(self.home.list_inquiries())
            self.at(TICK_S, self.tick)
        for when, host in self.scenario.draw_arrivals():
            self.at(when + 1.0, self.arrive, host)
        if self.scenario.fault:
            self.at(FAULT_AT_S, self.start_fault)
        while self.heap:
            when, _, act, parts = heapq.heappop(self.heap)
            if when > LENGTH_S + 3:
                break
            self.now = when
            act(*parts)
        return self.result

    def start_fault(self) -> None:
        """Begin the scenario's fault."""
        kind = self.scenario.fault
        if kind == "holder":
            self.dead.add(5)
            self.at(self.now + 1.0, self.end_member, 5)
        elif kind == "home":
            self.dead.add(0)
            self.at(self.now + 1.0, self.replace_home)
        elif kind == "outage":
            self.dead.add(0)
        else:
            self.fault_on = True

    def end_member(self, host: int) -> None:
        """Tell the home of evidence of a host's end."""
        self.send_all(self.home.note_ended(self.members[host], self.now))

    def replace_home(self) -> None:
        """Let another host be home under the next epoch."""
        self.home_at = 1
        members = [m for n, m in enumerate(self.members) if n != 0]
        self.home = Home(RESOURCE, 2, RATE_PER_S, BURST, members, self.now)
        self.send_all(self.home.list_inquiries())

    def is_reachable(self, host: int) -> bool:
        """Return whether a host and the home can talk."""
        if self.home_at in self.dead or host in self.dead:
            return False
        if not self.fault_on:
            return True
        if self.scenario.fault == "pause":
            return False
        return host % REGIONS == self.home_at % REGIONS

    def delay(self, host: int) -> float:
        """Return the seconds from a host to the home."""
        if host == self.home_at:
            return 0.0
        is_near = host % REGIONS == self.home_at % REGIONS
        return NEAR_S if is_near else FAR_S

    def arrive(self, host: int) -> None:
        """Take one request in."""
        result = self.result
        if host in self.dead:
            result.lost += 1
            return
        if host == self.home_at and self.is_home_paused():
            result.lost += 1
            return
        result.requests += 1
        limiter = self.limiters[host]
        limiter.note_arrival(self.now)
        if limiter.is_vain(self.now):
            result.refused += 1
            return
        self.queues[host].append(self.now)
        limiter.note_waiting(1)
        self.at(self.now + self.settings.admit_wait_s, self.serve, host)
        self.serve(host)

    def is_home_paused(self) -> bool:
        """Return whether the home's process is paused."""
        return self.fault_on and self.scenario.fault == "pause"

    def serve(self, host: int) -> None:
        """Let the requests at a host go, in their order."""
        if host in self.dead:
            return
        queue, limiter = self.queues[host], self.limiters[host]
        while queue:
            if self.now - queue[0] >= self.settings.admit_wait_s - 1e-9:
                queue.pop(0)
                limiter.note_waiting(-1)
                self.result.refused += 1
                continue
            reservation = limiter.reserve(self.now)
            if reservation is None:
                break
            reservation.spend(self.now)
            self.result.spends.append(self.now)
            self.result.waits.append(self.now - queue.pop(0))
            limiter.note_waiting(-1)
        wait_s = limiter.time_to_token(self.now)
        due = self.now + max(0.001, wait_s)
        is_asleep = self.next_serve[host] <= self.now
        is_sooner = is_asleep or due < self.next_serve[host]
        if queue and is_sooner and wait_s < self.settings.admit_wait_s:
            self.next_serve[host] = due
            self.at(due, self.serve, host)
        self.claim(host)

    def claim(self, host: int) -> None:
        """Send a claim when one is due and none is on its way."""
        if self.scheme == "static" or self.is_claiming[host]:
            return
        claim = self.limiters[host].make_claim(self.now)
        if claim is None:
            due = self.limiters[host].claim_due_at(self.now)
            if due < self.next_claim[host] or self.next_claim[host] < self.now:
                self.next_claim[host] = due
                if due < LENGTH_S + 3:
                    self.at(max(due, self.now + 0.001), self.claim, host)
            return
        if self.scheme == "home":
            claim.demand = 0.0
        self.is_claiming[host] = True
        self.result.messages += 1
        self.at(self.now + self.delay(host), self.receive, host, claim)

    def receive(self, host: int, claim: Claim) -> None:
        """Let the home answer a claim."""
        back = self.now + self.delay(host)
        if not self.is_reachable(host):
            self.at(self.now + 0.5, self.answer, host, [])
            return
        mine = []
        for item in self.home.receive(claim, self.now):
            if item.holder == claim.holder:
                mine.append(item.message)
            else:
                self.send_all([item])
        self.result.messages += 1
        self.at(back, self.answer, host, mine)

    def answer(self, host: int, messages: list) -> None:
        """Take the answer to a claim in."""
        self.is_claiming[host] = False
        for message in messages:
            self.obey(host, message)
        self.serve(host)

    def send_all(self, dispatches: list) -> None:
        """Push messages of the home to their holders."""
        for item in dispatches:
            host = self.members.index(item.holder)
            if not self.is_reachable(host):
                continue
            self.result.messages += 1
            self.at(self.now + self.delay(host), self.push, host, item.message)

    def push(self, host: int, message) -> None:
        """Take a pushed message in."""
        if host not in self.dead:
            self.obey(host, message)
            self.serve(host)

    def obey(self, host: int, message) -> None:
        """Let a limiter obey its home."""
        if isinstance(message, Inquiry):
            self.limiters[host].adopt(message.epoch, self.now)
            return
        self.limiters[host].apply(message, self.now)

    def tick(self) -> None:
        """Let the home repeat what was lost."""
        if self.home_at not in self.dead and not self.is_home_paused():
            self.send_all(self.home.tick(self.now))
        self.at(self.now + TICK_S, self.tick)


def count_excess(spends: list[float], window_s: float) -> float:
    """Return the most requests in a window above its rate and burst."""
    limit = RATE_PER_S * window_s + BURST
    worst = first = 0
    for last, when in enumerate(spends):
        while spends[first] < when - window_s:
            first += 1
        worst = max(worst, last - first + 1 - limit)
    return worst


def count_ideal(scenario: Scenario) -> float:
    """Return the share that one ideal bucket with the same wait refuses."""
    free_at = 0.0
    refused = count = 0
    wait_s = AdmissionSettings().admit_wait_s
    for when, _ in scenario.draw_arrivals():
        count += 1
        earliest = max(free_at, when - BURST / RATE_PER_S)
        if earliest - when > wait_s:
            refused += 1
            continue
        free_at = earliest + 1 / RATE_PER_S
    return refused / count


def measure(scheme: str, scenario: Scenario) -> dict:
    """Return the figures of one cell of the table."""
    result = Fleet(scheme, scenario).run()
    waits = sorted(result.waits) or [0.0]
    refused = result.refused / max(1, result.requests)
    excess = max(count_excess(result.spends, w) for w in WINDOWS_S)
    return {
        "scheme": scheme,
        "scenario": scenario.name,
        "above": excess,
        "wrong_pct": max(0.0, refused - count_ideal(scenario)) * 100,
        "p50_ms": waits[len(waits) // 2] * 1000,
        "p99_ms": waits[len(waits) * 99 // 100] * 1000,
        "messages_per_request": result.messages / max(1, result.requests),
        "store_calls": 0,
    }


def main() -> None:
    """Print the table, and write JSON where a path is given."""
    rows = []
    for scenario in SCENARIOS:
        for scheme in ("static", "home", "demand"):
            row = measure(scheme, scenario)
            rows.append(row)
            print(
                f"{row['scenario']:24} {scheme:7} above {row['above']:5.0f}"
                f" wrong {row['wrong_pct']:7.3f}%"
                f" p50 {row['p50_ms']:6.1f} p99 {row['p99_ms']:7.1f} ms"
                f" msgs {row['messages_per_request']:.2f}",
                flush=True,
            )
    if len(sys.argv) > 1:
        with open(sys.argv[1], "w", encoding="utf-8") as file:
            json.dump(rows, file, indent=1)


if __name__ == "__main__":
    main()
