"""Settings of slot pools, upstream health and fair queues."""

FAILURES_TO_EJECT = 3
PROBE_INTERVAL_S = 1.0
PROBE_INTERVAL_LIMIT_S = 30.0
REPORT_MAX_AGE_S = 5.0
SHED_HOLD_S = 0.25
TRIAL_INTERVAL_S = 1.0
DEADLINE_MARGIN_S = 1.0
CLOSED_GRACE_S = 2.0
SLOW_RATIO = 3.0
SUCCESSES_PER_SLOT = 2
WORKSPACE_QUEUE_LIMIT = 1000
DEFAULT_COST_S = 0.1
RESERVED_SHARE = 0.2


class UpstreamSettings:
    """Limits and intervals that a slot pool applies to its upstreams.

    Times are in seconds. `slow_ratio` is the multiple of the expected
    service time above which an answer counts as slow; `successes_per_slot`
    is the number of answers that open one more slot during slow start.
    `trial_interval_s` is the time after which an idle upstream that is not
    yet healthy gets one trial request before the healthy ones.
    `closed_grace_s` is how long an upstream may still run a request after
    the request's connection was closed.
    """

    __slots__ = (
        "failures_to_eject",
        "probe_interval_s",
        "probe_interval_limit_s",
        "report_max_age_s",
        "shed_hold_s",
        "trial_interval_s",
        "deadline_margin_s",
        "closed_grace_s",
        "slow_ratio",
        "successes_per_slot",
    )

    def __init__(
        self,
        failures_to_eject: int = FAILURES_TO_EJECT,
        probe_interval_s: float = PROBE_INTERVAL_S,
        probe_interval_limit_s: float = PROBE_INTERVAL_LIMIT_S,
        report_max_age_s: float = REPORT_MAX_AGE_S,
        shed_hold_s: float = SHED_HOLD_S,
        trial_interval_s: float = TRIAL_INTERVAL_S,
        deadline_margin_s: float = DEADLINE_MARGIN_S,
        closed_grace_s: float = CLOSED_GRACE_S,
        slow_ratio: float = SLOW_RATIO,
        successes_per_slot: int = SUCCESSES_PER_SLOT,
    ):
        self.failures_to_eject = failures_to_eject
        self.probe_interval_s = probe_interval_s
        self.probe_interval_limit_s = probe_interval_limit_s
        self.report_max_age_s = report_max_age_s
        self.shed_hold_s = shed_hold_s
        self.trial_interval_s = trial_interval_s
        self.deadline_margin_s = deadline_margin_s
        self.closed_grace_s = closed_grace_s
        self.slow_ratio = slow_ratio
        self.successes_per_slot = successes_per_slot


class QueueSettings:
    """Limits of a fair queue.

    `workspace_limit` is the maximum number of waiting requests of a workspace,
    `default_cost_s` the service time in seconds assumed for a route without
    answers, and `reserved_share` the maximum fraction of all slots that is
    withheld from workspaces that exceed their fair share.
    """

    __slots__ = ("workspace_limit", "default_cost_s", "reserved_share")

    def __init__(
        self,
        workspace_limit: int = WORKSPACE_QUEUE_LIMIT,
        default_cost_s: float = DEFAULT_COST_S,
        reserved_share: float = RESERVED_SHARE,
    ):
        self.workspace_limit = workspace_limit
        self.default_cost_s = default_cost_s
        self.reserved_share = reserved_share
