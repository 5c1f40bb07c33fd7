"""The scheduler's state of one upstream: slots, cached objects and health."""

from collections import OrderedDict

from radishstile.slot.claim import Claim, Ending
from radishstile.slot.durations import DurationRatio
from radishstile.slot.load_report import LoadReport
from radishstile.slot.pace import PaceEstimate, find_factor
from radishstile.slot.rate_limit import RateLimit
from radishstile.slot.settings import SlotSettings
from radishstile.upstream.registration import Registration
from radishstile.workspace.bucket import TokenBucket

_FAILURE_ENDINGS = frozenset(
    {Ending.FAILED, Ending.SHED, Ending.BROKEN, Ending.TIMED_OUT}
)
# Assumed remaining time of a run that exceeds its expected time, in seconds.
# It is short, because the mean remaining time of late runs is not known.
MIN_REMAINING_S = 0.05
# Smallest expected hold time that a duration is compared with, in seconds.
MIN_EXPECTED_S = 0.001
# Assumed mean duration of an upstream's runs before the first, in seconds: a
# lender may know of a rate limit without a run of its own.
ASSUMED_HOLD_S = 0.4
# Endings that count for the upstream's health.
_HEALTH_ENDINGS = _FAILURE_ENDINGS | {Ending.SERVED}


class Run:
    """A claim that occupies a slot since `started_at` (event loop's clock).

    `expected_s` is the usual hold time multiplied by `pace`, the factor that
    was expected then. `fastest` and `slowest` are the limits of what has been
    reported from the last report before the start on.
    """

    __slots__ = (
        "claim",
        "started_at",
        "expected_s",
        "is_warm",
        "pace",
        "fastest",
        "slowest",
    )

    def __init__(
        self,
        claim: Claim,
        started_at: float,
        expected_s: float,
        is_warm: bool,
        pace: float = 1.0,
    ):
        self.claim = claim
        self.started_at = started_at
        self.expected_s = expected_s
        self.is_warm = is_warm
        self.pace = pace
        self.fastest = 1.0
        self.slowest = 1.0

    @property
    def usual_s(self) -> float:
        """Return the expected hold time at the usual pace, in seconds."""
        return max(self.expected_s / self.pace, MIN_EXPECTED_S)

    def normalize(self, held_s: float) -> float:
        """Return a hold time without what the reported pace explains of it."""
        ratio = held_s / self.usual_s
        return held_s / find_factor(ratio, self.fastest, self.slowest)

    def estimate_remaining(self, now: float) -> float:
        """Return the expected remaining hold time, in seconds."""
        return max(MIN_REMAINING_S, self.started_at + self.expected_s - now)


