"""What is decided about one request, and how its tries went."""

import xxhash

from radishstile.catalog.catalog import Route, Workspace
from radishstile.entry.order import Answer, Order
from radishstile.slot.claim import Ending

# Endings after which the request surely has not run.
NOT_RUN_ENDINGS = frozenset(
    {Ending.SHED, Ending.MISDIRECTED, Ending.UNREACHABLE}
)


class Plan:
    """What was decided about an order before it is sent anywhere.

    `deadline_at` and `objective_at` are the loop's times, in seconds.
    """

    __slots__ = (
        "order",
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
        order: Order,
        version: int,
        route: Route,
        workspace: Workspace | None,
        service: str,
        regions: frozenset[str],
    ):
        received_at = order.request.received_at
        wait_s = route.timeout_s
        if order.deadline_s is not None:
            wait_s = min(wait_s, order.deadline_s)
        self.order = order
        self.version = version
        self.route = route
        self.workspace = workspace
        self.service = service
        self.priority = route.priority
        if workspace is not None and workspace.priority is not None:
            self.priority = workspace.priority
        self.regions = regions
        self.objective_at = received_at + route.objective_s
        self.deadline_at = received_at + wait_s


class RunResult:
    """How one try ended, and the answer where there is one to pass on."""

    __slots__ = ("ending", "upstream_id", "answer", "detail", "held_s")

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


class Tries:
    """The tries of one request so far.

    `sent` counts those that reached an upstream, `has_run` tells whether
    the request may have run.
    """

    __slots__ = ("sent", "claims", "excluded", "_has_run", "_is_under_way")

    def __init__(self):
        self.sent = 0
        self.claims = 0
        self.excluded: set[str] = set()
        self._has_run = False
        self._is_under_way = False

    @property
    def has_run(self) -> bool:
        """Return whether an upstream may have begun to run the request."""
        return self._has_run or self._is_under_way

    def begin(self) -> None:
        """Note that the request is about to be sent."""
        self._is_under_way = True

    def note(self, result: RunResult) -> None:
        """Count a try that has ended."""
        self._is_under_way = False
        self.excluded.add(result.upstream_id)
        if result.ending is not Ending.UNREACHABLE:
            self.sent += 1
        if result.ending not in NOT_RUN_ENDINGS:
            self._has_run = True


def make_fingerprint(order: Order) -> bytes:
    """Return what repeats of one request have in common."""
    request = order.request
    digest = xxhash.xxh3_128()
    for part in (
        request.method,
        request.target,
        order.key.encode("latin-1"),
        request.body,
    ):
        digest.update(part)
        digest.update(b"\0")
    return digest.digest()
