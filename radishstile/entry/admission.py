"""Admission control: grants slots, charges rates, blocks poison requests."""

import asyncio
import logging
from functools import singledispatchmethod

from radishstile.entry.denials import ClaimDeniedError, describe_cause
from radishstile.entry.logs import drop_infinity, log_fields
from radishstile.entry.node import STARTUP_WAIT_S, EntryNode, read_clock
from radishstile.errors import RefusalError
from radishstile.outcome import Outcome, Reason
from radishstile.run.poison import (
    CrashReport,
    PoisonDetector,
    PoisonVerdict,
    SuccessReport,
)
from radishstile.run.settings import RunSettings
from radishstile.slot.claim import (
    Claim,
    Decision,
    Denial,
    Ending,
    Grant,
)
from radishstile.slot.claim import Queued as QueuedClaim
from radishstile.slot.load_report import LoadReport
from radishstile.slot.scheduler import SlotScheduler
from radishstile.slot.settings import SlotSettings
from radishstile.upstream.departure import LeavingReport
from radishstile.wire.reports import Report
from radishstile.workspace.quota import WorkspaceQuotas
from radishstile.workspace.weight import weigh_workspaces

_LOG = logging.getLogger("radishstile.admission")

# Interval of queue checks in seconds while claims wait: a tenth of the
# shortest latency objective, so that wait limits are kept closely.
QUEUE_CHECK_INTERVAL_S = 0.03
# A broken run and a refused connection to the same upstream within this time
# count as one crash, in seconds.
CRASH_WINDOW_S = 1.5
# Shortest wait for a token, in seconds: above the clock's resolution.
RATE_WAIT_MIN_S = 0.005
# How long a claim waits at a leader that has no share yet, in seconds: until a
# lease of an earlier leader has run out.
SHARE_WAIT_S = 0.6


class ClaimTerms:
    """What admission checks for a claim, beside the slot itself.

    `is_charged` is whether its workspace is charged for it; a request is
    charged once. `objective_s` is the route's latency objective, in seconds.
    """

    __slots__ = ("is_charged", "objective_s")

    def __init__(self, is_charged: bool, objective_s: float):
        self.is_charged = is_charged
        self.objective_s = objective_s


class _BrokenRun:
    """A run that broke off, perhaps as its upstream crashed."""

    __slots__ = ("claim_id", "fingerprint", "broken_at")

    def __init__(self, claim_id: str, fingerprint: bytes, broken_at: float):
        self.claim_id = claim_id
        self.fingerprint = fingerprint
        self.broken_at = broken_at


