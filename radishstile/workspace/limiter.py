"""Enforces a host's allotment of one workspace's rate and burst."""

import math

from radishstile.fleet.allotment import Allotment, Claim, Identity
from radishstile.fleet.holding import Holding
from radishstile.workspace.bucket import TokenBucket
from radishstile.workspace.settings import AdmissionSettings

# Relative change of demand that is worth a new claim.
DEMAND_CHANGE_RATIO = 0.25
# Mean arrival intervals without a request before stated demand decreases.
SILENT_INTERVALS_MAX = 5
# Standard deviations by which recent demand must differ from the average.
DEMAND_SHIFT_DEVIATIONS = 4


class Reservation:
    """A token reserved for one request, spent when the request is sent.

    `expires_at` is in seconds of the loop's clock. Only tokens of
    unregistered hosts expire, since a new owner does not know of them.
    """

    __slots__ = ("_limiter", "_generation", "expires_at", "is_settled")

    def __init__(
        self, limiter: "RateLimiter", generation: int, expires_at: float
    ):
        self._limiter = limiter
        self._generation = generation
        self.expires_at = expires_at
        self.is_settled = False

    def spend(self, now: float) -> bool:
        """Spend the token; return False if it is settled, void or expired."""
        if self.is_settled:
            return False
        if self._generation != self._limiter.generation:
            self.is_settled = True
            return False
        if now > self.expires_at:
            self.cancel(now)
            return False
        self.is_settled = True
        self._limiter.spend(now)
        return True

    def cancel(self, now: float) -> None:
        """Release the token, unless it was spent."""
        if self.is_settled:
            return
        self.is_settled = True
        if self._generation == self._limiter.generation:
            self._limiter.cancel(now)


