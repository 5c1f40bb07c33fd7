"""Checks the promises on upstreams that must get no more requests."""

from collections import defaultdict
from collections.abc import Iterator

from soak.evidence import Breach, IndexedRecord
from soak.record import Arrival

# Tolerance for scheduling delays between processes, in seconds.
CLOCK_SLACK_S = 0.2
# Requests that a host may send to an upstream that asked it for a pause, and
# the time after that in which they don't count, in seconds.
PAUSE_ARRIVALS = 2
PAUSE_SLACK_S = 0.5
# Faults after which a host does not know what it has been told.
_FORGETTING_FAULTS = frozenset(
    {"AllKilled", "HostKilled", "HostPaused", "HostStopped"}
)


def check_drains(indexed: IndexedRecord) -> Iterator[Breach]:
    """Yield runs that started too late on a draining upstream."""
    bound_s = indexed.settings.drain_s + CLOCK_SLACK_S
    for run in indexed.record.runs:
        request = indexed.requests.get(run.request_id)
        drained_at = indexed.record.upstream_drains.get(run.upstream)
        if (
            request is None
            or drained_at is None
            or run.started_at <= drained_at + bound_s
        ):
            continue
        if not indexed.find_unplanned_faults(drained_at, run.started_at):
            yield Breach(
                "draining upstream",
                f"{run.request_id} at {request.host}, "
                f"{run.started_at - drained_at:.2f} s after "
                f"{run.upstream} began to drain",
            )


def check_evacuations(indexed: IndexedRecord) -> Iterator[Breach]:
    """Yield runs that started too late in an evacuated zone."""
    bound_s = indexed.settings.evacuate_s + CLOCK_SLACK_S
    for evacuation in indexed.record.evacuations:
        for run in indexed.record.runs:
            is_late = evacuation.begin + bound_s < run.started_at
            if not is_late or run.started_at >= evacuation.end:
                continue
            if run.zone != evacuation.zone or indexed.find_unplanned_faults(
                evacuation.begin, run.started_at
            ):
                continue
            yield Breach(
                "evacuated zone",
                f"{run.request_id} at {run.upstream}, "
                f"{run.started_at - evacuation.begin:.2f} s after",
            )


def check_leaves(indexed: IndexedRecord) -> Iterator[Breach]:
    """Yield runs on an upstream whose answer had told its host that it leaves.

    Also if the host is out of touch; a restart or a pause of it excuses them.
    """
    told_at: dict[tuple[str, str], float] = {}
    for request in indexed.requests.values():
        runs = indexed.runs.get(request.request_id)
        if not runs or not request.names_leaving:
            continue
        key = request.host, runs[-1].upstream
        told_at[key] = min(
            told_at.get(key, request.ended_at), request.ended_at
        )
    for run in indexed.record.runs:
        request = indexed.requests.get(run.request_id)
        if request is None:
            continue
        since = told_at.get((request.host, run.upstream))
        if (
            since is None
            or request.sent_at <= since + indexed.settings.drain_s
        ):
            continue
        if not _has_forgotten(indexed, since, run.started_at):
            yield Breach(
                "leaving upstream",
                f"{run.request_id} at {request.host}, sent "
                f"{request.sent_at - since:.2f} s after {run.upstream} had "
                "named it",
            )


def check_pauses(indexed: IndexedRecord) -> Iterator[Breach]:
    """Yield pauses in which a host sent more than a few requests all the same.

    A restart, a pause or a cut of the host excuses them.
    """
    arrivals: dict[tuple[str, str], list[Arrival]] = defaultdict(list)
    for arrival in indexed.record.arrivals:
        request = indexed.requests.get(arrival.request_id)
        if request is not None:
            arrivals[request.host, arrival.upstream].append(arrival)
    for (host, upstream), sent in arrivals.items():
        for refused in [a for a in sent if a.pause_s]:
            end = refused.at + refused.pause_s
            late = [a for a in sent if refused.at + PAUSE_SLACK_S < a.at < end]
            if len(late) <= PAUSE_ARRIVALS:
                continue
            if not _has_forgotten(indexed, refused.at, end):
                yield Breach(
                    "paused upstream",
                    f"{len(late)} from {host} to {upstream} after "
                    f"{refused.at:.2f}",
                )


def _has_forgotten(indexed: IndexedRecord, begin: float, end: float) -> bool:
    """Return whether a host may have been restarted or paused."""
    return any(
        period.kind in _FORGETTING_FAULTS
        and period.begin <= end
        and period.end >= begin
        for period in indexed.record.fault_periods
    )
