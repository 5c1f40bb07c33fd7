"""Settings of one soak test."""


class SoakSettings:
    """The fleet, the load and the time bounds of one soak test.

    Times are in seconds. Faults start within `fault_s`, after a phase of
    `calm_s` without faults. Hosts are configured with the same time bounds,
    which are short enough to take effect during the test.
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
        "apply_s",
        "drain_s",
        "evacuate_s",
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
        # Short versions of the bounds that the platform configures.
        self.contact_s = 4.0
        self.revoke_s = 5.0
        self.apply_s = 4.0
        self.drain_s = 2.5
        self.evacuate_s = 4.0
        self.grace_s = 6.0
