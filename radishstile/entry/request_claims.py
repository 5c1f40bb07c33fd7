"""Claims of slots for the attempts of requests."""

import asyncio
import itertools

from radishstile.entry.admission import ClaimTerms
from radishstile.entry.claims import Slot, SlotClient
from radishstile.entry.node import EntryNode, read_clock
from radishstile.entry.plan import Attempts, RequestPlan, make_fingerprint
from radishstile.entry.refusals import make_stopping_refusal
from radishstile.entry.stop_plan import StopPlan
from radishstile.errors import RefusalError
from radishstile.outcome import Outcome, Reason
from radishstile.slot.claim import Claim, Ending


class RequestClaims:
    """Claims a slot for each attempt, unless the host stops before its end."""

    __slots__ = ("_node", "_slot_client", "_numbers", "_waits")

    def __init__(self, node: EntryNode, slot_client: SlotClient):
        self._node = node
        self._slot_client = slot_client
        self._numbers = itertools.count()
        # The time limits of the claims that wait for a slot.
        self._waits: set[asyncio.Timeout] = set()

    def limit_waits(self, stop_plan: StopPlan) -> None:
        """Let no request wait for a slot until this host ends."""
        for wait in self._waits:
            wait.reschedule(stop_plan.grants_until)

    async def claim(self, plan: RequestPlan, attempts: Attempts) -> Slot:
        """Return a slot for the next attempt.

        Only the first attempt is charged to the workspace's rate. A refusal
        of a later one tells whether earlier attempts may have run.
        """
        claim, terms = self._make_claim(plan, attempts)
        attempts.claims += 1
        asked_at = read_clock()
        try:
            slot = await self._wait_for_slot(claim, terms)
        except RefusalError as refusal:
            if attempts.may_have_run:
                raise RefusalError(
                    Reason.UPSTREAM_LOST, Outcome.UNKNOWN, detail=str(refusal)
                ) from refusal
            raise
        waited_s = read_clock() - asked_at
        self._node.metrics.claim_wait.observe({}, waited_s)
        await self._check_remaining_time(plan, attempts, slot)
        return slot

    async def _wait_for_slot(self, claim: Claim, terms: ClaimTerms) -> Slot:
        """Return a slot; raises `RefusalError`, also if this host ends."""
        stop_plan = self._node.stop_plan
        wait = asyncio.timeout_at(stop_plan and stop_plan.grants_until)
        try:
            async with wait:
                self._waits.add(wait)
                try:
                    return await self._slot_client.claim(claim, terms)
                finally:
                    self._waits.discard(wait)
        except TimeoutError as error:
            if not wait.expired():
                raise
            raise make_stopping_refusal() from error

    async def _check_remaining_time(
        self, plan: RequestPlan, attempts: Attempts, slot: Slot
    ) -> None:
        """Give the slot back if the run would hardly end before this host."""
        stop_plan = self._node.stop_plan
        if stop_plan is None or attempts.may_have_run:
            return
        expected_s = slot.grant.expected_s
        if stop_plan.may_send(read_clock(), expected_s, plan.deadline_at):
            return
        await asyncio.shield(slot.release(Ending.ABANDONED, 0.0))
        raise make_stopping_refusal()

    def _make_claim(
        self, plan: RequestPlan, attempts: Attempts
    ) -> tuple[Claim, ClaimTerms]:
        request, route = plan.request, plan.route
        object_key = ""
        if route.has_affinity and request.affinity_key:
            object_key = f"{route.prefix}{request.affinity_key}"
        paused = self._node.pauses.list_paused(read_clock())
        # Callers may send two requests with one id at a time.
        number = next(self._numbers)
        host = self._node.local_member.host
        claim = Claim(
            f"{request.request_id}.{attempts.claims}.{host}.{number}",
            plan.service,
            route.name,
            object_key,
            plan.priority,
            self._node.local_member.zone,
            plan.regions,
            frozenset(attempts.excluded.union(paused)),
            read_clock(),
            plan.objective_at,
            plan.deadline_at,
            plan.workspace.name if plan.workspace else "",
            make_fingerprint(request),
        )
        is_charged = plan.workspace is not None and attempts.claims == 0
        return claim, ClaimTerms(is_charged, route.objective_s)
