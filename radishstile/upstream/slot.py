"""Slots of one upstream, leases of them and results of their requests."""

import math


class SlotLease:
    """The right to send one request to one upstream until `deadline`."""

    __slots__ = (
        "number",
        "upstream",
        "address",
        "port",
        "deadline",
        "expected_s",
    )

    def __init__(
        self,
        number: int,
        upstream: str,
        address: str,
        port: int,
        deadline: float,
        expected_s: float | None,
    ):
        self.number = number
        self.upstream = upstream
        self.address = address
        self.port = port
        self.deadline = deadline
        self.expected_s = expected_s

    @property
    def endpoint(self) -> tuple[str, int]:
        """Return the upstream's address and port."""
        return self.address, self.port


class SlotResult:
    """How a leased slot's request ended.

    `is_over` tells whether the upstream has surely stopped working on it:
    its end was seen, it never began, or its connection was closed.
    """

    __slots__ = ("is_over",)

    def __init__(self, is_over: bool):
        self.is_over = is_over


class EndedResult(SlotResult):
    """A result that shows the upstream to have stopped or never begun."""

    __slots__ = ()

    def __init__(self):
        super().__init__(is_over=True)


class Completed(EndedResult):
    """The upstream answered in `service_s` seconds."""

    __slots__ = ("service_s",)

    def __init__(self, service_s: float):
        super().__init__()
        self.service_s = service_s


class Errored(EndedResult):
    """The upstream answered with a server error."""

    __slots__ = ()


class Unreachable(EndedResult):
    """No connection to the upstream came about, so nothing was sent."""

    __slots__ = ()


class Shed(EndedResult):
    """The upstream refused the request as not run, for lack of room."""

    __slots__ = ()


class Broken(SlotResult):
    """The connection ended before the whole answer had come."""

    __slots__ = ()


class TimedOut(SlotResult):
    """The upstream did not answer before the deadline."""

    __slots__ = ()


class Cancelled(SlotResult):
    """The caller went away, or another answer was first."""

    __slots__ = ()


class Unused(EndedResult):
    """The lease was given back before anything was sent."""

    __slots__ = ()


class SlotTable:
    """Counts the occupied slots of one upstream.

    Each slot frees itself when its request's deadline and a margin have
    passed, because upstreams stop at the deadline that they were given.
    """

    __slots__ = ("_expiries", "_first_expiry", "_closed_until")

    def __init__(self):
        self._expiries: dict[int, float] = {}
        self._first_expiry = math.inf
        self._closed_until = 0.0

    def occupy(self, number: int, until: float) -> None:
        """Occupy one slot for lease `number` until it is freed or `until`."""
        self._expiries[number] = until
        self._first_expiry = min(self._first_expiry, until)

    def free(self, number: int) -> None:
        """Free the slot of lease `number`, if it is still occupied."""
        self._expiries.pop(number, None)

    def close(self, until: float) -> None:
        """Count every slot as occupied until `until`."""
        self._closed_until = until

    def count(self, now: float) -> int:
        """Return the slots occupied by leases."""
        if now < self._first_expiry:
            return len(self._expiries)
        for number, until in list(self._expiries.items()):
            if until <= now:
                del self._expiries[number]
        self._first_expiry = min(self._expiries.values(), default=math.inf)
        return len(self._expiries)

    def is_closed(self, now: float) -> bool:
        """Return whether all slots count as occupied."""
        return now < self._closed_until

    def list_openings(self, now: float) -> list[float]:
        """Return the times after `now` at which time alone frees slots."""
        times = [*self._expiries.values(), self._closed_until]
        return [until for until in times if until > now]

    def list_deadlines(self, now: float, slots: int) -> list[float]:
        """Return when each occupied slot of all `slots` is surely free."""
        times = [until for until in self._expiries.values() if until > now]
        if self.is_closed(now):
            times += [self._closed_until] * slots
        return times
