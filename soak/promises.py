"""Checks the promises against what callers and upstreams recorded."""

from collections import Counter
from collections.abc import Callable, Iterator

from soak.configuration import BURST, LIMITED_WORKSPACE, RATE_PER_S
from soak.evidence import Breach, IndexedRecord
from soak.record import SentRequest, SoakRecord
from soak.upstream import make_body
from soak.upstream_promises import (
    check_drains,
    check_evacuations,
    check_leaves,
    check_pauses,
)

OK = 200
# Statuses that guarantee that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Statuses of malformed or unauthorized requests.
DENIED_STATUSES = frozenset({400, 401, 403, 404})
# Excess that the platform allows, since several hosts count a rate.
QUOTA_WINDOW_S = 5.0
QUOTA_TOLERANCE_FACTOR = 1.1
QUOTA_SLACK_REQUESTS = 20
# Share of requests of unlimited workspaces that must succeed from `RECOVERY_S`
# seconds after the last fault. The requirement is a quarter of the throughput
# before the faults.
RECOVERED_SHARE = 0.25
RECOVERY_S = 4.0
# The reason that a host gives when its configuration is not confirmed.
NOT_CURRENT = b"not-current"
NOT_FOUND = 404
# Calls a second that the platform's store serves.
STORE_READS_PER_S = 2000
STORE_WRITES_PER_S = 400


def check_duplicate_runs(indexed: IndexedRecord) -> Iterator[Breach]:
    """Yield non-idempotent requests that ran more than once."""
    for request_id, runs in indexed.runs.items():
        request = indexed.requests.get(request_id)
        if request is not None and request.is_non_idempotent and len(runs) > 1:
            where = [run.upstream for run in runs]
            yield Breach("run twice", f"{request_id} at {where}")


def check_rejections(indexed: IndexedRecord) -> Iterator[Breach]:
    """Yield non-idempotent requests that ran although they were rejected."""
    for request in indexed.requests.values():
        is_rejected = request.status in NOT_RUN_STATUSES
        has_run = bool(indexed.runs.get(request.request_id))
        if request.is_non_idempotent and is_rejected and has_run:
            yield Breach(
                "rejected and run",
                f"{request.request_id}, status {request.status}",
            )


def check_answers(indexed: IndexedRecord) -> Iterator[Breach]:
    """Yield successful answers with a truncated or wrong body."""
    for request in indexed.requests.values():
        body = make_body(request.request_id, request.target)
        if request.status == OK and request.body != body:
            yield Breach("wrong answer", f"{request.request_id}")


def check_workspaces(indexed: IndexedRecord) -> Iterator[Breach]:
    """Yield runs of unknown requests, in a wrong workspace or with a key."""
    for run in indexed.record.runs:
        request = indexed.requests.get(run.request_id)
        if request is None or request.target != run.target:
            yield Breach("unknown request", f"{run.request_id} {run.target}")
            continue
        if run.workspace != indexed.record.key_workspaces[request.key]:
            yield Breach(
                "wrong workspace", f"{run.request_id} ran for {run.workspace}"
            )
        if run.authorization:
            yield Breach("key passed on", run.request_id)


def check_revocations(indexed: IndexedRecord) -> Iterator[Breach]:
    """Yield runs of requests sent too long after their key's revocation."""
    bound_s = indexed.settings.revoke_s
    for run in indexed.record.runs:
        request = indexed.requests.get(run.request_id)
        revoked_at = request and indexed.record.key_revocations.get(
            request.key
        )
        if revoked_at is not None and request.sent_at > revoked_at + bound_s:
            yield Breach(
                "revoked key",
                f"{run.request_id} at {request.host}, sent "
                f"{request.sent_at - revoked_at:.2f} s after",
            )


def check_lost_requests(indexed: IndexedRecord) -> Iterator[Breach]:
    """Yield requests that ran but got no answer, with no fault nearby."""
    for request in indexed.requests.values():
        is_lost = request.status == 0 and not request.is_timed_out
        # Requests in flight when the callers stopped don't count.
        if not is_lost or request.ended_at >= indexed.callers_stopped_at:
            continue
        if not indexed.runs.get(request.request_id):
            continue
        if not indexed.find_unplanned_faults(
            request.sent_at, request.ended_at
        ):
            yield Breach(
                "lost request",
                f"{request.request_id} at {request.host}, sent at "
                f"{request.sent_at:.2f}",
            )


