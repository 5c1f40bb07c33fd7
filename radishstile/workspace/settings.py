"""Settings of request admission by workspace rate limits."""


class AdmissionSettings:
    """Limits of waiting and of claims, all in seconds.

    `admit_wait_s` limits the wait for a token, `exhausted_wait_s` the wait
    while the workspace exceeds its rate. Claims are at least
    `claim_spacing_s` apart, `exhausted_claim_s` while requests wait and the
    workspace exceeds its rate, and `idle_claim_s` if only the demand has
    changed. A host without requests for `idle_return_s` returns its
    allotment. Demand is averaged over up to `steady_window_s`, and over
    `demand_window_s` after it changed. Requests that will get tokens within
    `short_wait_s` don't cause a claim.
    """

    __slots__ = (
        "admit_wait_s",
        "exhausted_wait_s",
        "claim_spacing_s",
        "exhausted_claim_s",
        "idle_claim_s",
        "idle_return_s",
        "demand_window_s",
        "steady_window_s",
        "short_wait_s",
    )

    def __init__(
        self,
        admit_wait_s: float = 1.0,
        exhausted_wait_s: float = 0.25,
        claim_spacing_s: float = 0.02,
        exhausted_claim_s: float = 0.25,
        idle_claim_s: float = 1.0,
        idle_return_s: float = 5.0,
        demand_window_s: float = 1.0,
        steady_window_s: float = 10.0,
        short_wait_s: float = 0.15,
    ):
        self.admit_wait_s = admit_wait_s
        self.exhausted_wait_s = exhausted_wait_s
        self.claim_spacing_s = claim_spacing_s
        self.exhausted_claim_s = exhausted_claim_s
        self.idle_claim_s = idle_claim_s
        self.idle_return_s = idle_return_s
        self.demand_window_s = demand_window_s
        self.steady_window_s = steady_window_s
        self.short_wait_s = short_wait_s
