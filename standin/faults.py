"""Faults that can be injected into the stand-ins."""


def apply_faults(faults, values: dict) -> None:
    """Set the faults in `values`; raise `KeyError` for unknown ones."""
    unknown = set(values) - set(faults.__slots__)
    if unknown:
        raise KeyError(sorted(unknown)[0])
    for name, value in values.items():
        setattr(faults, name, type(getattr(faults, name))(value))


def list_faults(faults) -> dict:
    """Return all faults as a JSON object."""
    return {name: getattr(faults, name) for name in faults.__slots__}


class StoreFaults:
    """Faults of the store; `lose_answers` counts the writes still affected."""

    __slots__ = (
        "outage",
        "delay_s",
        "lose_answers",
        "read_lag_s",
        "list_lag_s",
    )

    def __init__(
        self,
        delay_s: float = 0.0,
        read_lag_s: float = 0.0,
        list_lag_s: float = 0.0,
    ):
        self.outage = False
        self.delay_s = delay_s
        self.lose_answers = 0
        self.read_lag_s = read_lag_s
        self.list_lag_s = list_lag_s


class UpstreamFaults:
    """Faults of an upstream; `lag_s` delays its health and load reports."""

    __slots__ = (
        "draining",
        "down",
        "health_lie",
        "load_lie",
        "lag_s",
        "shed",
    )

    def __init__(self):
        self.draining = False
        self.down = False
        self.health_lie = False
        self.load_lie = False
        self.lag_s = 0.0
        self.shed = False
