"""The routing decision for a request, and the outcome of its attempts."""

import xxhash

from radishstile.catalog.catalog import Route, Workspace
from radishstile.entry.caller_request import Answer, CallerRequest
from radishstile.slot.claim import Ending
from radishstile.slot.load_report import LoadReport

# Endings after which the request has certainly not run.
NOT_RUN_ENDINGS = frozenset(
    {Ending.SHED, Ending.MISDIRECTED, Ending.UNREACHABLE}
)
# Priorities of routes that are told apart within one of a workspace.
ROUTE_PRIORITIES = 4


class RequestPlan:
    """The routing decision for a request, made before its first attempt.

    `deadline_at` and `objective_at` are the loop's times, in seconds.
    """

    __slots__ = (
        "request",
        "version",
        "route",
        "workspace",
        "service",
        "priority",
        "regions",
        "objective_at",
        "deadline_at",
    )

    def __init__(
        self,
        request: CallerRequest,
        version: int,
        route: Route,
        workspace: Workspace | None,
        service: str,
        regions: frozenset[str],
        priority: int,
    ):
        received_at = request.http_request.received_at
        wait_s = route.timeout_s
        if request.deadline_s is not None:
            wait_s = min(wait_s, request.deadline_s)
        self.request = request
        self.version = version
        self.route = route
        self.workspace = workspace
        self.service = service
        self.priority = priority
        self.regions = regions
        self.objective_at = received_at + route.objective_s
        self.deadline_at = received_at + wait_s


def choose_priority(route: Route, workspace: Workspace | None) -> int:
    """Return the priority of a request: its workspace's, if it has one."""
    if workspace is None or workspace.priority is None:
        return route.priority
    return workspace.priority


def choose_shared_priority(route: Route, workspace: Workspace | None) -> int:
    """Return the priority of a request where slots are shared.

    The workspace's takes precedence, and the route's decides among those of
    equal workspaces.
    """
    rank = min(max(route.priority, 0), ROUTE_PRIORITIES - 1)
    first = max(choose_priority(route, workspace), 0)
    return first * ROUTE_PRIORITIES + rank


class AttemptResult:
    """How an attempt ended, with its answer if there is one to forward.

    `rate_limit` is the one that the answer named, in requests a second:
    infinity for none, None if no answer came. `load` is the upstream's load
    that it named, if any.
    """

    __slots__ = (
        "ending",
        "upstream_id",
        "answer",
        "detail",
        "held_s",
        "rate_limit",
        "load",
    )

    def __init__(
        self,
        ending: Ending,
        upstream_id: str,
        answer: Answer | None = None,
        detail: str = "",
    ):
        self.ending = ending
        self.upstream_id = upstream_id
        self.answer = answer
        self.detail = detail
        self.held_s = 0.0
        self.rate_limit: float | None = None
        self.load: LoadReport | None = None


class Attempts:
    """The attempts of one request so far.

    `sent` counts those that reached an upstream, `claims` the slots claimed;
    `excluded` holds the upstreams that were tried. `is_in_flight` is whether
    the current attempt may have reached its upstream.
    """

    __slots__ = (
        "sent",
        "claims",
        "excluded",
        "is_in_flight",
        "_may_have_run",
    )

    def __init__(self):
        self.sent = 0
        self.claims = 0
        self.excluded: set[str] = set()
        self.is_in_flight = False
        self._may_have_run = False

    @property
    def may_have_run(self) -> bool:
        """Return whether an upstream may have started the request."""
        return self._may_have_run or self.is_in_flight

    def begin(self) -> None:
        """Record that the request is about to be sent."""
        self.is_in_flight = True

    def record(self, result: AttemptResult) -> None:
        """Record the result of an attempt."""
        self.is_in_flight = False
        self.excluded.add(result.upstream_id)
        if result.ending is not Ending.UNREACHABLE:
            self.sent += 1
        if result.ending not in NOT_RUN_ENDINGS:
            self._may_have_run = True


def make_fingerprint(request: CallerRequest) -> bytes:
    """Return a hash that is the same for repeats of one request."""
    http_request = request.http_request
    digest = xxhash.xxh3_128()
    for part in (
        http_request.method,
        http_request.target,
        request.api_key.encode("latin-1"),
    ):
        digest.update(part)
        digest.update(b"\0")
    for part in http_request.body:
        digest.update(part)
    digest.update(b"\0")
    return digest.digest()
