"""Divides a limit among its holders by their demand."""

from radishstile.fleet.account import HolderAccount

DEMAND_HEADROOM = 2.0
POOL_RATE_SHARE = 0.02
POOL_BURST_SHARE = 0.1
MIN_BURST = 1
MIN_ALLOTTED_SHARE = 0.5
RECALL_TOLERANCE = 0.1
GROWTH_TOLERANCE = 0.02


class Share:
    """A holder's target: `rate` in units a second, `burst` in whole units."""

    __slots__ = ("rate", "burst")

    def __init__(self, rate: float, burst: int):
        self.rate = rate
        self.burst = burst

    def measure_shortfall(self, account: HolderAccount) -> float:
        """Return the rate that the holder still needs.

        A holder without a share is served from the pool by its demand.
        """
        needed = self.rate if self.burst >= MIN_BURST else account.demand
        return max(0.0, needed - account.current_rate)

    def is_exceeded_by(self, account: HolderAccount) -> bool:
        """Return whether the holder has more than its share and a margin."""
        margin = 1 + RECALL_TOLERANCE
        return (
            account.current_rate > self.rate * margin
            or account.current_burst > self.burst * margin
        )

    def is_unmet_by(self, account: HolderAccount) -> bool:
        """Return whether the holder has less than its share and a margin."""
        margin = 1 - GROWTH_TOLERANCE
        return (
            account.rate < self.rate * margin
            or account.burst < self.burst * margin
        )


def divide_limit(
    rate: float, burst: int, accounts: list[HolderAccount]
) -> list[Share]:
    """Return a share for each account, in order.

    A holder's share is proportional to its demand, with headroom. The pool
    keeps a part for waiting requests, less where one holder has most of the
    demand. A share with a burst below one token could admit nothing, so it
    stays in the pool, which grants tokens to that holder's waiting requests.
    """
    demand = sum(account.demand for account in accounts)
    if demand <= 0:
        return [Share(0.0, 0) for _ in accounts]
    return [
        _compute_share(rate, burst, account.demand, demand)
        for account in accounts
    ]


def _compute_share(
    rate: float, burst: int, demand: float, total_demand: float
) -> Share:
    part = demand / total_demand
    use = DEMAND_HEADROOM * total_demand / rate if rate > 0 else 1.0
    used_part = part * max(MIN_ALLOTTED_SHARE, min(1.0, use))
    rate_part = used_part * (1 - POOL_RATE_SHARE * (1 - part))
    burst_part = used_part * (1 - POOL_BURST_SHARE * (1 - part))
    whole_burst = int(burst * burst_part)
    if whole_burst < MIN_BURST:
        return Share(0.0, 0)
    return Share(rate * rate_part, whole_burst)
