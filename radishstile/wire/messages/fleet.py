"""Messages about membership, rights and the configuration."""

from radishstile.wire.messages.base import Message


class Heartbeat(Message):
    """Says that the sender lives, with what it states about itself."""

    __slots__ = ("statement",)

    statement: list | dict


class HeartbeatReply(Message):
    """Answers a heartbeat with the receiver's own statement."""

    __slots__ = ("statement",)

    statement: list | dict


class ClaimRight(Message):
    """Asks the home of a resource for a right."""

    __slots__ = ("claim",)

    claim: dict


class GrantRight(Message):
    """Tells a holder its allotment of a resource."""

    __slots__ = ("allotment",)

    allotment: dict


class ConfigurationPush(Message):
    """Carries a version of the configuration and its history entry.

    `document` and `entry` are JSON.
    """

    __slots__ = ("version", "document", "entry")

    version: int
    document: bytes
    entry: bytes


class RosterPush(Message):
    """Carries a version of the roster as JSON."""

    __slots__ = ("version", "record")

    version: int
    record: bytes


class PushAccepted(Message):
    """Answers a push with the version that the receiver has now."""

    __slots__ = ("version",)

    version: int


class StateQuery(Message):
    """Asks a peer for its configuration and roster."""

    __slots__ = ()


class StateReply(Message):
    """Answers with the configuration and roster as JSON."""

    __slots__ = (
        "configuration_version",
        "document",
        "roster_version",
        "roster",
    )

    configuration_version: int
    document: bytes
    roster_version: int
    roster: bytes


class ReportHarm(Message):
    """Reports that a request crashed the upstream that ran it."""

    __slots__ = ("fingerprint", "upstream")

    fingerprint: str
    upstream: str


class TraceQuery(Message):
    """Asks for the spans of a trace."""

    __slots__ = ("trace_id",)

    trace_id: str


class TraceReply(Message):
    """Answers with the spans of a trace as JSON."""

    __slots__ = ("spans",)

    spans: bytes