def check_denied_requests(indexed: IndexedRecord) -> Iterator[Breach]:
    """Yield valid requests with a valid key that were denied."""
    for request in indexed.requests.values():
        has_valid_key = request.key not in indexed.record.key_revocations
        is_denied = has_valid_key and request.status in DENIED_STATUSES
        if is_denied and not _is_unknown_addition(indexed, request):
            yield Breach("denied", f"{request.request_id}: {request.status}")


def _is_unknown_addition(indexed: IndexedRecord, request: SentRequest) -> bool:
    """Return whether a host, perhaps out of touch, knew no added route."""
    is_added = _find_addition(indexed, request) is not None
    return is_added and request.status == NOT_FOUND


def check_additions(indexed: IndexedRecord) -> Iterator[Breach]:
    """Yield requests on added routes that hosts in touch don't know."""
    for request in indexed.requests.values():
        added_at = _find_addition(indexed, request)
        if added_at is None or request.status != NOT_FOUND:
            continue
        if not indexed.find_unplanned_faults(added_at, request.ended_at):
            yield Breach(
                "unknown route",
                f"{request.request_id} at {request.host}, sent "
                f"{request.sent_at - added_at:.2f} s after",
            )


def _find_addition(
    indexed: IndexedRecord, request: SentRequest
) -> float | None:
    """Return when the route of a request was added, if it was."""
    prefix = request.target[: request.target.rindex("/") + 1]
    return indexed.record.route_additions.get(prefix)


def check_confirmations(indexed: IndexedRecord) -> Iterator[Breach]:
    """Yield keys refused for lack of a confirmation, with no fault nearby."""
    for request in indexed.requests.values():
        if request.status == OK or NOT_CURRENT not in request.body:
            continue
        if not indexed.find_unplanned_faults(
            request.sent_at, request.ended_at
        ):
            yield Breach(
                "not confirmed",
                f"{request.request_id} at {request.host}, sent at "
                f"{request.sent_at:.2f}",
            )


def check_store_load(indexed: IndexedRecord) -> Iterator[Breach]:
    """Yield the largest load of the store if it is over its limits."""
    record = indexed.record
    if record.store_reads_per_s > STORE_READS_PER_S:
        yield Breach("store overloaded", f"{record.store_reads_per_s} reads")
    if record.store_writes_per_s > STORE_WRITES_PER_S:
        yield Breach("store overloaded", f"{record.store_writes_per_s} writes")


def check_rates(indexed: IndexedRecord) -> Iterator[Breach]:
    """Yield the first window in which a workspace exceeded its rate."""
    limit = RATE_PER_S * QUOTA_WINDOW_S + BURST
    limit = limit * QUOTA_TOLERANCE_FACTOR + QUOTA_SLACK_REQUESTS
    times = sorted(
        run.started_at
        for run in indexed.record.runs
        if run.workspace == LIMITED_WORKSPACE
    )
    first = 0
    for number, started_at in enumerate(times):
        while times[first] < started_at - QUOTA_WINDOW_S:
            first += 1
        count = number - first + 1
        if count > limit:
            yield Breach(
                "over its rate", f"{count} of {limit:.0f} at {started_at}"
            )
            return


def check_recovery(indexed: IndexedRecord) -> Iterator[Breach]:
    """Yield a breach if too few requests succeed after the last fault."""
    ends = [
        period.end
        for period in indexed.record.fault_periods
        if not period.is_planned
    ]
    recovered_at = max(ends, default=0.0) + RECOVERY_S
    eligible = [
        request
        for request in indexed.requests.values()
        if request.sent_at > recovered_at and _is_unlimited(indexed, request)
    ]
    served = sum(request.status == OK for request in eligible)
    if not eligible or served < RECOVERED_SHARE * len(eligible):
        yield Breach("not recovered", f"{served} of {len(eligible)} served")


def _is_unlimited(indexed: IndexedRecord, request: SentRequest) -> bool:
    record = indexed.record
    if request.key in record.key_revocations:
        return False
    return record.key_workspaces[request.key] != LIMITED_WORKSPACE


CHECKS: tuple[Callable[[IndexedRecord], Iterator[Breach]], ...] = (
    check_duplicate_runs,
    check_rejections,
    check_answers,
    check_workspaces,
    check_revocations,
    check_drains,
    check_evacuations,
    check_lost_requests,
    check_denied_requests,
    check_additions,
    check_confirmations,
    check_leaves,
    check_pauses,
    check_rates,
    check_store_load,
    check_recovery,
)


def check_all(indexed: IndexedRecord) -> list[Breach]:
    """Return the broken promises that all checks find."""
    return [breach for check in CHECKS for breach in check(indexed)]


def count_statuses(record: SoakRecord) -> Counter:
    """Return the number of requests by status."""
    return Counter(request.status for request in record.requests)
