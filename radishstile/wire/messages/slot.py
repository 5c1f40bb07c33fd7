"""Messages between a host and its leader, and between leaders."""

from radishstile.wire.messages.base import Message
from radishstile.wire.messages.values import (
    Amounts,
    Count,
    Counts,
    Duration,
    EndingName,
    Loads,
    Number,
    OptionalRate,
    OptionalSeconds,
    QueriedRevision,
    Rates,
    ReasonName,
    Seconds,
    StoredObjects,
)


class ClaimSlot(Message):
    """Asks for a slot of a service's upstreams.

    `objective_s`, `objective_left_s` and `deadline_left_s` are in seconds;
    `zone` is the claimant's; `workspace` is the caller's, empty without keys,
    and `is_charged` whether its rate limit applies; `fingerprint` identifies
    repeats of one request.
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
        "is_charged",
        "fingerprint",
    )

    claim_id: str
    service: str
    route: str
    object_key: str
    priority: Count
    zone: str
    regions: list[str]
    excluded: list[str]
    objective_s: Duration
    objective_left_s: Seconds
    deadline_left_s: Seconds
    workspace: str
    is_charged: bool
    fingerprint: bytes


class SlotGranted(Message):
    """Grants a slot, which the claimant holds until its `SlotReport`."""

    __slots__ = ("upstream_id", "is_warm", "expected_s")

    upstream_id: str
    is_warm: bool
    expected_s: Duration


class SlotQueued(Message):
    """Reports that the claim is queued, for an estimated `wait_s` seconds."""

    __slots__ = ("wait_s",)

    wait_s: Seconds


class SlotDenied(Message):
    """Denies a claim; `reason` is a value of `Reason`."""

    __slots__ = ("reason", "retry_after")

    reason: ReasonName
    retry_after: OptionalSeconds


class SlotReport(Message):
    """Releases a slot that was held for `held_s` seconds.

    It is sent in the exchange of the claim, or outside of it if the connection
    of the claim has ended. `ending` is a value of `Ending`. `rate_limit` is
    the one that the answer named, in requests a second: infinity for none,
    None without an answer. `load` is what the answer told of the upstream's
    load: the numbers running and waiting, the slots, the pace (1.0 as usual,
    None if it was not named) and the age of these in seconds; or empty.
    """

    __slots__ = ("claim_id", "ending", "held_s", "rate_limit", "load")

    claim_id: str
    ending: EndingName
    held_s: Duration
    rate_limit: OptionalRate
    load: list


class HeldSlots(Message):
    """Tells a leader, on a new connection, which slots the host holds.

    `claim_ids` are the claims that it waits for or whose requests still run.
    """

    __slots__ = ("claim_ids",)

    claim_ids: list[str]


class ReportRates(Message):
    """Tells a host's new leader the rate limits of upstreams.

    `rates` maps upstreams to requests a second; infinity stands for none.
    """

    __slots__ = ("rates",)

    rates: Rates


class ReportLeaving(Message):
    """Tells that an upstream has said in an answer that it leaves.

    `started_at_ms` is its start in Unix milliseconds, or 0 if unknown.
    """

    __slots__ = ("upstream", "started_at_ms")

    upstream: str
    started_at_ms: int


class FollowLead(Message):
    """A host's heartbeat to a leader.

    `number` counts the heartbeats that the host has sent to any leader.
    `follows` tells whether the host follows the receiver or only queries it,
    `lends` whether the receiver holds the host's part of the fleet's limits,
    counted from `echo`, and `is_settled` whether that is one of rates too.
    `echo` is the `clock` of the receiver's last answer, and `hosts_digest`
    that of the hosts in it; both are 0 if there was none. `version` is the
    host's configuration, and `age_s` the time since its confirmation.
    `news_age_s` is the age of the host's store data.
    """

    __slots__ = (
        "number",
        "is_leaving",
        "follows",
        "lends",
        "is_settled",
        "echo",
        "hosts_digest",
        "version",
        "age_s",
        "news_age_s",
    )

    number: Number
    is_leaving: bool
    follows: bool
    lends: bool
    is_settled: bool
    echo: Duration
    hosts_digest: Number
    version: Number
    age_s: Duration
    news_age_s: Duration


class LeadState(Message):
    """Answers `FollowLead`.

    `hosts` are the region's hosts that callers may be sent to; the list is
    left out if its `hosts_digest` is that of the heartbeat. `age_s` is the
    time since the leader's configuration, `version`, was confirmed to be the
    newest, and `news_age_s` the age of its store data. `lead` is the host
    that the sender follows, empty if it is leaving; `loads` maps services to
    demand and capacity in slots, and `weight` is the number of its followers.
    `clock` is returned as the `echo` of the next `FollowLead`.
    """

    __slots__ = (
        "hosts",
        "hosts_digest",
        "version",
        "age_s",
        "news_age_s",
        "lead",
        "loads",
        "weight",
        "clock",
    )

    hosts: list[str]
    hosts_digest: Number
    version: Number
    age_s: Duration
    news_age_s: Duration
    lead: str
    loads: Loads
    weight: Count
    clock: Duration


class BorrowSlots(Message):
    """Asks another region's leader to lend slots and rate-limit tokens.

    `slots` maps services to the total of slots wanted, and `tokens` maps
    workspaces to tokens. The answer replaces earlier loans. `held` maps
    upstreams to the slots that a previous leader of the lender has lent, and
    is empty if the receiver has lent them. `rates` maps borrowed upstreams to
    the rate limits that they have just named. `is_new` tells that the sender
    knows of no loan; one that the receiver knows of goes on.
    """

    __slots__ = ("region", "slots", "tokens", "held", "rates", "is_new")

    region: str
    slots: Amounts
    tokens: Amounts
    held: Counts
    rates: Rates
    is_new: bool


class LentSlots(Message):
    """Answers `BorrowSlots`: slots per upstream and tokens per workspace.

    `usable` maps services to the slots that the rate limits of the lent
    upstreams can keep busy. `is_continued` tells that the slots are those of
    an earlier loan.
    """

    __slots__ = ("slots", "usable", "tokens", "is_continued")

    slots: Counts
    usable: Amounts
    tokens: Amounts
    is_continued: bool


class MirrorQuery(Message):
    """Asks for a kind's changes after `revision`, or for all objects if -1."""

    __slots__ = ("kind", "revision", "wait_s")

    kind: str
    revision: QueriedRevision
    wait_s: Duration


class MirrorReply(Message):
    """Answers `MirrorQuery`; `is_lost` if the changes are no longer kept.

    Each of `objects` is a list of name, revision, spec, status, and whether
    the object was removed. A sixth value is the revision of the version that
    spec and status are merge patches of. `has_more` tells that another message
    of the same answer follows.
    """

    __slots__ = ("objects", "revision", "is_lost", "has_more")
    is_compressed = True

    objects: StoredObjects
    revision: Number
    is_lost: bool
    has_more: bool
