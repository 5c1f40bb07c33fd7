"""The scheduler's state of one service."""

from collections import Counter

from radishstile.slot.claim import Claim
from radishstile.slot.estimate import HoldTimeEstimate
from radishstile.slot.ranking import Ranking
from radishstile.slot.selector import UpstreamSelector

# Minimum weight of a new sample in the moving average of demand, and the time
# between samples in seconds. The resulting time constant of about four seconds
# is shorter than daily changes of load and longer than the onset of a burst.
# The first samples weigh more, because there is no history yet.
MIN_SAMPLE_WEIGHT = 0.12
DEMAND_SAMPLE_INTERVAL_S = 0.5
# Longest time that a sample covers, in seconds: a renewal of loans whose
# answers time out takes 1.5 s. A longer one began before the host led, when
# it had no claims, and would halve the estimate of a new leader.
MAX_DEMAND_SAMPLE_S = 2.0
# Time from a sample until loans that are planned from it are in use, in
# seconds: half an interval of renewals and of heartbeats, and two round trips
# between regions.
FORECAST_S = 1.0
# Largest part of the moving average by which a forecast differs from it. A
# wave of 55% in 36 s changes demand by up to 0.1 a second, so the average lags
# by 0.4; chance and bursts look alike at first. In a model of three regions
# with such waves a bound of 0.25 served slightly more than one of 0.5.
MAX_TREND_SHARE = 0.25
# Time constant of the moving average, in seconds.
_AVERAGING_S = DEMAND_SAMPLE_INTERVAL_S / MIN_SAMPLE_WEIGHT
# Samples that a restored estimate counts as.
RESTORED_SAMPLES = 4


class ServiceState:
    """The upstreams and the estimates of one service.

    `demand` is the moving average of the slots that all claims together would
    occupy, or None until the first claim. `is_short` is whether the demand of
    all regions exceeds what they plan to use.
    """

    __slots__ = (
        "ranking",
        "estimates",
        "demand",
        "choices",
        "is_short",
        "_smoothed_demand",
        "_offered_work_s",
        "_sample_count",
    )

    def __init__(self):
        self.ranking = Ranking([], "")
        self.estimates: dict[str, HoldTimeEstimate] = {}
        self.demand: float | None = None
        # Choices among upstreams that report their pace, by reason.
        self.choices: Counter[str] = Counter()
        self.is_short = False
        # Moving average of the moving average. It lags twice as far behind, so
        # that their difference is the lag of the first.
        self._smoothed_demand = 0.0
        self._offered_work_s = 0.0
        self._sample_count = 0

    def select(self, claim: Claim, now: float) -> UpstreamSelector:
        """Return the upstreams that accept a claim."""
        return UpstreamSelector(self.ranking, claim, now, self.choices)

    def count_slots(self) -> int:
        """Return the number of slots that claims may get."""
        return sum(upstream.capacity for upstream in self.ranking.upstreams)

    def record_claim(self, expected_s: float) -> None:
        """Add a claim's expected slot-seconds to the current sample."""
        self._offered_work_s += expected_s

    def drop_sample(self) -> None:
        """Begin a new sample without the claims of the current one."""
        self._offered_work_s = 0.0

    def restore_demand(self, demand: float) -> None:
        """Set the estimate of a scheduler that was lost, unless it is known.

        It counts as some samples: just after a restart many claims are
        callers that come back.
        """
        if self.demand is None:
            self.demand = demand
            self._smoothed_demand = demand
            self._sample_count = RESTORED_SAMPLES

    def sample_demand(self, elapsed_s: float, prior: float) -> None:
        """Add the claims since the last sample to the moving average.

        `prior` is the initial estimate of demand, in slots.
        """
        if self.demand is None:
            if not self._offered_work_s:
                return
            self.demand = prior
            self._smoothed_demand = prior
        sample = self._offered_work_s / elapsed_s
        self._offered_work_s = 0.0
        self._sample_count += 1
        # The prior counts as one sample.
        weight = max(MIN_SAMPLE_WEIGHT, 1 / (1 + self._sample_count))
        self.demand += weight * (sample - self.demand)
        difference = self.demand - self._smoothed_demand
        self._smoothed_demand += weight * difference

    def estimate_demand(self) -> float | None:
        """Return the slots to plan for.

        Where capacity is short it is the forecast, since a region whose demand
        falls would keep slots that others lack. Elsewhere the average
        suffices, and loans stay calm.
        """
        if self.demand is None or not self.is_short:
            return self.demand
        if self._sample_count * MIN_SAMPLE_WEIGHT < 1:
            # The averages have no history, so their difference is no trend.
            return self.demand
        lag = self.demand - self._smoothed_demand
        trend = lag * (1 + FORECAST_S / _AVERAGING_S)
        limit = MAX_TREND_SHARE * self.demand
        return self.demand + max(-limit, min(limit, trend))
