"""Settings of the slot scheduler."""


class SlotSettings:
    """Limits of placement, waiting and upstream health. Times are in seconds.

    `warm_objects`: number of objects that an upstream is assumed to cache;
    the smallest configured cache holds 25.
    `queue_objectives`: maximum expected wait, as a multiple of the objective,
    of a claim that will miss its objective; a late answer is worth a fifth of
    a timely one, so it must not displace those.
    `slow_ratio`: ratio of actual to expected hold time above which an
    upstream counts as slow; a cold run takes up to 3.3 times as long as a
    warm one, a run on a slow upstream 4 to 12 times.
    `trouble_limit`: fraction of failed runs above which an upstream is
    avoided; 0.4% of runs fail on a healthy upstream, 30% or more on a failing
    one.
    `suspend_s`, `suspend_max_s`: initial and maximum pause after an upstream
    could not be reached, doubled each time; a crashed upstream restarts
    within seconds.
    `probe_s`: time between probe requests to an avoided upstream.
    `cold_share`: used fraction of the rate that a cold upstream tolerates.
    `smoothing`: weight of a new sample in each moving average.
    `is_shared`: whether workspaces and priorities compete for the slots, each
    with its fair share.
    """

    __slots__ = (
        "warm_objects",
        "queue_objectives",
        "slow_ratio",
        "trouble_limit",
        "suspend_s",
        "suspend_max_s",
        "probe_s",
        "cold_share",
        "smoothing",
        "is_shared",
    )

    def __init__(
        self,
        warm_objects: int = 25,
        queue_objectives: float = 0.5,
        slow_ratio: float = 2.5,
        trouble_limit: float = 0.3,
        suspend_s: float = 0.5,
        suspend_max_s: float = 4.0,
        probe_s: float = 1.0,
        cold_share: float = 0.8,
        smoothing: float = 0.2,
        is_shared: bool = False,
    ):
        self.warm_objects = warm_objects
        self.queue_objectives = queue_objectives
        self.slow_ratio = slow_ratio
        self.trouble_limit = trouble_limit
        self.suspend_s = suspend_s
        self.suspend_max_s = suspend_max_s
        self.probe_s = probe_s
        self.cold_share = cold_share
        self.smoothing = smoothing
        self.is_shared = is_shared
