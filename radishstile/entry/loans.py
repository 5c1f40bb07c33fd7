"""Lending of slots and rate tokens between the leaders of regions."""

import asyncio
import logging
import math

from radishstile.entry.admission import AdmissionController
from radishstile.entry.leadership import Leadership
from radishstile.entry.logs import log_fields
from radishstile.entry.node import EntryNode, read_clock
from radishstile.entry.peers import Peer
from radishstile.errors import WireError
from radishstile.slot.lending import (
    RegionLoad,
    is_short,
    plan_loan,
    plan_needs,
)
from radishstile.slot.loan_handover import Loan, LoanHandover
from radishstile.slot.loan_limiter import OWN, LoanRateLimiter
from radishstile.wire.messages.slot import BorrowSlots, LentSlots

_LOG = logging.getLogger("radishstile.loans")

# Interval at which loans are renewed, in seconds.
RENEWAL_INTERVAL_S = 0.5
# The same in a leader's first second, as its region may have few upstreams of
# its own and callers that come back after an outage.
START_RENEWAL_INTERVAL_S = 0.1
START_PERIOD_S = 1.0
# Expiry of a loan that is not renewed, in seconds, for the lender and for the
# borrower. The borrower's is shorter, so that no slot is used twice.
LENT_TIMEOUT_S = 3.0
BORROWED_TIMEOUT_S = 2.0
# Part of a region's slots of a service whose loss by failures lifts the limit
# of the growth of its loans, so that the region's callers are not refused
# meanwhile.
FAILED_SHARE = 0.1
# Share of a region's slots above which a leader borrows for it.
MAJORITY_SHARE = 0.5
# Timeout of a remote leader's answer, in seconds.
ANSWER_TIMEOUT_S = 1.0


