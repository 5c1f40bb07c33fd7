"""Runs one soak test: starts a fleet and callers, injects faults, checks."""

import asyncio

from soak.callers import Caller
from soak.evidence import Breach, IndexedRecord
from soak.faults import begin_fault, end_fault
from soak.fleet import Fleet
from soak.promises import check_all, count_statuses
from soak.record import FaultPeriod, SoakRecord
from soak.schedule import ScheduledFault, draw_schedule
from soak.settings import SoakSettings

# Time for the hosts to start before callers send requests, in seconds.
HOST_START_S = 2.5
# Time from the end of the last fault to the end of the test, in seconds. It
# covers the recovery time of the hosts and a period that shows that callers
# are served again.
AFTER_FAULTS_S = 8.0


class SoakResult:
    """Broken promises, number of requests by status, and faults of a seed.

    `store_reads_per_s` and `store_writes_per_s` are the most in one second.
    """

    __slots__ = (
        "seed",
        "breaches",
        "statuses",
        "fault_periods",
        "store_reads_per_s",
        "store_writes_per_s",
    )

    def __init__(
        self,
        seed: int,
        breaches: list[Breach],
        record: SoakRecord,
    ):
        self.seed = seed
        self.breaches = breaches
        self.statuses = count_statuses(record)
        self.fault_periods = record.fault_periods
        self.store_reads_per_s = record.store_reads_per_s
        self.store_writes_per_s = record.store_writes_per_s


async def run_soak(settings: SoakSettings) -> SoakResult:
    """Run the soak test of one seed."""
    fleet = Fleet(settings)
    async with asyncio.TaskGroup() as group:
        await fleet.start(group)
        await asyncio.sleep(HOST_START_S)
        callers = [
            group.create_task(caller.run()) for caller in make_callers(fleet)
        ]
        await asyncio.sleep(settings.calm_s)
        async with asyncio.TaskGroup() as faults:
            for scheduled in draw_schedule(fleet):
                faults.create_task(inject_fault(scheduled, fleet))
        await asyncio.sleep(AFTER_FAULTS_S)
        stopped_at = fleet.read_clock()
        for caller in callers:
            caller.cancel()
        await fleet.stop()
    record = fleet.record
    indexed = IndexedRecord(record, settings, stopped_at)
    return SoakResult(settings.seed, check_all(indexed), record)


def make_callers(fleet: Fleet) -> list[Caller]:
    """Return the callers, distributed evenly over the zones."""
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


async def inject_fault(scheduled: ScheduledFault, fleet: Fleet) -> None:
    """Start and end one fault, and record its period."""
    await asyncio.sleep(scheduled.delay_s)
    fault = scheduled.fault
    period = FaultPeriod(
        type(fault).__name__,
        fault.subject,
        fault.is_planned,
        fleet.read_clock(),
    )
    fleet.record.fault_periods.append(period)
    await begin_fault(fault, fleet)
    await asyncio.sleep(fault.duration_s)
    await end_fault(fault, fleet)
    period.end = fleet.read_clock()
