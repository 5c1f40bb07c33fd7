"""Messages by which a resource's owner divides its limit among holders."""

Identity = tuple[str, int]


class Claim:
    """What a holder has, which allotment it applied last, and its demand.

    `rate` is in units a second; `burst` and `borrowed` are in whole units,
    `returned` and `level` in units; `demand` is in requests a second.
    `serial` increases with each claim of one incarnation. `borrowed` counts
    units outside the burst that are reserved and not yet spent. `returned`
    counts the tokens given back since allotment `number` was applied.
    """

    __slots__ = (
        "resource",
        "holder",
        "serial",
        "epoch",
        "number",
        "rate",
        "burst",
        "borrowed",
        "returned",
        "level",
        "demand",
        "waiting",
    )

    def __init__(
        self,
        resource: str,
        holder: Identity,
        serial: int,
        epoch: int,
        number: int = 0,
        rate: float = 0.0,
        burst: int = 0,
        borrowed: int = 0,
        returned: float = 0.0,
        level: float = 0.0,
        demand: float = 0.0,
        waiting: int = 0,
    ):
        self.resource = resource
        self.holder = holder
        self.serial = serial
        self.epoch = epoch
        self.number = number
        self.rate = rate
        self.burst = burst
        self.borrowed = borrowed
        self.returned = returned
        self.level = level
        self.demand = demand
        self.waiting = waiting

    def to_record(self) -> list:
        """Return the claim as a list that msgpack carries."""
        record = [getattr(self, name) for name in self.__slots__]
        record[1] = list(self.holder)
        return record

    @classmethod
    def from_record(cls, record: list) -> "Claim":
        """Return the claim that a list describes."""
        resource, holder, *rest = record
        return cls(resource, tuple(holder), *rest)


class Allotment:
    """What a holder may use: absolute amounts with an increasing number.

    `rate` is in units a second, `burst` in whole units. `level` counts
    tokens delivered with the allotment, applied once. `at_once` counts tokens
    for requests that wait now; those left over are dropped. `is_exhausted`
    tells that demand exceeds the whole limit, so requests should not wait.
    """

    __slots__ = (
        "resource",
        "epoch",
        "number",
        "rate",
        "burst",
        "level",
        "at_once",
        "is_exhausted",
    )

    def __init__(
        self,
        resource: str,
        epoch: int,
        number: int,
        rate: float,
        burst: int,
        level: float = 0.0,
        at_once: int = 0,
        is_exhausted: bool = False,
    ):
        self.resource = resource
        self.epoch = epoch
        self.number = number
        self.rate = rate
        self.burst = burst
        self.level = level
        self.at_once = at_once
        self.is_exhausted = is_exhausted

    def to_record(self) -> list:
        """Return the allotment as a list that msgpack carries."""
        return [getattr(self, name) for name in self.__slots__]

    @classmethod
    def from_record(cls, record: list) -> "Allotment":
        """Return the allotment that a list describes."""
        return cls(*record)


class Inquiry:
    """Asks a holder for a claim under `epoch` and ends older epochs."""

    __slots__ = ("resource", "epoch")

    def __init__(self, resource: str, epoch: int):
        self.resource = resource
        self.epoch = epoch

    def to_record(self) -> list:
        """Return the inquiry as a list that msgpack carries."""
        return [self.resource, self.epoch]

    @classmethod
    def from_record(cls, record: list) -> "Inquiry":
        """Return the inquiry that a list describes."""
        return cls(*record)


class OutgoingMessage:
    """A message from an owner and the holder that it is sent to."""

    __slots__ = ("holder", "message")

    def __init__(self, holder: Identity, message: Allotment | Inquiry):
        self.holder = holder
        self.message = message
