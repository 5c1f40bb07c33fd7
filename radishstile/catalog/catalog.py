"""One version of the operator's configuration: routes, services, workspaces.

A catalog is immutable. `radishstile.platform.configuration` decodes it from
the platform's document.
"""

from enum import Enum

_NO_REGIONS: frozenset[str] = frozenset()


class RouteKind(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


class Split:
    """A service and its weight among the services of one route."""

    __slots__ = ("service", "weight")

    def __init__(self, service: str, weight: float):
        self.service = service
        self.weight = weight


class Route:
    """A host name and path prefix, and how its requests are handled.

    `timeout_s` bounds the caller's wait; `objective_s` is the time within
    which an answer has its full value; `attempts` limits the upstreams that
    one request may be sent to; `priority` 0 is the most urgent. An empty
    `regions` allows all regions.
    """

    __slots__ = (
        "name",
        "hostname",
        "prefix",
        "kind",
        "timeout_s",
        "objective_s",
        "priority",
        "splits",
        "attempts",
        "is_public",
        "has_affinity",
        "regions",
    )

    def __init__(
        self,
        name: str,
        hostname: str,
        prefix: str,
        kind: RouteKind,
        timeout_s: float,
        objective_s: float,
        priority: int,
        splits: tuple[Split, ...],
        attempts: int,
        is_public: bool,
        has_affinity: bool,
        regions: frozenset[str] = _NO_REGIONS,
    ):
        self.name = name
        self.hostname = hostname
        self.prefix = prefix
        self.kind = kind
        self.timeout_s = timeout_s
        self.objective_s = objective_s
        self.priority = priority
        self.splits = splits
        self.attempts = attempts
        self.is_public = is_public
        self.has_affinity = has_affinity
        self.regions = regions

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT


class Service:
    """A group of upstreams of one kind.

    A cold upstream takes `warmup_per_s` requests a second; it is cold for
    `warmup_s` after its start.
    """

    __slots__ = ("name", "warmup_s", "warmup_per_s")

    def __init__(self, name: str, warmup_s: float, warmup_per_s: float):
        self.name = name
        self.warmup_s = warmup_s
        self.warmup_per_s = warmup_per_s


class Workspace:
    """A customer whose requests are limited; `rate_per_s` 0 is no limit.

    `priority` overrides that of the route, unless it is None.
    """

    __slots__ = ("name", "keys", "priority", "rate_per_s", "burst", "regions")

    def __init__(
        self,
        name: str,
        keys: frozenset[str],
        priority: int | None,
        rate_per_s: float,
        burst: float,
        regions: frozenset[str] = _NO_REGIONS,
    ):
        self.name = name
        self.keys = keys
        self.priority = priority
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.regions = regions


class CallerLimits:
    """Limits on a caller's requests, in bytes and seconds."""

    __slots__ = ("header_bytes", "body_bytes", "header_s", "idle_s")

    def __init__(
        self,
        header_bytes: int = 16_384,
        body_bytes: int = 67_108_864,
        header_s: float = 3.0,
        idle_s: float = 15.0,
    ):
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_s = header_s
        self.idle_s = idle_s


class Catalog:
    """A numbered configuration with look-ups by path and by key."""

    __slots__ = (
        "version",
        "services",
        "workspaces",
        "limits",
        "_by_host",
        "_by_key",
    )

    def __init__(
        self,
        version: int,
        routes: list[Route],
        services: dict[str, Service],
        workspaces: dict[str, Workspace],
        limits: CallerLimits,
    ):
        self.version = version
        self.services = services
        self.workspaces = workspaces
        self.limits = limits
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            by_prefix = self._by_host.setdefault(route.hostname, {})
            by_prefix[route.prefix] = route
        self._by_key = {
            key: workspace
            for workspace in workspaces.values()
            for key in workspace.keys
        }

    @property
    def has_workspaces(self) -> bool:
        """Return whether callers have to send a key."""
        return bool(self.workspaces)

    def find_route(self, hostname: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, if any.

        `hostname` is in lower case and without a port, `path` without its
        query. Each prefix ends with a slash.
        """
        by_prefix = self._by_host.get(hostname)
        if by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace that holds `key`, if any."""
        return self._by_key.get(key)


def intersect_regions(
    route: Route, workspace: Workspace | None
) -> frozenset[str]:
    """Return the regions that both allow; `ValueError` if there are none.

    An empty set allows all regions.
    """
    limits = [route.regions]
    if workspace is not None:
        limits.append(workspace.regions)
    limits = [limit for limit in limits if limit]
    if not limits:
        return _NO_REGIONS
    common = frozenset.intersection(*limits)
    if not common:
        raise ValueError("route and workspace have no region in common")
    return common
