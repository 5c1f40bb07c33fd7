"""Settings of region capacity and links between regions."""

GROW_DELAY_S = 60.0
LINK_BURST_S = 0.1
HEADROOM_WINDOW_S = 1.0
BYTES_PER_MBIT = 125_000
# Fractions of a link's rate for request bodies and for answers.
BODY_SHARE = 0.2
ANSWER_SHARE = 0.8


class RegionSettings:
    """Times of region shares and link budgets, in seconds.

    `grow_delay_s` must exceed the time until a configuration is in force on
    all hosts plus the longest deadline of a request.
    """

    __slots__ = ("grow_delay_s", "link_burst_s", "headroom_window_s")

    def __init__(
        self,
        grow_delay_s: float = GROW_DELAY_S,
        link_burst_s: float = LINK_BURST_S,
        headroom_window_s: float = HEADROOM_WINDOW_S,
    ):
        self.grow_delay_s = grow_delay_s
        self.link_burst_s = link_burst_s
        self.headroom_window_s = headroom_window_s
