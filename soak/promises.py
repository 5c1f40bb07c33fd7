"""Checks the promises by what callers and upstreams saw."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

from soak.configuration import BURST, LIMITED, RATE_PER_S
from soak.record import Attempt, Record, Run, Span
from soak.settings import SoakSettings
from soak.upstream import make_body

OK = 200
# Answers that promise that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Answers that say that the request is not allowed.
DENIED_STATUSES = frozenset({400, 401, 403, 404})
# The platform's allowance for rates that are counted at several places.
QUOTA_WINDOW_S = 5.0
QUOTA_OVER = 1.1
QUOTA_SLACK = 20
# Share of requests without a limit that must be served once all faults have
# ended and the hosts had `RECOVER_S` seconds to recover. The users ask for a
# quarter of what was served before.
RECOVERED_SHARE = 0.25
RECOVER_S = 4.0
# For clocks of several processes on one busy machine, in seconds.
SLACK_S = 0.2


class Breach:
    """A broken promise and what shows it."""

    __slots__ = ("promise", "detail")

    def __init__(self, promise: str, detail: str):
        self.promise = promise
        self.detail = detail

    def __str__(self) -> str:
        return f"{self.promise}: {self.detail}"


class Evidence:
    """The record of a run, indexed for the checks."""

    __slots__ = ("record", "settings", "attempts", "runs", "ended_at")

    def __init__(self, record: Record, settings: SoakSettings, ended_at):
        self.record = record
        self.settings = settings
        self.attempts = {each.request_id: each for each in record.attempts}
        self.runs: dict[str, list[Run]] = defaultdict(list)
        for run in record.runs:
            self.runs[run.request_id].append(run)
        # When the callers stopped, on the soak's clock.
        self.ended_at: float = ended_at

    def find_faults(self, begin: float, end: float) -> list[Span]:
        """Return the unplanned faults from `begin` to `end`, and near."""
        early = begin - self.settings.contact_s
        return [
            span
            for span in self.record.spans
            if not span.is_planned and span.begin <= end and span.end >= early
        ]


def check_order_runs(evidence: Evidence) -> Iterator[Breach]:
    """Yield orders that ran more than once."""
    for request_id, runs in evidence.runs.items():
        attempt = evidence.attempts.get(request_id)
        if attempt is not None and attempt.is_order and len(runs) > 1:
            where = [run.upstream for run in runs]
            yield Breach("run twice", f"{request_id} at {where}")


def check_refusals(evidence: Evidence) -> Iterator[Breach]:
    """Yield orders that were refused and have run."""
    for attempt in evidence.attempts.values():
        is_refused = attempt.status in NOT_RUN_STATUSES
        has_run = bool(evidence.runs.get(attempt.request_id))
        if attempt.is_order and is_refused and has_run:
            yield Breach(
                "refused and run",
                f"{attempt.request_id}, status {attempt.status}",
            )


def check_answers(evidence: Evidence) -> Iterator[Breach]:
    """Yield good answers that are not whole or another request's."""
    for attempt in evidence.attempts.values():
        body = make_body(attempt.request_id, attempt.target)
        if attempt.status == OK and attempt.body != body:
            yield Breach("wrong answer", f"{attempt.request_id}")


def check_workspaces(evidence: Evidence) -> Iterator[Breach]:
    """Yield runs for another workspace, or with the key passed on."""
    for run in evidence.record.runs:
        attempt = evidence.attempts.get(run.request_id)
        if attempt is None or attempt.target != run.target:
            yield Breach("nobody asked", f"{run.request_id} {run.target}")
            continue
        if run.workspace != evidence.record.keys[attempt.key]:
            yield Breach(
                "wrong workspace", f"{run.request_id} ran for {run.workspace}"
            )
        if run.authorization:
            yield Breach("key passed on", run.request_id)