class Loans:
    """Borrows from other regions and lends to them, while this host leads."""

    __slots__ = (
        "_node",
        "_leadership",
        "_admission",
        "_borrowed",
        "_lent_at",
        "_limiter",
        "_led_since",
        "_handover",
        "_planned",
    )

    def __init__(
        self,
        node: EntryNode,
        leadership: Leadership,
        admission: AdmissionController,
    ):
        self._node = node
        self._leadership = leadership
        self._admission = admission
        self._borrowed: dict[str, Loan] = {}
        # The loop's time of the last request by each borrowing region.
        self._lent_at: dict[str, float] = {}
        self._limiter = LoanRateLimiter()
        # The loop's time since which this host leads, as the limiter knows.
        self._led_since = float("-inf")
        self._handover = LoanHandover(self._limiter)
        # The last plan of each loan, by service and lender.
        self._planned: dict[tuple[str, str], float] = {}

    async def run(self) -> None:
        """Sample demand and renew loans periodically."""
        while True:
            await asyncio.sleep(self._choose_interval())
            self._end_expired()
            if self._leads_region():
                await self._renew()

    def _leads_region(self) -> bool:
        """Return whether this host borrows for its region.

        Only one leader holds most parts of a region. Requests of others, such
        as a host that leads itself as it starts, would replace its loans.
        """
        share = self._admission.scheduler.share
        return self._leadership.is_leading and share > MAJORITY_SHARE

    def _choose_interval(self) -> float:
        led_s = read_clock() - self._leadership.followed_at
        if led_s < START_PERIOD_S and self._leadership.is_leading:
            return START_RENEWAL_INTERVAL_S
        return RENEWAL_INTERVAL_S

    def lend(self, message: BorrowSlots) -> LentSlots:
        """Return the slots and tokens lent to another region.

        What it holds is not taken back here: its leader returns it in steps
        that move few requests. A leader that knows of no loan continues the
        one of its predecessor.
        """
        now = read_clock()
        region = message.region
        scheduler = self._admission.scheduler
        is_continued = message.is_new and self._has_lent(message)
        if message.held and region not in self._lent_at:
            scheduler.loans.adopt(region, message.held, now)
        self._lent_at[region] = now
        for upstream_id, per_s in message.rates.items():
            self._admission.record_rate(upstream_id, per_s, now)
        slots: dict[str, int] = {}
        usable: dict[str, float] = {}
        for service, wanted in message.slots.items():
            loads = self._collect_loads(service)
            if region not in loads:
                continue
            held = scheduler.loans.count_lent(service, region)
            if not is_continued:
                plan = plan_loan(loads, self._local_region, region)
                held = min(wanted, max(math.ceil(plan), held))
            slots |= scheduler.loans.lend(service, region, held, now)
            usable[service] = scheduler.loans.count_lent(service, region)
        tokens = {
            name: self._admission.quotas.lend(name, amount, now)
            for name, amount in message.tokens.items()
        }
        return LentSlots(
            slots=slots,
            usable=usable,
            tokens=tokens,
            is_continued=is_continued,
        )

    def _has_lent(self, message: BorrowSlots) -> bool:
        """Return whether the sender's region holds slots of this one."""
        scheduler = self._admission.scheduler
        return message.region in self._lent_at and any(
            scheduler.loans.count_lent(service, message.region)
            for service in message.slots
        )

    def _end_expired(self) -> None:
        now = read_clock()
        for region, lent_at in list(self._lent_at.items()):
            if now - lent_at > LENT_TIMEOUT_S:
                del self._lent_at[region]
                self._admission.end_loan(region)
        for region, loan in list(self._borrowed.items()):
            is_old = now - loan.renewed_at > BORROWED_TIMEOUT_S
            if is_old or not self._leadership.is_leading:
                del self._borrowed[region]
                self._admission.borrow(region, {})

    async def _renew(self) -> None:
        services = {
            service: self._collect_loads(service)
            for service in self._list_services()
        }
        needs = {
            service: plan_needs(loads)[self._local_region]
            for service, loads in services.items()
        }
        now = read_clock()
        self._lift_limit(services, now)
        self._admission.scheduler.sample_demand(needs, now)
        for service, loads in services.items():
            self._admission.scheduler.loans.set_short(service, is_short(loads))
        tokens = self._admission.quotas.list_shortfalls(now)
        wanted = {
            service: self._limit_loans(service, loads)
            for service, loads in services.items()
        }
        leaders = {
            region: self._leadership.find_leader_of(region)
            for region in self._list_lenders()
        }
        await asyncio.gather(
            *(
                self._try_borrow(region, leader, wanted, tokens)
                for region, leader in leaders.items()
                if leader is not None
            )
        )
        self._report()

    def _lift_limit(
        self, services: dict[str, dict[str, RegionLoad]], now: float
    ) -> None:
        """Let loans follow the plan after a start, or grow after failures."""
        led_since = self._leadership.followed_at
        if led_since != self._led_since:
            self._led_since = led_since
            self._handover.start(led_since)
        failed = self._admission.scheduler.loans.take_failed_slots()
        for service, loads in services.items():
            slots = failed.get(service, 0)
            capacity = loads[self._local_region].capacity + slots
            if slots > FAILED_SHARE * capacity:
                self._limiter.lift_growth(service, now)

    def _limit_loans(
        self, service: str, loads: dict[str, RegionLoad]
    ) -> dict[str, float]:
        """Return the slots of a service to ask each known lender for."""
        current = {
            region: loan.slots.get(service, 0.0)
            for region, loan in self._borrowed.items()
        }
        target = {
            region: plan_loan(loads, region, self._local_region)
            for region in loads
            if region != self._local_region
        }
        for region, slots in target.items():
            self._planned[service, region] = slots
        granted = dict(
            self._admission.scheduler.grants.recent.get(service, {})
        )
        granted[OWN] = granted.pop(self._local_region, 0.0)
        return self._limiter.limit_change(
            service,
            loads[self._local_region].capacity,
            current,
            {**current, **target},
            granted,
            read_clock(),
        )

    async def _try_borrow(
        self,
        region: str,
        leader: Peer,
        wanted: dict[str, dict[str, float]],
        tokens: dict[str, float],
    ) -> None:
        """Borrow from a region; an error doesn't end loans of others."""
        try:
            await self._borrow(region, leader, wanted, tokens)
        except Exception as error:
            self._leadership.peers.record_failure(leader.member, error)

    async def _borrow(
        self,
        region: str,
        leader: Peer,
        wanted: dict[str, dict[str, float]],
        tokens: dict[str, float],
    ) -> None:
        slots = {name: by.get(region, 0.0) for name, by in wanted.items()}
        loan = self._borrowed.get(region)
        is_new = loan is None and self._handover.is_first_request(
            region, read_clock()
        )
        is_empty = not tokens and not any(map(round, slots.values()))
        if loan is None and is_empty and not is_new:
            return
        message = BorrowSlots(
            region=self._local_region,
            slots={name: round(amount) for name, amount in slots.items()},
            tokens=tokens,
            held=self._list_held(region, loan, leader),
            rates=self._admission.scheduler.list_rates(
                read_clock() - RENEWAL_INTERVAL_S, region
            ),
            is_new=is_new,
        )
        try:
            answer = await leader.client.call(message, ANSWER_TIMEOUT_S)
        except (WireError, TimeoutError) as error:
            _LOG.warning(
                "loans: Remote leader did not answer.",
                extra=log_fields(region=region, why=type(error).__name__),
            )
            return
        if is_new:
            self._handover.record_answer(
                region, slots, answer.is_continued, read_clock()
            )
        if loan is None and is_empty and not answer.is_continued:
            return
        loan = self._borrowed.setdefault(region, Loan())
        loan.lender = _identify(leader)
        loan.wanted = slots
        self._apply(region, loan, answer)

    def _list_held(
        self, region: str, loan: Loan | None, leader: Peer
    ) -> dict[str, int]:
        """Return the slots that a region's previous leader has lent."""
        if loan is None or loan.lender == _identify(leader):
            return {}
        return self._admission.scheduler.loans.list_borrowed(region)

    def _apply(self, region: str, loan: Loan, answer: LentSlots) -> None:
        loan.renewed_at = read_clock()
        self._admission.borrow(region, answer.slots)
        for service in loan.wanted:
            loan.record(service, answer.usable.get(service, 0.0))
        for name, amount in answer.tokens.items():
            self._admission.quotas.add_borrowed(name, amount)

    def _report(self) -> None:
        """Log the loans, and where slots were granted since the last round."""
        now = read_clock()
        scheduler = self._admission.scheduler
        granted = scheduler.grants.take()
        for service, regions in granted.items():
            for region, count in regions.items():
                self._node.metrics.grants.add(
                    {"service": service, "region": region}, count
                )
        _LOG.info(
            "loans: Slots by region.",
            extra=log_fields(
                granted=granted,
                slots=scheduler.count_slots(now),
                loans={
                    region: self._describe(region, loan)
                    for region, loan in self._borrowed.items()
                },
                is_unlimited=self._limiter.is_unlimited(now),
                growing=self._limiter.list_growing(now),
            ),
        )

    @property
    def _local_region(self) -> str:
        return self._node.local_member.region

    def _list_lenders(self) -> list[str]:
        regions = set(self._node.file.zones.values())
        return sorted(regions - {self._local_region})

    def _describe(self, region: str, loan: Loan) -> dict[str, list[float]]:
        """Return a loan's slots planned, wanted and in use by service."""
        return {
            service: [
                round(self._planned.get((service, region), 0.0), 1),
                round(loan.wanted.get(service, 0.0), 1),
                round(slots, 1),
            ]
            for service, slots in loan.slots.items()
        }

    def _list_services(self) -> list[str]:
        catalog = self._node.catalog
        return sorted(catalog.services) if catalog else []

    def _collect_loads(self, service: str) -> dict[str, RegionLoad]:
        """Return a service's load in each region with a known leader."""
        weight = len(self._leadership.followers.list_live(read_clock()))
        local_loads = self._admission.scheduler.loans.measure_loads(weight)
        loads = {
            self._local_region: local_loads.get(
                service, RegionLoad(None, 0.0, weight)
            )
        }
        for region in self._list_lenders():
            leader = self._leadership.find_leader_of(region)
            if leader is None:
                continue
            demand, capacity = leader.state.loads.get(service, (None, 0.0))
            loads[region] = RegionLoad(demand, capacity, leader.state.weight)
        return loads


def _identify(leader: Peer) -> tuple[str, int]:
    """Return a leader's host and incarnation."""
    return leader.member.host, leader.member.incarnation