class UpstreamState:
    """The slots of one incarnation of an upstream and the runs on them.

    `allotted` is the number of slots that this scheduler may grant or lend,
    and `capacity` is that without those lent to other regions. `borrowed` is
    the number of slots borrowed, if the upstream is in another region.
    `is_untried` is whether it joined after the first list of upstreams and had
    no run yet. `rate` is the limit that the upstream names in its answers, and
    `pace` how long work takes there.
    """

    __slots__ = (
        "registration",
        "allotted",
        "capacity",
        "borrowed",
        "lent",
        "queued_work_s",
        "runs",
        "is_untried",
        "rate",
        "pace",
        "_settings",
        "_cached_objects",
        "_cold_bucket",
        "_cold_until",
        "_failure_share",
        "_durations",
        "_mean_hold_s",
        "_suspended_until",
        "_suspend_s",
        "_probed_at",
    )

    def __init__(
        self,
        registration: Registration,
        settings: SlotSettings,
        warmup_per_s: float,
        now: float,
    ):
        self.registration = registration
        self.allotted = 0
        self.capacity = 0
        self.borrowed = 0
        # Number of slots lent to each region.
        self.lent: dict[str, int] = {}
        # Expected slot-seconds of the claims that prefer this upstream, by
        # priority.
        self.queued_work_s: dict[int, float] = {}
        self.runs: dict[str, Run] = {}
        self.is_untried = False
        self.rate = RateLimit(now)
        self.pace = PaceEstimate(now)
        self._settings = settings
        self._cached_objects: OrderedDict[str, None] = OrderedDict()
        rate = warmup_per_s * settings.cold_share
        self._cold_bucket = TokenBucket(rate, 1.0, now)
        self._cold_bucket.add(1.0)
        self._cold_until = registration.cold_until
        self._failure_share = 0.0
        self._durations = DurationRatio(settings.smoothing)
        self._mean_hold_s = ASSUMED_HOLD_S
        self._suspended_until = 0.0
        self._suspend_s = settings.suspend_s
        self._probed_at = 0.0

    @property
    def upstream_id(self) -> str:
        """Return the id of the registration."""
        return self.registration.upstream_id

    @property
    def running(self) -> int:
        """Return the number of occupied slots."""
        return len(self.runs)

    @property
    def usable_share(self) -> float:
        """Return the part of its slots that its rate limit can keep busy."""
        if not self.rate.is_limited:
            return 1.0
        busy = self.rate.per_s * self._mean_hold_s
        return min(1.0, busy / max(1, self.registration.slots))

    def resize(self) -> None:
        """Set the capacity from the slots allotted, lent and borrowed."""
        free = max(0, self.allotted - sum(self.lent.values()))
        self.capacity = free + self.borrowed
        self.rate.resize(self.capacity / max(1, self.registration.slots))

    def update(self, registration: Registration) -> None:
        """Apply a changed registration of the same incarnation."""
        self.registration = registration
        self._cold_until = max(self._cold_until, registration.cold_until)

    def is_cold(self, now: float) -> bool:
        """Return whether the upstream is still warming up."""
        return now < self._cold_until

    def measure_pace(self, now: float) -> float:
        """Return how long work takes at this moment, 1.0 as usual."""
        return self.pace.measure(now)

    def is_avoided(self) -> bool:
        """Return whether too many recent runs failed or were slow."""
        return (
            self._failure_share > self._settings.trouble_limit
            or self._durations.value > self._settings.slow_ratio
        )

    @property
    def is_unreachable(self) -> bool:
        """Return whether it could not be reached since its last good run."""
        return self._suspend_s > self._settings.suspend_s

    def is_suspended(self, now: float) -> bool:
        """Return whether the upstream could not be reached just before."""
        return now < self._suspended_until

    def has_free_slot(self, now: float) -> bool:
        """Return whether a claim may start now."""
        if self.running >= self.capacity or self.is_suspended(now):
            return False
        if not self.rate.has_token(now):
            return False
        if not self.is_cold(now):
            return True
        self._cold_bucket.refill(now)
        return self._cold_bucket.level >= 1

    def is_probe_due(self, now: float) -> bool:
        """Return whether an avoided upstream may get a probe request."""
        return now - self._probed_at >= self._settings.probe_s

    def accepts(self, claim: Claim) -> bool:
        """Return whether the claim allows this upstream."""
        if self.upstream_id in claim.excluded:
            return False
        return not claim.regions or self.registration.region in claim.regions

    def has_cached(self, object_key: str) -> bool:
        """Return whether the upstream has probably cached the object.

        An upstream that runs a request for the object counts as well, because
        it is about to cache it.
        """
        if object_key in self._cached_objects:
            return True
        return any(
            run.claim.object_key == object_key for run in self.runs.values()
        )

    def list_warm(self) -> list[str]:
        """Return the keys of the objects cached or about to be."""
        running = (run.claim.object_key for run in self.runs.values())
        return [*self._cached_objects, *filter(None, running)]

    def measure_suspension(self, now: float) -> float:
        """Return the seconds until it may be used again."""
        return max(0.0, self._suspended_until - now)

    def list_remaining(self, now: float) -> list[float]:
        """Return the times until each of its slots is free, in seconds."""
        suspension_s = self.measure_suspension(now)
        # Written out, as it is computed for each run at most decisions.
        least_s = max(MIN_REMAINING_S, suspension_s)
        remaining = [
            end_s if end_s > least_s else least_s
            for run in self.runs.values()
            for end_s in (run.started_at + run.expected_s - now,)
        ]
        missing = self.capacity - len(remaining)
        if missing >= 0:
            return remaining + [suspension_s] * missing
        # The number of slots has shrunk: the first runs to end free none.
        return sorted(remaining)[-missing:]

    def list_cached(self) -> list[str]:
        """Return the keys of the cached objects, by their last run."""
        return list(self._cached_objects)

    def restore_cached(self, object_keys: list[str]) -> None:
        """Add objects that were cached before those known here were run."""
        known = list(self._cached_objects)
        self._cached_objects.clear()
        for object_key in object_keys + known:
            self._record_cached(object_key)

    def has_idle_slots(self) -> bool:
        """Return whether half of the slots stay free after one more run."""
        return 2 * (self.running + 1) <= self.capacity

    def estimate_wait(self, priority: int, now: float) -> float:
        """Return the expected wait of a new claim for a slot, in seconds.

        It counts the current runs and those waiting claims that prefer this
        upstream and are at least as urgent.
        """
        running_s = sum(
            run.estimate_remaining(now) for run in self.runs.values()
        )
        queued_s = self.sum_queued_work(priority)
        wait_s = (running_s + queued_s) / self.capacity
        if not self.rate.is_limited:
            return wait_s
        ahead = queued_s / self._mean_hold_s
        return max(wait_s, self.rate.estimate_wait(ahead, now))

    def sum_queued_work(self, priority: int) -> float:
        """Return the slot-seconds of claims at least as urgent."""
        return sum(
            work_s
            for rank, work_s in self.queued_work_s.items()
            if rank <= priority
        )

    def start(self, run: Run) -> None:
        """Occupy a slot with a run."""
        run.fastest = run.slowest = self.pace.read_recent(run.started_at)
        self.runs[run.claim.claim_id] = run
        self.is_untried = False
        self.rate.take(run.started_at)
        if self.is_cold(run.started_at):
            self._cold_bucket.take(1.0)
        if self.is_avoided():
            self._probed_at = run.started_at

    def finish(
        self, claim_id: str, ending: Ending, held_s: float, now: float
    ) -> Run:
        """Free a slot and update health and cached objects."""
        run = self.runs.pop(claim_id)
        if ending is Ending.UNREACHABLE:
            self._suspend(now)
        elif ending is Ending.MISDIRECTED:
            # The address belongs to another upstream, whose registration
            # will arrive soon.
            self._suspended_until = now + self._settings.suspend_max_s
        elif ending in _HEALTH_ENDINGS:
            self._record_ending(run, ending, held_s)
        return run

    def record_load(self, report: LoadReport, now: float) -> bool:
        """Apply a report of this upstream; return whether it was of use."""
        if not self.pace.record(report, now):
            return False
        for run in self.runs.values():
            run.fastest = min(run.fastest, report.pace)
            run.slowest = max(run.slowest, report.pace)
        return True

    def _suspend(self, now: float) -> None:
        self._suspended_until = now + self._suspend_s
        doubled = 2 * self._suspend_s
        self._suspend_s = min(doubled, self._settings.suspend_max_s)
        self._cached_objects.clear()

    def _record_ending(self, run: Run, ending: Ending, held_s: float) -> None:
        smoothing = self._settings.smoothing
        is_bad = ending in _FAILURE_ENDINGS
        self._failure_share += smoothing * (is_bad - self._failure_share)
        if ending is Ending.SERVED:
            self._suspend_s = self._settings.suspend_s
            self._mean_hold_s += smoothing * (held_s - self._mean_hold_s)
        if ending in (Ending.SERVED, Ending.TIMED_OUT):
            ratio = run.normalize(held_s) / run.usual_s
            self._durations.record(ratio, self.pace.is_reported)
        if ending is Ending.SERVED and run.claim.object_key:
            self._record_cached(run.claim.object_key)

    def _record_cached(self, object_key: str) -> None:
        self._cached_objects[object_key] = None
        self._cached_objects.move_to_end(object_key)
        if len(self._cached_objects) > self._settings.warm_objects:
            self._cached_objects.popitem(last=False)
