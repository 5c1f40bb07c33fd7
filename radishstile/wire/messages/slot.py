"""Messages between a host and the lead that counts slots for it."""

from radishstile.wire.messages.base import Message


class ClaimSlot(Message):
    """Asks for a slot of a service's upstreams.

    `objective_s`, `objective_left_s` and `deadline_left_s` are in seconds;
    `zone` is the claimant's; `workspace` is empty where no rate applies;
    `fingerprint` tells repeats of one request.
    """

    __slots__ = (
        "claim_id",
        "service",
        "route",
        "object_key",
        "priority",
        "zone",
        "regions",
        "excluded",
        "objective_s",
        "objective_left_s",
        "deadline_left_s",
        "workspace",
        "fingerprint",
    )

    claim_id: str
    service: str
    route: str
    object_key: str
    priority: int
    zone: str
    regions: list[str]
    excluded: list[str]
    objective_s: float
    objective_left_s: float
    deadline_left_s: float
    workspace: str
    fingerprint: bytes


class SlotGranted(Message):
    """Gives a slot, which the claimant holds until its `SlotReport`."""

    __slots__ = ("upstream_id", "is_warm", "expected_s")

    upstream_id: str
    is_warm: bool
    expected_s: float


class SlotQueued(Message):
    """Tells that the claim waits, probably for `wait_s` seconds."""

    __slots__ = ("wait_s",)

    wait_s: float


class SlotDenied(Message):
    """Tells that the claim gets no slot; `reason` is one of `Reason`."""

    __slots__ = ("reason", "retry_after")

    reason: str
    retry_after: float | None


class SlotReport(Message):
    """Gives a slot back; `ending` is one of `Ending`, `held_s` in seconds."""

    __slots__ = ("ending", "held_s")

    ending: str
    held_s: float


class FollowLead(Message):
    """A host's heartbeat to a lead.

    `follows` tells whether it follows the receiver; others only ask. `echo`
    is the `clock` of the receiver's last answer, and `version` and `age_s`
    are the host's configuration and the age of its proof, in seconds.
    """

    __slots__ = ("is_leaving", "follows", "echo", "version", "age_s")

    is_leaving: bool
    follows: bool
    echo: float
    version: int
    age_s: float


class LeadState(Message):
    """Answers `FollowLead`.

    `hosts` are the region's hosts that callers may be sent to. `age_s` is
    the time since the lead's configuration, `version`, was confirmed to be
    the newest, and `news_age_s` the age of what it knows of the store. `lead`
    is the host that the answering one follows, empty when it is leaving;
    `loads` maps services to demand and capacity in slots, and `weight` is
    the number of its followers. `clock` is for the echo.
    """

    __slots__ = (
        "hosts",
        "version",
        "age_s",
        "news_age_s",
        "lead",
        "loads",
        "weight",
        "clock",
    )

    hosts: list[str]
    version: int
    age_s: float
    news_age_s: float
    lead: str
    loads: dict
    weight: int
    clock: float


class BorrowSlots(Message):
    """A lead asks another region's lead for room.

    `slots` maps services to the slots wanted in all, `tokens` workspaces to
    tokens of their rates. What was lent before lapses with the answer.
    """

    __slots__ = ("region", "slots", "tokens")

    region: str
    slots: dict
    tokens: dict


class LentSlots(Message):
    """Answers `BorrowSlots`: slots by upstream, tokens by workspace."""

    __slots__ = ("slots", "tokens")

    slots: dict
    tokens: dict


class MirrorQuery(Message):
    """Asks for a kind's changes after `revision`, or all where it is -1."""

    __slots__ = ("kind", "revision", "wait_s")

    kind: str
    revision: int
    wait_s: float


class MirrorReply(Message):
    """Answers `MirrorQuery`; `is_lost` where the changes are not known.

    Each of `objects` is a list of name, revision, spec, status, and whether
    the object was removed.
    """

    __slots__ = ("objects", "revision", "is_lost")

    objects: list | dict
    revision: int
    is_lost: bool
