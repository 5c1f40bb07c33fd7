"""The book of slots: who may send to which upstream, and who waits.

One book counts for all hosts that follow it, so that nothing queues inside
an upstream. It decides; it knows no socket and no task. Each call takes the
loop's time in seconds and returns decisions for the caller to pass on.
"""

from radishstile.catalog.catalog import Service
from radishstile.outcome import Reason
from radishstile.slot.choice import Choice
from radishstile.slot.claim import Claim, Decision, Denial, Ending, Grant
from radishstile.slot.claim import Queued as QueuedClaim
from radishstile.slot.estimate import HoldEstimate
from radishstile.slot.lending import PLANNED_USE, RegionLoad
from radishstile.slot.queue import Waiting
from radishstile.slot.ranking import Ranking
from radishstile.slot.service import DEMAND_SAMPLE_S, ServiceBook
from radishstile.slot.settings import SlotSettings
from radishstile.slot.upstream import BookedUpstream, Run
from radishstile.upstream.registration import Registration

# Shortest and longest time after which a refused caller is told to return,
# in seconds: sooner meets the same queue, later is past most deadlines.
RETRY_MIN_S = 0.2
RETRY_MAX_S = 2.0


# A run must be expected to end this much sooner than its deadline, or than
# its objective, as a part of its expected time: the sheets' work spreads by
# 15%.
HOLD_MARGIN = 1.25


