"""Slots of one upstream, their leases and the results of requests."""

import math


class SlotLease:
    """Permission to send one request to an upstream until `deadline`."""

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
    """Result of the request on a leased slot.

    `is_over` is whether the upstream has certainly stopped running it: it was
    answered, never started, or its connection was closed.
    """

    __slots__ = ("is_over",)

    def __init__(self, is_over: bool):
        self.is_over = is_over


class EndedResult(SlotResult):
    """A result after which the upstream certainly doesn't run the request."""

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
    """No connection could be opened, so nothing was sent."""

    __slots__ = ()


class Shed(EndedResult):
    """The upstream was overloaded and refused the request as not run."""

    __slots__ = ()


class Broken(SlotResult):
    """The connection broke before the answer was complete."""

    __slots__ = ()


class TimedOut(SlotResult):
    """The upstream did not answer before the deadline."""

    __slots__ = ()


class Cancelled(SlotResult):
    """The caller disconnected, or another attempt was answered first."""

    __slots__ = ()


class Unused(EndedResult):
    """The lease was returned before anything was sent."""

    __slots__ = ()


class SlotTable:
    """The occupied slots of one upstream, by lease number.

    Each slot expires when its request's deadline and a margin have passed,
    because upstreams stop at the request's deadline.
    """

    __slots__ = ("_expiries", "_first_expiry", "_closed_until")

    def __init__(self):
        self._expiries: dict[int, float] = {}
        self._first_expiry = math.inf
        self._closed_until = 0.0

    def occupy(self, number: int, until: float) -> None:
        """Occupy a slot for lease `number` until freed, or until `until`."""
        self._expiries[number] = until
        self._first_expiry = min(self._first_expiry, until)

    def free(self, number: int) -> None:
        """Free the slot of lease `number` if it is still occupied."""
        self._expiries.pop(number, None)

    def close(self, until: float) -> None:
        """Count all slots as occupied until `until`."""
        self._closed_until = until

    def count(self, now: float) -> int:
        """Return the number of slots occupied by leases."""
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
        """Return the times after `now` at which occupied slots expire."""
        times = [*self._expiries.values(), self._closed_until]
        return [until for until in times if until > now]

    def list_deadlines(self, now: float, slots: int) -> list[float]:
        """Return when each occupied slot of all `slots` has expired."""
        times = [until for until in self._expiries.values() if until > now]
        if self.is_closed(now):
            times += [self._closed_until] * slots
        return times