class AdmissionController:
    """Admits claims by slots, workspace quotas and poison requests."""

    __slots__ = (
        "scheduler",
        "quotas",
        "poison",
        "_node",
        "_waiters",
        "_granted",
        "_unheld",
        "_broken_runs",
        "_has_waiting_claims",
        "_rates_changed",
        "broken_upstreams",
        "reports",
    )

    def __init__(self, node: EntryNode):
        self.scheduler = SlotScheduler(
            node.local_member.region,
            node.local_member.host,
            SlotSettings(is_shared=node.file.shares_slots),
        )
        self.quotas = WorkspaceQuotas(node.file.bounds.quota_slack)
        self.poison = PoisonDetector(RunSettings())
        self._node = node
        self._waiters: dict[str, asyncio.Future] = {}
        # Ids of the claims whose slots were granted and not released.
        self._granted: set[str] = set()
        # Ids of the claims with a slot and no holder, at the last check.
        self._unheld: set[str] = set()
        # Recently broken runs by upstream.
        self._broken_runs: dict[str, list[_BrokenRun]] = {}
        self._has_waiting_claims = asyncio.Event()
        self._rates_changed = asyncio.Event()
        # Upstreams with a broken run, to be asked whether they have crashed.
        self.broken_upstreams: asyncio.Queue[str] = asyncio.Queue()
        # Reports to be sent to other hosts.
        self.reports: asyncio.Queue[Report] = asyncio.Queue()

    async def run(self) -> None:
        """Check the queue periodically while claims wait in it."""
        while True:
            await self._has_waiting_claims.wait()
            self._deliver(self.scheduler.tick(read_clock()))
            if not self._waiters:
                self._has_waiting_claims.clear()
            await asyncio.sleep(QUEUE_CHECK_INTERVAL_S)

    def refresh(self) -> None:
        """Apply the current upstreams and quotas."""
        catalog = self._node.catalog
        if catalog is None:
            return
        now = read_clock()
        usable = self._node.registry.list_usable()
        self._deliver(
            self.scheduler.replace_upstreams(usable, catalog.services, now)
        )
        self.scheduler.set_weights(weigh_workspaces(catalog.workspaces))
        self.quotas.apply_workspaces(catalog.workspaces, now)
        self._rates_changed.set()

    def borrow(self, region: str, slots: dict[str, int]) -> None:
        """Use slots borrowed from another region, by upstream."""
        self._deliver(self.scheduler.borrow(region, slots, read_clock()))

    def end_loan(self, region: str) -> None:
        """Take back the slots lent to another region."""
        self._deliver(self.scheduler.end_loan(region, read_clock()))

    def resize(self, slot_share: float, rate_share: float) -> None:
        """Set this host's shares of the region's slots and of the rates."""
        now = read_clock()
        self._deliver(self.scheduler.set_share(slot_share, now))
        self.quotas.resize(rate_share, now)
        self._rates_changed.set()

    async def acquire(self, claim: Claim, terms: ClaimTerms) -> Grant:
        """Wait for a slot; raises `RefusalError` if the claim is denied.

        Hosts that start together follow a leader before it has read which
        upstreams there are; their claims wait for that.
        """
        await self._node.wait_initialized()
        if self._node.changed.is_set():
            # The claim's task may run before that which applies changes.
            self.refresh()
        await self._wait_for_share()
        self._check_poison(claim, read_clock())
        await self._charge(claim, terms)
        decision = self.scheduler.submit(
            claim, terms.objective_s, read_clock()
        )
        try:
            grant = await self._wait(claim, decision)
        except RefusalError as refusal:
            self._refund(claim, terms)
            self._log_denial(claim, refusal)
            raise
        except asyncio.CancelledError:
            # The request does not run, so its workspace is not charged.
            self._refund(claim, terms)
            raise
        self._granted.add(claim.claim_id)
        return grant

    def release(
        self, claim: Claim, grant: Grant, ending: Ending, held_s: float
    ):
        """Release a slot and grant it to the next claim."""
        now = read_clock()
        if claim.claim_id in self._granted:
            self._granted.discard(claim.claim_id)
            self._record_run(claim, grant, ending, now)
        self._node.metrics.endings.inc({"ending": ending.value})
        self._deliver(
            self.scheduler.finish(claim.claim_id, ending, held_s, now)
        )

    def reconcile(self) -> None:
        """Release the slots that nobody holds, once they are seen twice.

        A claim that was just granted gets its holder as its task runs.
        """
        running = self.scheduler.list_running()
        unheld = running - self._granted - self._waiters.keys()
        for claim_id in unheld & self._unheld:
            _LOG.warning(
                "admission: Slot without a holder released.",
                extra=log_fields(request=claim_id),
            )
            self._free(claim_id)
        self._unheld = unheld

    def record_rate(
        self, upstream_id: str, per_s: float | None, sent_at: float
    ) -> None:
        """Apply the rate limit named in the answer to a request.

        `per_s` is in requests a second: infinity for none, None if there was
        no answer. `sent_at` is the loop's time of the request, in seconds.
        """
        if per_s is None:
            return
        now = read_clock()
        if self.scheduler.record_rate(upstream_id, per_s, sent_at, now):
            _LOG.info(
                "admission: Rate limit of an upstream changed.",
                extra=log_fields(
                    upstream=upstream_id,
                    rate_limit=drop_infinity(per_s),
                ),
            )

    def record_load(self, upstream_id: str, report: LoadReport | None) -> None:
        """Apply the load that an upstream named in an answer, if any."""
        if report is None:
            return
        is_used = self.scheduler.record_load(upstream_id, report, read_clock())
        self._node.metrics.count_load("used" if is_used else "unused")

    def apply_report(self, report: Report) -> None:
        """Apply a report, and queue it for other hosts if it is new."""
        if self._apply_report(report):
            self.reports.put_nowait(report)

    @singledispatchmethod
    def _apply_report(self, report: Report) -> bool:
        """Apply a report; return whether it is new."""
        raise TypeError(type(report).__name__)

    @_apply_report.register
    def _(self, report: CrashReport | SuccessReport) -> bool:
        return self.poison.apply(report, read_clock())

    @_apply_report.register
    def _(self, report: LeavingReport) -> bool:
        if not self._node.registry.record_leaving(report):
            return False
        self._node.metrics.count_leaving("new")
        self._node.changed.set()
        _LOG.info(
            "admission: Upstream says that it leaves.",
            extra=log_fields(
                upstream=report.upstream_id, born=report.started_at_ms
            ),
        )
        return True

    async def _charge(self, claim: Claim, terms: ClaimTerms) -> None:
        """Charge a claim to its workspace's rate.

        Right after a start, when followers are still joining and this host's
        share grows with each, a claim waits for a token instead.
        """
        if not terms.is_charged:
            return
        while True:
            now = read_clock()
            wait_s = self.quotas.take(claim.workspace, now)
            if wait_s is None:
                return
            starting_s = STARTUP_WAIT_S - self._node.measure_uptime()
            if starting_s <= 0:
                break
            await self._wait_for_rates(min(wait_s, starting_s))
        refusal = RefusalError(
            Reason.RATE_EXCEEDED,
            Outcome.NOT_RUN,
            min(wait_s, claim.deadline_at - now),
            f"workspace {claim.workspace} exceeds its rate",
        )
        self._log_denial(claim, refusal)
        raise refusal

    def _refund(self, claim: Claim, terms: ClaimTerms) -> None:
        if terms.is_charged:
            self.quotas.refund(claim.workspace)

    async def _wait_for_share(self) -> None:
        """Wait for the first part that is lent to a new leader.

        Parts that a lost leader may still hold are free soon.
        """
        until = read_clock() + SHARE_WAIT_S
        while self.scheduler.share == 0 and read_clock() < until:
            await self._wait_for_rates(until - read_clock())

    async def _wait_for_rates(self, timeout_s: float) -> None:
        """Wait until this host's share of the rates changes."""
        self._rates_changed.clear()
        try:
            async with asyncio.timeout(max(timeout_s, RATE_WAIT_MIN_S)):
                await self._rates_changed.wait()
        except TimeoutError:
            return

    def _log_denial(self, claim: Claim, refusal: RefusalError) -> None:
        catalog = self._node.catalog
        _LOG.warning(
            "admission: Claim denied.",
            extra=log_fields(
                request=claim.claim_id,
                reason=refusal.reason.value,
                why=str(refusal),
                service=claim.service,
                zone=claim.zone,
                regions=sorted(claim.regions),
                version=catalog.version if catalog else 0,
                priority=claim.priority,
                slots_held=self.scheduler.count_running(),
                waiting=self.scheduler.count_waiting(),
                share=round(self.scheduler.share, 3),
                retry_after=refusal.retry_after,
                **describe_cause(claim, refusal),
            ),
        )

    async def _wait(self, claim: Claim, decision: Decision) -> Grant:
        waiter = asyncio.get_running_loop().create_future()
        self._resolve(decision, waiter)
        if not waiter.done():
            self._waiters[claim.claim_id] = waiter
            self._has_waiting_claims.set()
        try:
            return await waiter
        except asyncio.CancelledError:
            self._cancel(claim)
            raise
        finally:
            self._waiters.pop(claim.claim_id, None)

    def _cancel(self, claim: Claim) -> None:
        """Cancel a claim, and release its slot if it was just granted.

        The future of a cancelled task is cancelled before the task runs, so
        it doesn't tell whether a slot was granted in between.
        """
        self.scheduler.cancel(claim.claim_id, claim.service)
        self._free(claim.claim_id)

    def _free(self, claim_id: str) -> None:
        """Release a claim's slot, if it has one, as that of no run."""
        self._deliver(
            self.scheduler.finish(
                claim_id, Ending.ABANDONED, 0.0, read_clock()
            )
        )

    def _deliver(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            waiter = self._waiters.get(decision.claim_id)
            if waiter is not None and not waiter.done():
                self._resolve(decision, waiter)

    @singledispatchmethod
    def _resolve(self, decision, waiter: asyncio.Future) -> None:
        raise TypeError(type(decision).__name__)

    @_resolve.register
    def _(self, decision: Grant, waiter: asyncio.Future) -> None:
        waiter.set_result(decision)

    @_resolve.register
    def _(self, decision: QueuedClaim, waiter: asyncio.Future) -> None:
        """Keep the claim waiting."""

    @_resolve.register
    def _(self, decision: Denial, waiter: asyncio.Future) -> None:
        waiter.set_exception(
            ClaimDeniedError(decision, "no slot becomes free in time")
        )

    def _check_poison(self, claim: Claim, now: float) -> None:
        if not claim.fingerprint:
            return
        verdict = self.poison.check(claim.fingerprint, now)
        if verdict is PoisonVerdict.REFUSED:
            raise RefusalError(
                Reason.HARMFUL,
                Outcome.NOT_RUN,
                detail="upstreams crashed while running this request",
            )

    def _record_run(
        self,
        claim: Claim,
        grant: Grant,
        ending: Ending,
        now: float,
    ) -> None:
        """Record how a run ended, to tell crashes from lost answers.

        After a crash the upstream refuses connections; after a lost answer
        it keeps serving.
        """
        if ending is Ending.SERVED:
            verdict = self.poison.check(claim.fingerprint, now)
            if verdict is not PoisonVerdict.ALLOWED:
                self.apply_report(
                    SuccessReport(claim.claim_id, claim.fingerprint)
                )
        elif ending is Ending.BROKEN:
            runs = self._broken_runs.setdefault(grant.upstream_id, [])
            runs.append(_BrokenRun(claim.claim_id, claim.fingerprint, now))
            self.broken_upstreams.put_nowait(grant.upstream_id)
        elif ending is Ending.UNREACHABLE:
            self.record_crash(grant.upstream_id)

    def record_crash(self, upstream_id: str) -> None:
        """Report the runs that an upstream has just broken off with."""
        now = read_clock()
        runs = [
            run
            for run in self._broken_runs.pop(upstream_id, [])
            if now - run.broken_at <= CRASH_WINDOW_S
        ]
        if not runs:
            return
        report = CrashReport(
            runs[0].claim_id,
            upstream_id,
            frozenset(run.fingerprint for run in runs),
        )
        self.apply_report(report)
        _LOG.warning(
            "admission: Upstream crashed while running requests.",
            extra=log_fields(
                upstream=upstream_id, requests=[run.claim_id for run in runs]
            ),
        )
