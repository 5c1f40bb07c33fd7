"""Settings of the book of slots."""


class SlotSettings:
    """How claims are placed, how long they wait, and when they are refused.

    Times are in seconds.

    `warm_objects`: objects that an upstream is taken to remember; the
    smallest memory on the users' sheets is 25.
    `queue_objectives`: longest expected wait, in objectives, of a claim that
    can't be answered within its objective any more; an answer that is late
    earns a fifth, so it must not push out those in time.
    `slow_ratio`: held time over the expected one at which an upstream counts
    as slow; a cold run takes up to 3.3 times a warm one, a slow upstream 4
    to 12 times.
    `trouble_limit`: share of bad endings at which an upstream is avoided;
    the sheets have 0.4% of plain failures, a failing upstream 30% or more.
    `suspend_s`, `suspend_max_s`: pause after an upstream could not be
    reached, doubled each time; crashed ones are back after some seconds.
    `probe_s`: time between claims that are sent to an avoided upstream.
    `cold_share`: part of the rate a cold upstream tolerates that is used.
    `smoothing`: weight of a new sample in each running mean.
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
