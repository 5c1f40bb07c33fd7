"""Claims for a slot and the scheduler's decisions about them."""

from enum import Enum

from radishstile.outcome import Reason


class Ending(Enum):
    """How a run on an upstream ended."""

    SERVED = "served"
    # The upstream ran the request and answered with an error.
    FAILED = "failed"
    # The upstream refused the request without running it.
    SHED = "shed"
    # The address now belongs to another upstream.
    MISDIRECTED = "misdirected"
    # No connection could be opened, so nothing was sent.
    UNREACHABLE = "unreachable"
    # The connection or the answer broke after the request was sent.
    BROKEN = "broken"
    TIMED_OUT = "timed-out"
    # The caller disconnected, or the entry host was lost.
    ABANDONED = "abandoned"


class Claim:
    """A request that needs a slot of one of a service's upstreams.

    Times are on the event loop's clock, in seconds. `object_key` identifies
    the object that the request is about, or is empty; requests run faster on
    an upstream that has cached their object. `zone` is the claiming host's.
    Only upstreams in `regions` are allowed (if empty, in any region), except
    those whose ids are `excluded`. Priority 0 is the most urgent.
    `workspace` is the caller's, and empty without keys. `fingerprint` is the
    same for repeats of one request, and empty where it is unknown.
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
        "arrived_at",
        "objective_at",
        "deadline_at",
        "workspace",
        "fingerprint",
    )

    def __init__(
        self,
        claim_id: str,
        service: str,
        route: str,
        object_key: str,
        priority: int,
        zone: str,
        regions: frozenset[str],
        excluded: frozenset[str],
        arrived_at: float,
        objective_at: float,
        deadline_at: float,
        workspace: str = "",
        fingerprint: bytes = b"",
    ):
        self.claim_id = claim_id
        self.service = service
        self.route = route
        self.object_key = object_key
        self.priority = priority
        self.zone = zone
        self.regions = regions
        self.excluded = excluded
        self.arrived_at = arrived_at
        self.objective_at = objective_at
        self.deadline_at = deadline_at
        self.workspace = workspace
        self.fingerprint = fingerprint


class Grant:
    """A slot of `upstream_id`, held until the run's ending is reported."""

    __slots__ = ("claim_id", "upstream_id", "is_warm", "expected_s")

    def __init__(
        self, claim_id: str, upstream_id: str, is_warm: bool, expected_s: float
    ):
        self.claim_id = claim_id
        self.upstream_id = upstream_id
        self.is_warm = is_warm
        self.expected_s = expected_s


class Queued:
    """The claim waits in the queue; the expected wait is `wait_s` seconds."""

    __slots__ = ("claim_id", "wait_s")

    def __init__(self, claim_id: str, wait_s: float):
        self.claim_id = claim_id
        self.wait_s = wait_s


class Contention(Enum):
    """Who has the capacity that a denied claim would have needed."""

    # More urgent claims are ahead of it.
    PRIORITY = "priority"
    # Claims of its own workspace, or of others that used less of their share.
    SHARE = "share"
    # No slot would serve it in time, were it the first to wait.
    CAPACITY = "capacity"


class DenialCause:
    """What decided that a claim is denied where slots are shared.

    `position` is its number in the queue, `ahead_s` the slot-seconds of the
    claims ahead of it, `wait_s` its expected wait, `expected_s` the slot time
    that it needs, and `share` the part of its priority's slot-seconds that
    its workspace is entitled to.
    """

    __slots__ = (
        "contention",
        "position",
        "ahead_s",
        "wait_s",
        "expected_s",
        "share",
    )

    def __init__(
        self,
        contention: Contention,
        position: int,
        ahead_s: float,
        wait_s: float,
        expected_s: float,
        share: float,
    ):
        self.contention = contention
        self.position = position
        self.ahead_s = ahead_s
        self.wait_s = wait_s
        self.expected_s = expected_s
        self.share = share


class Denial:
    """The claim gets no slot; `retry_after` is in seconds.

    `cause` is known where slots are shared.
    """

    __slots__ = ("claim_id", "reason", "retry_after", "cause")

    def __init__(
        self,
        claim_id: str,
        reason: Reason,
        retry_after: float | None,
        cause: DenialCause | None = None,
    ):
        self.claim_id = claim_id
        self.reason = reason
        self.retry_after = retry_after
        self.cause = cause


Decision = Grant | Queued | Denial
