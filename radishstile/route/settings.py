"""Settings of the order of candidate zones."""

HINT_MAX_AGE_S = 2.0
HEADROOM_MIN = 0.1
WAIT_MAX_S = 1.0


class ChoiceSettings:
    """Limits for candidate zones and the hints on their free slots.

    Older hints than `hint_max_age_s` seconds are ignored. A candidate is full
    if its expected wait exceeds `wait_max_s` seconds, and unusable if its link
    has less headroom than `headroom_min`, a fraction from 0 to 1.
    """

    __slots__ = ("hint_max_age_s", "headroom_min", "wait_max_s")

    def __init__(
        self,
        hint_max_age_s: float = HINT_MAX_AGE_S,
        headroom_min: float = HEADROOM_MIN,
        wait_max_s: float = WAIT_MAX_S,
    ):
        self.hint_max_age_s = hint_max_age_s
        self.headroom_min = headroom_min
        self.wait_max_s = wait_max_s
