"""One run: start a fleet, let callers call, inject faults, check."""

import asyncio
from collections import Counter

from soak.callers import Caller
from soak.faults import begin, end
from soak.fleet import Fleet
from soak.promises import Breach, Evidence, check_all, count_statuses
from soak.record import Span
from soak.schedule import Planned, draw_schedule
from soak.settings import SoakSettings

# Time in which the hosts start before callers come, in seconds.
START_S = 2.5
# Time between the last fault's end and that of the run, in seconds: within
# it hosts recover, and the rest shows that they have.
LAST_S = 8.0


class Result:
    """What a run showed: broken promises, answers by status, and faults."""

    __slots__ = ("seed", "breaches", "statuses", "spans")

    def __init__(
        self,
        seed: int,
        breaches: list[Breach],
        statuses: Counter,
        spans: list[Span],
    ):
        self.seed = seed
        self.breaches = breaches
        self.statuses = statuses
        self.spans = spans


async def run_soak(settings: SoakSettings) -> Result:
    """Run one seed, and return what it showed."""
    fleet = Fleet(settings)
    async with asyncio.TaskGroup() as group:
        await fleet.start(group)
        await asyncio.sleep(START_S)
        callers = [
            group.create_task(caller.run()) for caller in make_callers(fleet)
        ]
        await asyncio.sleep(settings.calm_s)
        async with asyncio.TaskGroup() as faults:
            for planned in draw_schedule(fleet):
                faults.create_task(inject(planned, fleet))
        await asyncio.sleep(LAST_S)
        ended_at = fleet.read_clock()
        for caller in callers:
            caller.cancel()
        await fleet.stop()
    record = fleet.record
    evidence = Evidence(record, settings, ended_at)
    return Result(
        settings.seed,
        check_all(evidence),
        count_statuses(record),
        record.spans,
    )


def make_callers(fleet: Fleet) -> list[Caller]:
    """Return the callers, spread over the zones."""
    zones = list(fleet.settings.zones)
    return [
        Caller(
            f"c{number}",
            zones[number % len(zones)],
            fleet,
            fleet.settings.seed,
        )
        for number in range(fleet.settings.callers)
    ]


async def inject(planned: Planned, fleet: Fleet) -> None:
    """Let one fault come and go, and note when it was there."""
    await asyncio.sleep(planned.at)
    fault = planned.fault
    span = Span(
        type(fault).__name__,
        fault.subject,
        fault.is_planned,
        fleet.read_clock(),
    )
    fleet.record.spans.append(span)
    await begin(fault, fleet)
    await asyncio.sleep(fault.for_s)
    await end(fault, fleet)
    span.end = fleet.read_clock()
