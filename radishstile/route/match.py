"""Matches request paths to routes."""

from radishstile.configuration.document import Route
from radishstile.errors import RefusalError
from radishstile.outcome import Outcome, Reason


class RouteTable:
    """Routes by path, for longest-prefix matching."""

    __slots__ = ("_by_path",)

    def __init__(self, routes: dict[str, Route]):
        self._by_path: dict[str, Route] = {}
        for _, route in sorted(routes.items()):
            self._by_path.setdefault(route.path.rstrip("/"), route)

    def match(self, path: str) -> Route:
        """Return the route with the longest prefix of `path`.

        Only whole path segments match. Raises `RefusalError` with the reason
        `UNKNOWN_ROUTE` if there is none.
        """
        prefix = path.rstrip("/")
        while prefix not in self._by_path:
            if not prefix:
                raise RefusalError(Reason.UNKNOWN_ROUTE, Outcome.NOT_RUN)
            prefix = prefix.rpartition("/")[0]
        return self._by_path[prefix]
