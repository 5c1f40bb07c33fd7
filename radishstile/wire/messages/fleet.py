"""Messages about membership, allotments, moves and the configuration."""

from radishstile.wire.messages.base import Message
from radishstile.wire.messages.values import (
    Amounts,
    Deadlines,
    Number,
    TargetRows,
)


class Heartbeat(Message):
    """Asks for the receiver's statement.

    `wants_hints` also asks for the free capacity of the slots that it owns.
    """

    __slots__ = ("wants_hints",)

    wants_hints: bool


class HeartbeatReply(Message):
    """Answers a heartbeat with the sender's statement."""

    __slots__ = ("statement",)

    statement: list | dict


class ClaimRight(Message):
    """Reports a holder's allotment and demand to the resource's owner.

    `claim` is `Claim.to_record()`.
    """

    __slots__ = ("claim",)

    claim: list | dict


class GrantRight(Message):
    """Carries an owner's allotments and inquiries to one holder.

    `allotments` and `inquiries` are lists of `to_record()` results.
    """

    __slots__ = ("allotments", "inquiries")

    allotments: list | dict
    inquiries: list | dict


class MachinesPush(Message):
    """Tells an owner which machines the platform lists as leaving or gone."""

    __slots__ = ("away",)

    away: list[str]


class HandOver(Message):
    """Asks a previous owner to stop, for the owner appointed in `epoch`."""

    __slots__ = ("resource", "epoch")

    resource: str
    epoch: int


class HandedOver(Message):
    """Answers with the slots that the previous owner still occupies.

    `deadlines` maps an upstream's `ADDRESS:PORT` to the times, in seconds
    from now, by which each of its occupied slots is free.
    """

    __slots__ = ("deadlines",)

    deadlines: Deadlines


class LoadQuery(Message):
    """Asks an owner for the load of the upstream groups it dispatches to."""

    __slots__ = ()


class LoadReply(Message):
    """Answers with a row for each group and zone, as `TargetHint` fields.

    `moved` maps each move that the sender owns to requests per second.
    """

    __slots__ = ("rows", "moved")

    rows: TargetRows
    moved: Amounts


class RouteLoadQuery(Message):
    """Asks a host for the load of each route from a region's clients."""

    __slots__ = ("region",)

    region: str


class RouteLoadReply(Message):
    """Answers with the requests per second of each route."""

    __slots__ = ("per_s",)

    per_s: Amounts


class MoveReport(Message):
    """Reports one host's measurements of a move, as `MoveHint` fields."""

    __slots__ = ("rows",)

    rows: list | dict


class MovePush(Message):
    """Carries a version of a move's published progress as JSON."""

    __slots__ = ("name", "version", "record")

    name: str
    version: int
    record: bytes


class ConfigurationPush(Message):
    """Carries a revision of the configuration as JSON."""

    __slots__ = ("version", "revision")

    version: int
    revision: bytes


class RosterPush(Message):
    """Carries a version of the roster as JSON."""

    __slots__ = ("version", "record")

    version: int
    record: bytes


class PushAccepted(Message):
    """Answers a push with the sender's current version."""

    __slots__ = ("version",)

    version: Number


class StateQuery(Message):
    """Asks a peer for its configuration and roster."""

    __slots__ = ()


class StateReply(Message):
    """Answers with the newest known revision and roster as JSON."""

    __slots__ = ("revision", "roster")

    revision: bytes
    roster: bytes


class ReportCrash(Message):
    """Reports the requests that ran on an upstream when it crashed.

    `fingerprints` are digests in hexadecimal.
    """

    __slots__ = ("report_id", "upstream", "fingerprints")

    report_id: str
    upstream: str
    fingerprints: list[str]


class ReportSuccess(Message):
    """Reports that a suspected poison request completed."""

    __slots__ = ("report_id", "fingerprint")

    report_id: str
    fingerprint: str


class TraceQuery(Message):
    """Asks for the spans of a trace."""

    __slots__ = ("trace_id",)

    trace_id: str


class TraceReply(Message):
    """Answers with the spans of a trace as JSON."""

    __slots__ = ("spans",)

    spans: bytes
