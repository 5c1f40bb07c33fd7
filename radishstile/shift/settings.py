"""Settings of planned moves."""


class MoveSettings:
    """Settings of the steps and reports of planned moves.

    `answer_ttl_s` is the time that callers keep look-up answers. A
    measurement older than `max_age_s` is not used.
    `reserve` is the fraction of the target's slots that a step leaves free.
    The target is hot if the free fraction is below `hot_free`, or the queue
    is above `hot_queue` as a fraction of the slots. `cold_factor` is how
    many times longer a request takes on a cold target. For a hot target the
    share is reduced by the fraction `step_back`, at least by the move's
    step, and again after a measurement `step_back_pace_s` later. `min_step`
    is the smallest increase of the share. `burst_s` is the burst of a move's
    cap in seconds at the cap. Hosts report every `report_s`, and less often
    if the owner of a move would get more than `reports_per_s`.
    """

    __slots__ = (
        "answer_ttl_s",
        "max_age_s",
        "reserve",
        "hot_free",
        "hot_queue",
        "cold_factor",
        "step_back",
        "step_back_pace_s",
        "min_step",
        "burst_s",
        "report_s",
        "reports_per_s",
    )

    def __init__(
        self,
        answer_ttl_s: float = 5.0,
        max_age_s: float = 10.0,
        reserve: float = 0.2,
        hot_free: float = 0.05,
        hot_queue: float = 0.05,
        cold_factor: float = 2.0,
        step_back: float = 0.25,
        step_back_pace_s: float = 2.0,
        min_step: float = 0.001,
        burst_s: float = 0.1,
        report_s: float = 1.0,
        reports_per_s: float = 150.0,
    ):
        self.answer_ttl_s = answer_ttl_s
        self.max_age_s = max_age_s
        self.reserve = reserve
        self.hot_free = hot_free
        self.hot_queue = hot_queue
        self.cold_factor = cold_factor
        self.step_back = step_back
        self.step_back_pace_s = step_back_pace_s
        self.min_step = min_step
        self.burst_s = burst_s
        self.report_s = report_s
        self.reports_per_s = reports_per_s

    def choose_interval(self, hosts: int) -> float:
        """Return the seconds between the reports of each of `hosts`."""
        return max(self.report_s, hosts / self.reports_per_s)