def check_withdrawals(evidence: Evidence) -> Iterator[Breach]:
    """Yield runs with a key that was withdrawn, on whichever host."""
    bound_s = evidence.settings.revoke_s
    for run in evidence.record.runs:
        attempt = evidence.attempts.get(run.request_id)
        at = attempt and evidence.record.withdrawn.get(attempt.key)
        if at is not None and attempt.sent_at > at + bound_s:
            yield Breach(
                "withdrawn key",
                f"{run.request_id} at {attempt.host}, sent "
                f"{attempt.sent_at - at:.2f} s after",
            )


def check_drains(evidence: Evidence) -> Iterator[Breach]:
    """Yield runs on upstreams that said in time that they leave."""
    bound_s = evidence.settings.drain_s + SLACK_S
    for run in evidence.record.runs:
        attempt = evidence.attempts.get(run.request_id)
        at = evidence.record.drained.get(run.upstream)
        if attempt is None or at is None or run.at <= at + bound_s:
            continue
        if not evidence.find_faults(at, run.at):
            yield Breach(
                "leaving upstream",
                f"{run.request_id} at {attempt.host}, {run.at - at:.2f} s "
                f"after {run.upstream} said so",
            )


def check_losses(evidence: Evidence) -> Iterator[Breach]:
    """Yield requests that were cut where nothing but planned work was near."""
    for attempt in evidence.attempts.values():
        is_cut = attempt.status == 0 and not attempt.is_late
        # Those that still waited were cut by the end of the run.
        if not is_cut or attempt.ended_at >= evidence.ended_at:
            continue
        if not evidence.runs.get(attempt.request_id):
            continue
        if not evidence.find_faults(attempt.sent_at, attempt.ended_at):
            yield Breach(
                "cut off",
                f"{attempt.request_id} at {attempt.host}, sent at "
                f"{attempt.sent_at:.2f}",
            )


def check_denials(evidence: Evidence) -> Iterator[Breach]:
    """Yield proper requests with a good key that were denied."""
    for attempt in evidence.attempts.values():
        is_good = attempt.key not in evidence.record.withdrawn
        if is_good and attempt.status in DENIED_STATUSES:
            yield Breach("denied", f"{attempt.request_id}: {attempt.status}")


def check_rates(evidence: Evidence) -> Iterator[Breach]:
    """Yield windows in which a workspace ran more than it may."""
    limit = RATE_PER_S * QUOTA_WINDOW_S + BURST
    limit = limit * QUOTA_OVER + QUOTA_SLACK
    times = sorted(
        run.at for run in evidence.record.runs if run.workspace == LIMITED
    )
    first = 0
    for number, at in enumerate(times):
        while times[first] < at - QUOTA_WINDOW_S:
            first += 1
        count = number - first + 1
        if count > limit:
            yield Breach("over its rate", f"{count} of {limit:.0f} at {at}")
            return


def check_recovery(evidence: Evidence) -> Iterator[Breach]:
    """Yield if callers are not served again after the last fault."""
    ends = [span.end for span in evidence.record.spans if not span.is_planned]
    recovered_at = max(ends, default=0.0) + RECOVER_S
    asked = [
        attempt
        for attempt in evidence.attempts.values()
        if attempt.sent_at > recovered_at and _is_free(evidence, attempt)
    ]
    served = sum(attempt.status == OK for attempt in asked)
    if not asked or served < RECOVERED_SHARE * len(asked):
        yield Breach("not recovered", f"{served} of {len(asked)} served")


def _is_free(evidence: Evidence, attempt: Attempt) -> bool:
    record = evidence.record
    if attempt.key in record.withdrawn:
        return False
    return record.keys[attempt.key] != LIMITED


CHECKS: tuple[Callable[[Evidence], Iterator[Breach]], ...] = (
    check_order_runs,
    check_refusals,
    check_answers,
    check_workspaces,
    check_withdrawals,
    check_drains,
    check_losses,
    check_denials,
    check_rates,
    check_recovery,
)


def check_all(evidence: Evidence) -> list[Breach]:
    """Return all broken promises."""
    return [breach for check in CHECKS for breach in check(evidence)]


def count_statuses(record: Record) -> Counter:
    """Return how many attempts ended with each status."""
    return Counter(attempt.status for attempt in record.attempts)
