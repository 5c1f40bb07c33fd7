"""Registrations of upstreams and the selection of those in service."""

from enum import Enum

from radishstile.upstream.departure import DepartedUpstreams, LeavingReport


class Readiness(Enum):
    """Readiness that an upstream declares in its registration."""

    READY = "ready"
    DRAINING = "draining"


class Registration:
    """The registration of one incarnation of an upstream.

    `cold_for_s` is the remaining warm-up time in seconds at `read_at`, the
    time on the event loop's clock when the registration was read.
    `started_at_ms` is the start of the incarnation in Unix milliseconds, or 0
    if unknown.
    """

    __slots__ = (
        "upstream_id",
        "service",
        "address",
        "port",
        "zone",
        "region",
        "slots",
        "readiness",
        "cold_for_s",
        "started_at_ms",
        "read_at",
    )

    def __init__(
        self,
        upstream_id: str,
        service: str,
        address: str,
        port: int,
        zone: str,
        region: str,
        slots: int,
        readiness: Readiness,
        cold_for_s: float,
        started_at_ms: int,
        read_at: float,
    ):
        self.upstream_id = upstream_id
        self.service = service
        self.address = address
        self.port = port
        self.zone = zone
        self.region = region
        self.slots = slots
        self.readiness = readiness
        self.cold_for_s = cold_for_s
        self.started_at_ms = started_at_ms
        self.read_at = read_at

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return the id and start time, which identify one process."""
        return self.upstream_id, self.started_at_ms

    @property
    def cold_until(self) -> float:
        """Return the time at which the upstream is warm (loop's clock)."""
        return self.read_at + self.cold_for_s


class UpstreamRegistry:
    """All registered upstreams by id, and the evacuated zones.

    `version` grows with each change. `is_loaded` is whether a complete list
    of upstreams was applied. An upstream at an endpoint of the fleet's own
    hosts is not usable: its requests would come back. One that has said that
    it leaves is not usable either, whatever its registration tells.
    """

    __slots__ = (
        "_by_id",
        "_evacuated_zones",
        "_own_addresses",
        "_own_ports",
        "_departed",
        "version",
        "is_loaded",
    )

    def __init__(self):
        self._by_id: dict[str, Registration] = {}
        self._evacuated_zones: frozenset[str] = frozenset()
        self._own_addresses: frozenset[str] = frozenset()
        self._own_ports: frozenset[int] = frozenset()
        self._departed = DepartedUpstreams()
        self.version = 0
        self.is_loaded = False

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """Return the zones whose upstreams must not get requests."""
        return self._evacuated_zones

    def add(self, registration: Registration) -> None:
        """Add or replace an upstream."""
        self._by_id[registration.upstream_id] = registration
        self.version += 1

    def remove(self, upstream_id: str) -> None:
        """Remove an upstream if it is registered."""
        if self._by_id.pop(upstream_id, None) is not None:
            self._departed.forget_unknown_start(upstream_id)
            self.version += 1

    def replace_all(self, registrations: list[Registration]) -> None:
        """Replace all upstreams by a complete list."""
        self.is_loaded = True
        before = self._by_id
        self._by_id = {r.upstream_id: r for r in registrations}
        for upstream_id in before.keys() - self._by_id.keys():
            self._departed.forget_unknown_start(upstream_id)
        self.version += 1

    def record_leaving(self, report: LeavingReport) -> bool:
        """Use an upstream no more that leaves; return whether that is new."""
        if not self._departed.record(report):
            return False
        self.version += 1
        return True

    def list_leaving(self) -> list[LeavingReport]:
        """Return the reports on registered upstreams that leave."""
        reports = [
            self._departed.find(registration.incarnation)
            for registration in self._by_id.values()
        ]
        return [report for report in reports if report is not None]

    def replace_evacuated(self, zones: frozenset[str]) -> None:
        """Replace the set of evacuated zones."""
        if zones != self._evacuated_zones:
            self._evacuated_zones = zones
            self.version += 1

    def replace_own(
        self, addresses: frozenset[str], ports: frozenset[int]
    ) -> bool:
        """Replace the addresses and ports of the fleet's hosts.

        Returns whether they have changed.
        """
        if (addresses, ports) == (self._own_addresses, self._own_ports):
            return False
        self._own_addresses = addresses
        self._own_ports = ports
        self.version += 1
        return True

    def is_own(self, registration: Registration) -> bool:
        """Return whether the upstream's endpoint is one of the fleet's."""
        return (
            registration.address in self._own_addresses
            and registration.port in self._own_ports
        )

    def list_own(self) -> list[Registration]:
        """Return the upstreams whose endpoint is one of the fleet's."""
        return [r for r in self._by_id.values() if self.is_own(r)]

    def find_usable(self, upstream_id: str) -> Registration | None:
        """Return the upstream if it may get new requests, else None."""
        registration = self._by_id.get(upstream_id)
        if registration is None or not self._is_usable(registration):
            return None
        return registration

    def list_usable(self) -> list[Registration]:
        """Return the upstreams that may get new requests."""
        return [r for r in self._by_id.values() if self._is_usable(r)]

    def count(self) -> int:
        """Return the number of registered upstreams."""
        return len(self._by_id)

    def _is_usable(self, registration: Registration) -> bool:
        return (
            registration.readiness is Readiness.READY
            and not self._departed.has(registration.incarnation)
            and registration.zone not in self._evacuated_zones
            and not self.is_own(registration)
        )
