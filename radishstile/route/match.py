"""Finds the route of a request's path."""

from radishstile.configuration.document import Route
from radishstile.errors import RefusalError
from radishstile.outcome import Outcome, Reason


class RouteTable:
    """Routes by path, for look-ups of the longest matching prefix."""

    __slots__ = ("_by_path",)

    def __init__(self, routes: dict[str, Route]):
        self._by_path: dict[str, Route] = {}
        for _, route in sorted(routes.items()):
            self._by_path.setdefault(route.path.rstrip("/"), route)

    def match(self, path: str) -> Route:
        """Return the route with the longest path that `path` lies below.

        Raises `RefusalError` with `UNKNOWN_ROUTE` where there is none.
        """
        prefix = path.rstrip("/")
        while prefix not in self._by_path:
            if not prefix:
                raise RefusalError(Reason.UNKNOWN_ROUTE, Outcome.NOT_RUN)
            prefix = prefix.rpartition("/")[0]
        return self._by_path[prefix]
