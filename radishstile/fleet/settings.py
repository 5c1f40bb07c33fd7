"""Settings of fleet membership, heartbeats and configuration freshness."""


class FleetSettings:
    """Intervals and timeouts of heartbeats and evidence, in seconds.

    `isolated_after_s` is how long keyed routes are served without evidence
    that the configuration is current, `list_lag_limit_s` the greatest lag of
    the platform's list of machines. `handover_wait_s` is how long a stopping
    host waits for others to take its slots over, `home_wait_s` how long
    requests wait for a new owner of slots whose owner ended.
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
