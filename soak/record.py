"""What callers and upstreams observed in a soak test.

Times are in seconds since the start of the test.
"""


class Run:
    """A request that an upstream started to run."""

    __slots__ = (
        "request_id",
        "target",
        "workspace",
        "authorization",
        "upstream",
        "zone",
        "started_at",
    )

    def __init__(
        self,
        request_id: str,
        target: str,
        workspace: str,
        authorization: str,
        upstream: str,
        zone: str,
        started_at: float,
    ):
        self.request_id = request_id
        self.target = target
        self.workspace = workspace
        self.authorization = authorization
        self.upstream = upstream
        self.zone = zone
        self.started_at = started_at


class Arrival:
    """A request that reached an upstream, run or not.

    `pause_s` is the pause that the upstream asked for as it turned the
    request away, in seconds, or 0.
    """

    __slots__ = ("request_id", "upstream", "at", "pause_s")

    def __init__(
        self, request_id: str, upstream: str, at: float, pause_s: float
    ):
        self.request_id = request_id
        self.upstream = upstream
        self.at = at
        self.pause_s = pause_s


class SentRequest:
    """A request that a caller sent; `status` is 0 without an answer.

    `ended_at` is infinite while the request is in flight.
    """

    __slots__ = (
        "request_id",
        "host",
        "target",
        "is_non_idempotent",
        "key",
        "sent_at",
        "ended_at",
        "status",
        "body",
        "is_timed_out",
        "names_leaving",
    )

    def __init__(
        self,
        request_id: str,
        host: str,
        target: str,
        is_non_idempotent: bool,
        key: str,
        sent_at: float,
    ):
        self.request_id = request_id
        self.host = host
        self.target = target
        self.is_non_idempotent = is_non_idempotent
        self.key = key
        self.sent_at = sent_at
        self.ended_at = float("inf")
        self.status = 0
        self.body = b""
        # The caller gave up after the deadline.
        self.is_timed_out = False
        # The answer named that the upstream leaves.
        self.names_leaving = False


class FaultPeriod:
    """The time from `begin` to `end` of a fault or a planned change.

    `kind` is the class name of the fault; `subject` names the host, upstream
    or other component that it affects.
    """

    __slots__ = ("kind", "subject", "is_planned", "begin", "end")

    def __init__(
        self, kind: str, subject: str, is_planned: bool, begin: float
    ):
        self.kind = kind
        self.subject = subject
        self.is_planned = is_planned
        self.begin = begin
        self.end = float("inf")


class Evacuation:
    """The time in which the store told that a zone is evacuated."""

    __slots__ = ("zone", "begin", "end")

    def __init__(self, zone: str, begin: float):
        self.zone = zone
        self.begin = begin
        self.end = float("inf")


class SoakRecord:
    """Everything that was observed in a soak test.

    `key_revocations` and `upstream_drains` hold the time at which the store
    accepted the revocation of a key or the drain of an upstream;
    `upstream_withdrawals` are those that leave without a word to the store.
    `key_workspaces` maps keys to workspaces, and `route_additions` the path
    prefixes of added routes to the time at which the store accepted them.
    `store_reads_per_s` and `store_writes_per_s` are the most in one second.
    """

    __slots__ = (
        "runs",
        "arrivals",
        "requests",
        "fault_periods",
        "evacuations",
        "key_revocations",
        "upstream_drains",
        "upstream_withdrawals",
        "key_workspaces",
        "route_additions",
        "store_reads_per_s",
        "store_writes_per_s",
    )

    def __init__(self):
        self.runs: list[Run] = []
        self.arrivals: list[Arrival] = []
        self.requests: list[SentRequest] = []
        self.fault_periods: list[FaultPeriod] = []
        self.evacuations: list[Evacuation] = []
        self.key_revocations: dict[str, float] = {}
        self.upstream_drains: dict[str, float] = {}
        self.upstream_withdrawals: set[str] = set()
        self.key_workspaces: dict[str, str] = {}
        self.route_additions: dict[str, float] = {}
        self.store_reads_per_s = 0
        self.store_writes_per_s = 0

    def is_leaving(self, upstream: str) -> bool:
        """Return whether an upstream was asked to leave."""
        return (
            upstream in self.upstream_drains
            or upstream in self.upstream_withdrawals
        )
