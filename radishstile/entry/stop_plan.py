"""Which requests a host takes while it stops, and when it ends them."""

# Time after the signal in which any request is taken, in seconds: callers
# learn of other hosts within it.
ANY_REQUEST_S = 3.0
# Share of the grace period after which no request is taken.
TAKING_SHARE = 0.5
# Time at the end of the grace period in which the process closes what is still
# open and ends, in seconds, and its upper limit as a share of the period.
END_S = 0.9
MAX_END_SHARE = 0.15
# Time in which a request that waits in vain is answered, in seconds.
ANSWER_S = 0.2


class StopPlan:
    """The phases of a stop, in seconds of the event loop's time.

    Any request is taken until `takes_any_until`, then those whose deadline
    comes before `ends_at`, and none after `takes_until`. Requests without a
    slot are refused at `grants_until`; all others end at `ends_at`.
    """

    __slots__ = ("takes_any_until", "takes_until", "grants_until", "ends_at")

    def __init__(self, stopped_at: float, grace_s: float):
        taking_s = grace_s * TAKING_SHARE
        self.takes_any_until = stopped_at + min(ANY_REQUEST_S, taking_s)
        self.takes_until = stopped_at + taking_s
        end_s = min(END_S, grace_s * MAX_END_SHARE)
        self.ends_at = stopped_at + grace_s - end_s
        self.grants_until = self.ends_at - min(ANSWER_S, end_s)

    def may_take(self, received_at: float, deadline_at: float) -> bool:
        """Return whether to take a request that arrived at a time."""
        if received_at > self.takes_until:
            return False
        return (
            received_at <= self.takes_any_until or deadline_at <= self.ends_at
        )

    def may_send(
        self, now: float, expected_s: float, deadline_at: float
    ) -> bool:
        """Return whether a run of `expected_s` seconds is likely to end."""
        return min(now + expected_s, deadline_at) <= self.ends_at
