"""Settings of the fleet's membership, heartbeats and freshness."""


class FleetSettings:
    """Bounds of heartbeats and evidence; times are in seconds.

    `isolated_after_s` is how long keyed routes are served without evidence
    that the configuration is current, `list_lag_limit_s` the most that the
    platform's list of machines lags. `handover_wait_s` is how long a host
    that stops waits for others to ask for its slots, `home_wait_s` how long
    requests wait for a home of slots that had one.
    """

    __slots__ = (
        "heartbeat_s",
        "suspect_after_s",
        "isolated_after_s",
        "watchers_per_zone",
        "neighbours_per_zone",
        "remote_neighbours",
        "list_lag_limit_s",
        "handover_wait_s",
        "home_wait_s",
    )

    def __init__(
        self,
        heartbeat_s: float = 1.0,
        suspect_after_s: float = 3.0,
        isolated_after_s: float = 6.0,
        watchers_per_zone: int = 2,
        neighbours_per_zone: int = 6,
        remote_neighbours: int = 2,
        list_lag_limit_s: float = 120.0,
        handover_wait_s: float = 5.0,
        home_wait_s: float = 5.0,
    ):
        self.heartbeat_s = heartbeat_s
        self.suspect_after_s = suspect_after_s
        self.isolated_after_s = isolated_after_s
        self.watchers_per_zone = watchers_per_zone
        self.neighbours_per_zone = neighbours_per_zone
        self.remote_neighbours = remote_neighbours
        self.list_lag_limit_s = list_lag_limit_s
        self.handover_wait_s = handover_wait_s
        self.home_wait_s = home_wait_s
