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
    plan_loan,
    plan_needs,
)
from radishstile.slot.loan_limiter import LoanRateLimiter
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
# Timeout of a remote leader's answer, in seconds.
ANSWER_TIMEOUT_S = 1.0


class Loan:
    """What this region has borrowed from another.

    `slots` are those requested at the last renewal, and `planned` those that
    this region's plan had, both by service. `lent` is the total that the
    lender granted.
    """

    __slots__ = ("slots", "planned", "lent", "renewed_at")

    def __init__(self):
        self.slots: dict[str, float] = {}
        self.planned: dict[str, float] = {}
        self.lent = 0
        self.renewed_at = float("-inf")

    def describe(self) -> dict:
        """Return the loan as fields of a log line."""
        return {
            "planned": {k: round(v, 1) for k, v in self.planned.items()},
            "wanted": {k: round(v, 1) for k, v in self.slots.items()},
            "lent": self.lent,
        }


class Loans:
    """Borrows from other regions and lends to them, while this host leads."""

    __slots__ = (
        "_node",
        "_leadership",
        "_admission",
        "_borrowed",
        "_lent_at",
        "_pace",
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
        self._pace = LoanRateLimiter()

    async def run(self) -> None:
        """Sample demand and renew loans periodically."""
        while True:
            await asyncio.sleep(self._choose_interval())
            self._end_expired()
            if self._leadership.is_leading:
                await self._renew()

    def _choose_interval(self) -> float:
        led_s = read_clock() - self._leadership.followed_at
        if led_s < START_PERIOD_S and self._leadership.is_leading:
            return START_RENEWAL_INTERVAL_S
        return RENEWAL_INTERVAL_S

    def _report(self) -> None:
        """Log where slots were granted since the last round, and the loans."""
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
                    region: loan.describe()
                    for region, loan in self._borrowed.items()
                },
                is_unlimited=self._pace.is_unlimited(now),
            ),
        )

    def lend(self, message: BorrowSlots) -> LentSlots:
        """Return the slots and tokens lent to another region."""
        now = read_clock()
        self._lent_at[message.region] = now
        slots: dict[str, int] = {}
        for service, wanted in message.slots.items():
            loads = self._collect_loads(service)
            if message.region not in loads:
                continue
            loan_limit = plan_loan(
                loads, self._node.local_member.region, message.region
            )
            limit = min(wanted, math.ceil(loan_limit))
            slots |= self._admission.scheduler.lend(
                service, message.region, limit, now
            )
        tokens = {
            name: self._admission.quotas.lend(name, amount, now)
            for name, amount in message.tokens.items()
        }
        return LentSlots(slots=slots, tokens=tokens)

    def _end_expired(self) -> None:
        now = read_clock()
        for region, lent_at in list(self._lent_at.items()):
            if now - lent_at > LENT_TIMEOUT_S:
                del self._lent_at[region]
                self._admission.scheduler.end_loan(region, now)
        for region, loan in list(self._borrowed.items()):
            is_old = now - loan.renewed_at > BORROWED_TIMEOUT_S
            if is_old or not self._leadership.is_leading:
                del self._borrowed[region]
                self._admission.borrow(region, {})

    async def _renew(self) -> None:
        regions = set(self._node.file.zones.values()) - {
            self._node.local_member.region
        }
        services = {
            service: self._collect_loads(service)
            for service in self._list_services()
        }
        needs = {
            service: plan_needs(loads)[self._node.local_member.region]
            for service, loads in services.items()
        }
        now = read_clock()
        self._pace.record_leader_change(self._leadership.followed_at)
        for service, loads in services.items():
            capacity = loads[self._node.local_member.region].capacity
            self._pace.record_capacity(service, capacity, now)
        self._admission.scheduler.sample_demand(needs, now)
        tokens = self._admission.quotas.list_shortfalls(read_clock())
        leaders = {
            region: self._leadership.find_leader_of(region)
            for region in regions
        }
        await asyncio.gather(
            *(
                self._borrow(region, leader, services, needs, tokens)
                for region, leader in leaders.items()
                if leader is not None
            )
        )
        self._report()

    async def _borrow(
        self,
        region: str,
        leader: Peer,
        services: dict[str, dict[str, RegionLoad]],
        needs: dict[str, float],
        tokens: dict[str, float],
    ) -> None:
        local_region = self._node.local_member.region
        loan = self._borrowed.get(region)
        wanted: dict[str, float] = {}
        planned: dict[str, float] = {}
        for service, loads in services.items():
            if region not in loads:
                continue
            current = loan.slots.get(service) if loan else None
            target = plan_loan(loads, region, local_region)
            planned[service] = target
            wanted[service] = self._pace.limit_change(
                current, target, needs[service], read_clock()
            )
        slots = {name: round(amount) for name, amount in wanted.items()}
        if not any(slots.values()) and not tokens and loan is None:
            return
        message = BorrowSlots(region=local_region, slots=slots, tokens=tokens)
        try:
            answer = await leader.client.call(message, ANSWER_TIMEOUT_S)
        except (WireError, TimeoutError) as error:
            _LOG.warning(
                "loans: Remote leader did not answer.",
                extra=log_fields(region=region, why=type(error).__name__),
            )
            return
        loan = self._borrowed.setdefault(region, Loan())
        loan.slots = wanted
        loan.planned = planned
        self._apply(region, loan, answer)

    def _apply(self, region: str, loan: Loan, answer: LentSlots) -> None:
        loan.renewed_at = read_clock()
        loan.lent = sum(answer.slots.values())
        self._admission.borrow(region, answer.slots)
        for name, amount in answer.tokens.items():
            self._admission.quotas.add_borrowed(name, amount)

    def _list_services(self) -> list[str]:
        catalog = self._node.catalog
        return sorted(catalog.services) if catalog else []

    def _collect_loads(self, service: str) -> dict[str, RegionLoad]:
        """Return a service's load in each region with a known leader."""
        weight = len(self._leadership.followers.list_live(read_clock()))
        local_loads = self._admission.scheduler.measure_loads(weight)
        local_region = self._node.local_member.region
        loads = {
            local_region: local_loads.get(
                service, RegionLoad(None, 0.0, weight)
            )
        }
        for region in set(self._node.file.zones.values()) - {local_region}:
            leader = self._leadership.find_leader_of(region)
            if leader is None:
                continue
            demand, capacity = leader.state.loads.get(service, (None, 0.0))
            loads[region] = RegionLoad(demand, capacity, leader.state.weight)
        return loads
