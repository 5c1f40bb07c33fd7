"""Identity and addresses of a host's process."""


class Member:
    """One incarnation of a host: a process and its addresses.

    `incarnation` is the wall-clock time of the start in milliseconds; it
    increases with each start of the same host.
    """

    __slots__ = (
        "host",
        "incarnation",
        "zone",
        "region",
        "address",
        "peer_port",
        "http_port",
    )

    def __init__(
        self,
        host: str,
        incarnation: int,
        zone: str,
        region: str,
        address: str,
        peer_port: int,
        http_port: int,
    ):
        self.host = host
        self.incarnation = incarnation
        self.zone = zone
        self.region = region
        self.address = address
        self.peer_port = peer_port
        self.http_port = http_port

    @property
    def identity(self) -> tuple[str, int]:
        """Return the host's name and incarnation."""
        return self.host, self.incarnation

    def to_record(self) -> dict:
        """Return the member as a JSON object."""
        return {name: getattr(self, name) for name in self.__slots__}

    @classmethod
    def from_record(cls, record: dict) -> "Member":
        """Return the member that a JSON object describes."""
        return cls(**{name: record[name] for name in cls.__slots__})

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Member) and self.identity == other.identity

    def __hash__(self) -> int:
        return hash(self.identity)

    def __repr__(self) -> str:
        return f"Member({self.host}#{self.incarnation})"
