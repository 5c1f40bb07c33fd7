"""Start-time fair queueing: who is served next, in virtual time.

Each flow has a start tag, the virtual time at which its next work starts. The
eligible flow with the smallest start tag is served first; its tag then grows
by the work divided by its weight.
"""

from collections.abc import Iterable


class FairFlow:
    """One of the flows that share a server.

    `weight` sets its share relative to the others; `start_tag` is in seconds
    of service for each unit of weight.
    """

    __slots__ = ("weight", "start_tag")

    def __init__(self, weight: float = 1.0):
        self.weight = weight
        self.start_tag = 0.0

    def correct(self, work_s: float) -> None:
        """Add work that differs from what was charged, in seconds."""
        self.start_tag += work_s / self.weight


class FairClock:
    """The virtual time of the flows that share a server."""

    __slots__ = ("virtual_time",)

    def __init__(self):
        self.virtual_time = 0.0

    def activate(self, flow: FairFlow) -> None:
        """Count a flow that had no work as active; idle time is no credit."""
        flow.start_tag = max(flow.start_tag, self.virtual_time)

    def charge(
        self,
        flow: FairFlow,
        work_s: float,
        waiting: Iterable[FairFlow] = (),
    ) -> None:
        """Start work of an active flow, in expected seconds.

        `waiting` are the flows with waiting work, where one may be served
        before others with smaller tags because only its work fits. The
        virtual time does not pass those, else it would forgive what the
        flows ahead of them have used.
        """
        if flow.start_tag > self.virtual_time:
            first = min(
                (other.start_tag for other in waiting),
                default=flow.start_tag,
            )
            first = min(first, flow.start_tag)
            self.virtual_time = max(self.virtual_time, first)
        flow.correct(work_s)
