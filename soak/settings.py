"""Settings of one run of the soak."""


class SoakSettings:
    """The fleet, the load and the bounds of one run.

    Times are in seconds. `fault_s` is how long faults go on, `calm_s` the
    time before and after them. The bounds are those that hosts are started
    with, so that they bind in a short run, too.
    """

    __slots__ = (
        "seed",
        "folder",
        "zones",
        "hosts_per_zone",
        "upstreams_per_zone",
        "slots",
        "callers",
        "calm_s",
        "fault_s",
        "faults",
        "contact_s",
        "revoke_s",
        "drain_s",
        "grace_s",
    )

    def __init__(
        self,
        seed: int,
        folder: str,
        hosts_per_zone: int = 2,
        upstreams_per_zone: int = 2,
        slots: int = 4,
        callers: int = 24,
        calm_s: float = 3.0,
        fault_s: float = 12.0,
        faults: int = 8,
    ):
        self.seed = seed
        self.folder = folder
        self.zones = {"akl-a": "akl", "akl-b": "akl", "wlg-a": "wlg"}
        self.hosts_per_zone = hosts_per_zone
        self.upstreams_per_zone = upstreams_per_zone
        self.slots = slots
        self.callers = callers
        self.calm_s = calm_s
        self.fault_s = fault_s
        self.faults = faults
        # The bounds of the users' sheets.
        self.contact_s = 4.0
        self.revoke_s = 5.0
        self.drain_s = 2.5
        self.grace_s = 6.0