class RateLimiter:
    """Spends this host's allotment of a workspace's limit and claims more.

    Tokens are in the bucket or borrowed. The owner grants a borrowed token
    for one waiting request; it is void once that request is sent or ends.
    A change of `generation` voids all reservations.
    """

    __slots__ = (
        "identity",
        "settings",
        "is_registered",
        "generation",
        "is_exhausted",
        "waiting",
        "_holding",
        "_bucket",
        "_reserved_borrowed",
        "_unreserved_borrowed",
        "_returned",
        "_serial",
        "_recent_demand",
        "_steady_demand",
        "_steady_since",
        "_last_arrival_at",
        "_last_claim_at",
        "_last_claim",
        "_is_claim_requested",
    )

    def __init__(
        self,
        resource: str,
        identity: Identity,
        settings: AdmissionSettings,
        now: float,
        is_registered: bool = True,
    ):
        self.identity = identity
        self.settings = settings
        self.is_registered = is_registered
        self.generation = 0
        self.is_exhausted = False
        self.waiting = 0
        self._holding = Holding(resource)
        self._bucket = TokenBucket(0.0, 0.0, now)
        self._reserved_borrowed = 0
        self._unreserved_borrowed = 0
        self._returned = 0.0
        self._serial = 0
        self._recent_demand = 0.0
        self._steady_demand = 0.0
        self._steady_since = now
        self._last_arrival_at = now
        self._last_claim_at = -math.inf
        self._last_claim: Claim | None = None
        self._is_claim_requested = False

    @property
    def holding(self) -> Holding:
        """Return the rate and burst held, with their epoch and number."""
        return self._holding

    @property
    def bucket(self) -> TokenBucket:
        """Return the bucket that refills at the rate held."""
        return self._bucket

    @property
    def borrowed(self) -> int:
        """Return the number of unspent tokens outside the bucket."""
        return self._reserved_borrowed + self._unreserved_borrowed

    @property
    def has_owner_answered(self) -> bool:
        """Return whether the owner of the current epoch has answered."""
        return self._holding.number > 0

    def record_arrival(self, now: float) -> None:
        """Add one request to the measured demand."""
        window_s = self._choose_window(now)
        steady = self._decay(self._steady_demand, window_s, now)
        self._recent_demand = self._measure_recent_demand(now)
        self._recent_demand += 1 / self.settings.demand_window_s
        self._steady_demand = steady + 1 / window_s
        self._last_arrival_at = now
        if self._has_demand_shifted():
            self._steady_demand = self._recent_demand
            self._steady_since = now

    def record_waiting(self, change: int) -> None:
        """Add `change` to the waiting requests; drop surplus borrowed tokens.

        At most as many unreserved borrowed tokens are kept as requests wait.
        """
        self.waiting += change
        self._unreserved_borrowed = min(
            self._unreserved_borrowed, self.waiting
        )

    def reserve(self, now: float) -> Reservation | None:
        """Reserve a token for one request, or return None if none is free."""
        if self._unreserved_borrowed > 0:
            self._unreserved_borrowed -= 1
            self._reserved_borrowed += 1
            return self._build_reservation(now)
        if not self._bucket.reserve(now):
            return None
        return self._build_reservation(now)

    def spend(self, now: float) -> None:
        """Remove a reserved token; borrowed ones go first."""
        if self._reserved_borrowed > 0:
            self._reserved_borrowed -= 1
            return
        self._bucket.spend(now)

    def cancel(self, now: float) -> None:
        """Release a reserved token, those in the bucket first.

        A borrowed token is dropped.
        """
        if self._bucket.reserved > 0:
            self._bucket.cancel()
            return
        self._reserved_borrowed -= 1

    def time_until_available(self, now: float, tokens: int = 1) -> float:
        """Return the seconds until `tokens` are free without a new claim."""
        if self._unreserved_borrowed >= tokens:
            return 0.0
        return self._bucket.time_until_available(
            tokens - self._unreserved_borrowed, now
        )

    def is_wait_futile(self, now: float) -> bool:
        """Return whether one more request would wait too long for a token.

        Always False on a host without a burst: its tokens come from the
        owner, so their time is not known here.
        """
        if not self.is_exhausted or self._holding.burst < 1:
            return False
        wait_s = self.time_until_available(now, self.waiting + 1)
        return wait_s > self.settings.exhausted_wait_s

    def adopt(self, epoch: int, now: float) -> None:
        """Answer the inquiry of an owner; switch to it if it is newer.

        Owners inquire again until they have a claim, so each inquiry of the
        current epoch requests one: the last claim may have been lost.
        Borrowed tokens of an unregistered host become void, since a new
        owner has not counted them.
        """
        if epoch < self._holding.epoch:
            return
        self._is_claim_requested = True
        if not self._holding.adopt_epoch(epoch):
            return
        self.is_exhausted = False
        self._returned = 0.0
        if not self.is_registered:
            self._reserved_borrowed = 0
            self._unreserved_borrowed = 0
            self.generation += 1

    def apply(self, allotment: Allotment, now: float) -> bool:
        """Apply an allotment; return False if it is not newer."""
        if not self._holding.apply(allotment):
            return False
        self._returned = 0.0
        self.is_exhausted = allotment.is_exhausted
        self._resize(now)
        self._bucket.add(allotment.level)
        free = max(0, self.waiting - self._unreserved_borrowed)
        self._unreserved_borrowed += min(allotment.at_once, free)
        return True

    def return_all(self, now: float) -> None:
        """Return all rate and burst; reserved tokens become borrowed."""
        self._holding.shrink(0.0, 0)
        self._resize(now)

    def claim_due_at(self, now: float) -> float:
        """Return when to check for a claim next, in the loop's seconds.

        Returns infinity if only a new event can make a claim due.
        """
        spacing_s = self._choose_spacing(now)
        if spacing_s < math.inf:
            return self._last_claim_at + spacing_s
        if self._is_holding():
            return now + self.settings.idle_claim_s
        return math.inf

    def make_claim(self, now: float) -> Claim | None:
        """Return the next claim, or None if none is due."""
        if now < self.claim_due_at(now):
            return None
        self._is_claim_requested = False
        if self._is_idle(now):
            self.return_all(now)
        self._bucket.refill(now)
        self._serial += 1
        self._last_claim_at = now
        self._last_claim = Claim(
            self._holding.resource,
            self.identity,
            self._serial,
            self._holding.epoch,
            self._holding.number,
            self._holding.rate,
            self._holding.burst,
            self.borrowed,
            self._returned,
            self._bucket.level,
            self._measure_demand(now),
            max(0, self.waiting - self._unreserved_borrowed),
        )
        return self._last_claim

    def _build_reservation(self, now: float) -> Reservation:
        expires_at = math.inf
        if not self.is_registered:
            expires_at = now + self.settings.admit_wait_s
        return Reservation(self, self.generation, expires_at)

    def _resize(self, now: float) -> None:
        """Resize the bucket to the holding.

        Reserved tokens above the new burst become borrowed.
        """
        self._bucket.refill(now)
        surplus = self._bucket.reserved - self._holding.burst
        if surplus > 0:
            self._bucket.reserved -= surplus
            self._bucket.take(surplus)
            self._reserved_borrowed += surplus
        self._returned += self._bucket.resize(
            self._holding.rate, self._holding.burst, now
        )

    def _measure_demand(self, now: float) -> float:
        """Return the demand to claim for, in requests a second.

        It is an average over a long window that restarts when demand shifts.
        A silence lowers it, down to zero after `idle_return_s`.
        """
        elapsed_s = max(0.0, now - self._last_arrival_at)
        if elapsed_s >= self.settings.idle_return_s:
            return 0.0
        window_s = self._choose_window(now)
        demand = self._decay(self._steady_demand, window_s, now)
        if elapsed_s <= 0:
            return demand
        return min(demand, SILENT_INTERVALS_MAX / elapsed_s)

    def _measure_recent_demand(self, now: float) -> float:
        return self._decay(
            self._recent_demand, self.settings.demand_window_s, now
        )

    def _decay(self, demand: float, window_s: float, now: float) -> float:
        elapsed_s = max(0.0, now - self._last_arrival_at)
        return demand * math.exp(-elapsed_s / window_s)

    def _choose_window(self, now: float) -> float:
        """Return the window of the steady demand's average, in seconds."""
        shortest_s = self.settings.demand_window_s
        longest_s = self.settings.steady_window_s
        return min(longest_s, max(shortest_s, now - self._steady_since))

    def _has_demand_shifted(self) -> bool:
        """Return whether recent demand differs by more than chance.

        The standard deviation of an exponentially weighted rate of Poisson
        arrivals is the square root of rate / (2 * window).
        """
        window_s = self.settings.demand_window_s
        deviation = math.sqrt((self._steady_demand + 1) / (2 * window_s))
        change = abs(self._recent_demand - self._steady_demand)
        return change > DEMAND_SHIFT_DEVIATIONS * deviation

    def _is_idle(self, now: float) -> bool:
        quiet_s = now - self._last_arrival_at
        return self._is_holding() and quiet_s >= self.settings.idle_return_s

    def _choose_spacing(self, now: float) -> float:
        """Return the seconds from the last claim to the next, or infinity."""
        last_claim = self._last_claim
        if self._is_claim_requested:
            return 0.0
        if last_claim is None:
            is_needed = self.waiting > 0 or self._recent_demand > 0
            return 0.0 if is_needed else math.inf
        if self._has_holding_changed(last_claim):
            return self.settings.claim_spacing_s
        if self._is_claim_faster_than_refill(now):
            if self.is_exhausted:
                return self.settings.exhausted_claim_s
            return self.settings.claim_spacing_s
        if self._has_demand_changed(last_claim, now) or self._is_idle(now):
            return self.settings.idle_claim_s
        return math.inf

    def _is_claim_faster_than_refill(self, now: float) -> bool:
        """Return whether the queue waits longer than a claim would take."""
        if self.waiting <= self._unreserved_borrowed:
            return False
        wait_s = self.time_until_available(now, self.waiting)
        return wait_s > self.settings.short_wait_s

    def _is_holding(self) -> bool:
        return self._holding.rate > 0 or self._holding.burst > 0

    def _has_holding_changed(self, last_claim: Claim) -> bool:
        return (
            last_claim.epoch != self._holding.epoch
            or last_claim.number != self._holding.number
            or last_claim.burst != self._holding.burst
            or self.borrowed < last_claim.borrowed
        )

    def _has_demand_changed(self, last_claim: Claim, now: float) -> bool:
        demand = self._measure_demand(now)
        return (
            abs(demand - last_claim.demand)
            > DEMAND_CHANGE_RATIO * last_claim.demand
        )