class SlotBook:
    """Gives out slots, at most `share` of each upstream's in `region`.

    `share` is the part of the region's hosts that claim here; books whose
    shares add up to one never give out a slot twice. Slots of other
    regions' upstreams are given out as far as they were borrowed.
    """

    __slots__ = (
        "region",
        "share",
        "_settings",
        "_services",
        "_upstreams",
        "_holders",
        "_sampled_at",
    )

    def __init__(self, region: str, settings: SlotSettings):
        self.region = region
        self.share = 0.0
        self._settings = settings
        self._sampled_at = 0.0
        self._services: dict[str, ServiceBook] = {}
        self._upstreams: dict[str, BookedUpstream] = {}
        # The upstream whose slot each running claim holds.
        self._holders: dict[str, BookedUpstream] = {}

    def replace_upstreams(
        self,
        registrations: list[Registration],
        services: dict[str, Service],
        now: float,
    ) -> list[Decision]:
        """Take the upstreams that may get work from now on."""
        kept: dict[str, BookedUpstream] = {}
        is_first = not self._upstreams
        for registration in registrations:
            booked = self._upstreams.get(registration.upstream_id)
            if booked is None or (
                booked.registration.incarnation != registration.incarnation
            ):
                service = services.get(registration.service)
                rate = service.warmup_per_s if service else 0.0
                booked = BookedUpstream(
                    registration, self._settings, rate, now
                )
                booked.is_untried = not is_first and self._is_own(booked)
            else:
                booked.update(registration)
            kept[registration.upstream_id] = booked
        self._upstreams = kept
        return self.resize(self.share, now)

    def resize(self, share: float, now: float) -> list[Decision]:
        """Use another share of the slots."""
        self.share = share
        for upstream in self._upstreams.values():
            upstream.resize(share, self._is_own(upstream))
        self._rank()
        return self.tick(now)

    def sample_demand(self, needs: dict[str, float], now: float) -> None:
        """Take a sample of each service's demand if it is time.

        `needs` are the slots planned for the region by service, which stand
        for the demand before there was any.
        """
        elapsed_s = now - self._sampled_at
        if elapsed_s < DEMAND_SAMPLE_S:
            return
        self._sampled_at = now
        for name, book in self._services.items():
            prior = needs.get(name, 0.0) * PLANNED_USE
            book.sample_demand(elapsed_s, prior)

    def measure_loads(self, weight: float) -> dict[str, RegionLoad]:
        """Return the region's demand and capacity by service, in slots."""
        loads: dict[str, RegionLoad] = {}
        for name, book in self._services.items():
            loads[name] = RegionLoad(book.demand, 0.0, weight)
        for upstream in self._upstreams.values():
            if not self._is_own(upstream):
                continue
            name = upstream.registration.service
            load = loads.setdefault(name, RegionLoad(None, 0.0, weight))
            load.capacity += upstream.capacity + sum(upstream.lent.values())
        return loads

    def lend(
        self, service: str, region: str, wanted: int, now: float
    ) -> dict[str, int]:
        """Lend slots to another region, and return them by upstream.

        Replaces what that region had. The same upstreams come first each
        time, so that their memory of objects stays of use.
        """
        ranking = Ranking(
            (
                u
                for u in self._upstreams.values()
                if self._is_own(u) and u.registration.service == service
            ),
            self.region,
        )
        lent: dict[str, int] = {}
        for upstream in ranking.order(region):
            upstream.lent.pop(region, None)
            upstream.resize(self.share, True)
            slots = min(wanted, upstream.capacity)
            if slots > 0 and not upstream.is_cold(now):
                upstream.lent[region] = slots
                upstream.resize(self.share, True)
                lent[upstream.upstream_id] = slots
                wanted -= slots
        return lent

    def end_loan(self, region: str, now: float) -> list[Decision]:
        """Take back all that a region has borrowed."""
        for upstream in self._upstreams.values():
            upstream.lent.pop(region, None)
        return self.resize(self.share, now)

    def borrow(
        self, region: str, slots: dict[str, int], now: float
    ) -> list[Decision]:
        """Take slots by upstream in place of those borrowed from a region."""
        for upstream in self._upstreams.values():
            if upstream.registration.region == region:
                upstream.borrowed = slots.get(upstream.upstream_id, 0)
        return self.resize(self.share, now)

    def offer(self, claim: Claim, objective_s: float, now: float) -> Decision:
        """Grant, queue or deny a claim.

        `objective_s` is that of the claim's route, in seconds.
        """
        book = self._find_service(claim.service)
        if not book.ranking.upstreams:
            return Denial(claim.claim_id, Reason.NO_UPSTREAM, RETRY_MAX_S)
        estimate = book.estimates.get(claim.route)
        if estimate is None:
            estimate = HoldEstimate(objective_s, self._settings.smoothing)
            book.estimates[claim.route] = estimate
        choice = Choice(book.ranking, claim, now)
        book.note_offer(estimate.expect(choice.is_known))
        upstream = choice.find_warm() if choice.is_known else choice.find_any()
        if upstream is not None:
            return self._start(book, upstream, claim, now)
        return self._place_later(book, choice, estimate, now)

    def finish(
        self, claim_id: str, ending: Ending, held_s: float, now: float
    ) -> list[Decision]:
        """Take back a claim's slot, and return who gets it next."""
        upstream = self._holders.pop(claim_id, None)
        if upstream is None:
            return []
        run = upstream.finish(claim_id, ending, held_s, now)
        book = self._find_service(run.claim.service)
        if ending is Ending.SERVED:
            book.estimates[run.claim.route].note(run.is_warm, held_s)
        return self._pass_on(book, upstream, now)

    def withdraw(self, claim_id: str, service: str) -> None:
        """Drop a claim that waits, if it still does."""
        self._find_service(service).queue.remove(claim_id)

    def tick(self, now: float) -> list[Decision]:
        """Deny what can't be served any more, and use what has opened."""
        decisions: list[Decision] = []
        for book in self._services.values():
            for waiting in book.queue:
                decision = self._review(book, waiting, now)
                if decision is not None:
                    decisions.append(decision)
        return decisions

    def count_waiting(self) -> int:
        """Return the number of claims that wait."""
        return sum(len(book.queue) for book in self._services.values())

    def count_running(self) -> int:
        """Return the number of slots that are held."""
        return len(self._holders)

    def _find_service(self, name: str) -> ServiceBook:
        book = self._services.get(name)
        if book is None:
            book = self._services[name] = ServiceBook()
        return book

    def _is_own(self, upstream: BookedUpstream) -> bool:
        return upstream.registration.region == self.region

    def _rank(self) -> None:
        by_service: dict[str, list[BookedUpstream]] = {}
        for upstream in self._upstreams.values():
            if not self._is_own(upstream) and not upstream.borrowed:
                continue
            name = upstream.registration.service
            by_service.setdefault(name, []).append(upstream)
        for name in by_service.keys() | self._services.keys():
            book = self._find_service(name)
            upstreams = by_service.get(name, [])
            if not book.ranking.has(upstreams):
                book.ranking = Ranking(upstreams, self.region)

    def _start(
        self,
        book: ServiceBook,
        upstream: BookedUpstream,
        claim: Claim,
        now: float,
    ) -> Grant:
        is_warm = bool(claim.object_key) and upstream.knows(claim.object_key)
        expected_s = book.estimates[claim.route].expect(is_warm)
        upstream.start(Run(claim, now, expected_s, is_warm))
        self._holders[claim.claim_id] = upstream
        return Grant(claim.claim_id, upstream.upstream_id, is_warm, expected_s)

    def _place_later(
        self,
        book: ServiceBook,
        choice: Choice,
        estimate: HoldEstimate,
        now: float,
    ) -> Decision:
        """Queue a claim, run it cold where there is room, or deny it.

        A cold run holds a slot three times as long, so an object that is
        known somewhere is taken elsewhere only where slots stand idle.
        """
        claim = choice.claim
        home = choice.find_soonest_warm()
        expected_s = estimate.expect(home is not None)
        if home is None:
            wait_s = self._expect_wait(book, claim, now)
        else:
            wait_s = home.expect_wait(claim.priority, now)
        is_timely = now + wait_s + expected_s <= claim.objective_at
        if home is not None and not is_timely:
            spare = choice.find_spare()
            if spare is not None:
                return self._start(book, spare, claim, now)
        latest_end_at = now + wait_s + expected_s * HOLD_MARGIN
        if latest_end_at > claim.deadline_at or not (
            is_timely or self._is_short(claim, wait_s)
        ):
            return _deny(claim, wait_s)
        patient_until = now
        if home is not None:
            patient_until = claim.objective_at - expected_s
        book.queue.put(
            Waiting(claim, home, patient_until, expected_s, is_timely)
        )
        return QueuedClaim(claim.claim_id, wait_s)

    def _expect_wait(
        self, book: ServiceBook, claim: Claim, now: float
    ) -> float:
        """Return the expected seconds until any slot is free for a claim."""
        usable = [
            u
            for u in book.ranking.upstreams
            if u.accepts(claim) and u.capacity
        ]
        slots = sum(u.capacity for u in usable)
        if slots == 0:
            return RETRY_MAX_S
        running_s = sum(
            run.expect_rest(now) for u in usable for run in u.runs.values()
        )
        ahead_s = book.queue.measure_ahead(claim.priority)
        return (running_s + ahead_s) / slots

    def _is_short(self, claim: Claim, wait_s: float) -> bool:
        """Return whether a late answer is worth a wait."""
        objective_s = claim.objective_at - claim.arrived_at
        return wait_s <= self._settings.queue_objectives * objective_s

    def _pass_on(
        self, book: ServiceBook, upstream: BookedUpstream, now: float
    ) -> list[Decision]:
        """Give the room of an upstream to the first claims that fit."""
        decisions: list[Decision] = []
        for waiting in book.queue:
            if not upstream.has_room(now):
                break
            if self._takes(waiting, upstream, now):
                book.queue.remove(waiting.claim.claim_id)
                decisions.append(
                    self._start(book, upstream, waiting.claim, now)
                )
        return decisions

    def _takes(
        self, waiting: Waiting, upstream: BookedUpstream, now: float
    ) -> bool:
        claim = waiting.claim
        if not upstream.accepts(claim):
            return False
        if claim.object_key and upstream.knows(claim.object_key):
            return True
        if upstream.is_avoided() and not upstream.may_probe(now):
            return False
        if waiting.home is None:
            return True
        return now >= waiting.patient_until and upstream.has_spare()

    def _review(
        self, book: ServiceBook, waiting: Waiting, now: float
    ) -> Decision | None:
        claim = waiting.claim
        needed_s = waiting.expected_s * HOLD_MARGIN
        if now + needed_s > claim.deadline_at:
            book.queue.remove(claim.claim_id)
            return Denial(claim.claim_id, Reason.DEADLINE, RETRY_MIN_S)
        if _is_overdue(book, waiting, now):
            book.queue.remove(claim.claim_id)
            return _deny(claim, self._expect_wait(book, claim, now))
        choice = Choice(book.ranking, claim, now)
        if not choice.is_known:
            upstream = choice.find_any()
        elif now < waiting.patient_until:
            upstream = choice.find_warm()
        else:
            upstream = choice.find_warm() or choice.find_spare()
        if upstream is None:
            return None
        book.queue.remove(claim.claim_id)
        return self._start(book, upstream, claim, now)


def _is_overdue(book: ServiceBook, waiting: Waiting, now: float) -> bool:
    """Return whether a claim gives way to others that wait.

    More urgent ones came after it, and it would now be late. Serving it all
    the same would make those behind it late, too, one after the other, while
    as many are refused.
    """
    if not waiting.is_timely or len(book.queue) < 2:
        return False
    needed_s = waiting.expected_s * HOLD_MARGIN
    return now + needed_s > waiting.claim.objective_at


def _deny(claim: Claim, wait_s: float) -> Denial:
    """Tell to return when the queue will have passed, `wait_s` seconds on."""
    retry_s = min(max(wait_s, RETRY_MIN_S), RETRY_MAX_S)
    return Denial(claim.claim_id, Reason.OVERLOADED, retry_s)
