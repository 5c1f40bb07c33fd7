"""Slot pool of the upstreams of one group in one availability zone."""

from collections.abc import Collection, Mapping
from types import MappingProxyType

from radishstile.configuration.document import ConfiguredUpstream
from radishstile.upstream.health import HealthReport, LoadReport
from radishstile.upstream.pooled import PooledUpstream
from radishstile.upstream.settings import UpstreamSettings
from radishstile.upstream.slot import SlotLease, SlotResult

NO_HOLDS = MappingProxyType({})


def format_endpoint(entry: ConfiguredUpstream) -> str:
    """Return `ADDRESS:PORT`, which identifies an upstream to all hosts."""
    return f"{entry.address}:{entry.port}"


class SlotPool:
    """Leases the slots of the upstreams of one group in one zone.

    Upstreams are identified by endpoint, not by name, so that renaming one in
    the configuration never doubles its slots.
    """

    __slots__ = (
        "_settings",
        "_upstreams",
        "_removed",
        "_leaving",
        "_last_lease_number",
        "_closed_until",
        "_previous_expiries",
        "_previous_leases",
        "_is_configured",
    )

    def __init__(self, settings: UpstreamSettings):
        self._settings = settings
        self._upstreams: dict[tuple[str, int], PooledUpstream] = {}
        self._removed: set[tuple[str, int]] = set()
        self._leaving: frozenset[str] = frozenset()
        self._last_lease_number = 0
        self._closed_until = 0.0
        # Expiry times of the previous owner's slots by endpoint, and the
        # leases that stand for them in this pool.
        self._previous_expiries: dict[str, list[float]] = {}
        self._previous_leases: list[tuple[PooledUpstream, int]] = []
        self._is_configured = False

    def apply_upstreams(
        self,
        entries: list[ConfiguredUpstream],
        now: float,
        held_until: Mapping[tuple[str, int], float] = NO_HOLDS,
    ) -> None:
        """Replace the upstreams; removed ones get no new requests.

        Upstreams of the first call count as warm, because they have served
        requests of a previous owner; those added later start cold. Endpoints
        in `held_until` get no requests before that time.
        """
        known = {(entry.address, entry.port): entry for entry in entries}
        for endpoint, entry in known.items():
            self._apply_entry(endpoint, entry, now)
            until = held_until.get(endpoint, 0.0)
            self._upstreams[endpoint].held_until = until
        self._removed = set(self._upstreams) - set(known)
        for endpoint in self._removed:
            self._upstreams[endpoint].health.fire("leave")
        self._is_configured = True
        self.apply_leaving(self._leaving, now)
        self._drop_removed(now)

    def _apply_entry(
        self, endpoint, entry: ConfiguredUpstream, now: float
    ) -> None:
        upstream = self._upstreams.get(endpoint)
        if upstream is None:
            is_warm = not self._is_configured
            upstream = PooledUpstream(self._settings, entry, now, is_warm)
            upstream.table.close(self._closed_until)
            self._upstreams[endpoint] = upstream
            self._occupy_previous(upstream)
        upstream.apply_entry(entry, now)

    def _drop_removed(self, now: float) -> None:
        for endpoint in list(self._removed):
            if self._upstreams[endpoint].count_occupied(now) == 0:
                del self._upstreams[endpoint]
                self._removed.discard(endpoint)

    def apply_leaving(self, names: Collection[str], now: float) -> None:
        """Stop new requests to the upstreams listed as leaving."""
        self._leaving = frozenset(names)
        for endpoint, upstream in self._upstreams.items():
            if upstream.entry.name in self._leaving:
                upstream.health.fire("leave")
            elif endpoint not in self._removed:
                upstream.apply_entry(upstream.entry, now)

    def take_over(self, now: float, max_deadline_s: float) -> None:
        """Block all slots until the previous owner's requests have ended.

        `max_deadline_s` is the longest deadline, in seconds, that the
        previous owner may have sent to an upstream.
        """
        margin_s = self._settings.deadline_margin_s
        self._close(now + max_deadline_s + margin_s)

    def take_over_after_close(self, now: float) -> None:
        """Block all slots for the grace period after the owner's end."""
        self._close(now + self._settings.closed_grace_s)

    def record_clean_release(self) -> None:
        """Unblock the slots: the previous owner had nothing in flight."""
        self._close(0.0)

    def apply_handover(
        self, deadlines: dict[str, list[float]], now: float
    ) -> None:
        """Block only the slots that the previous owner has in use.

        `deadlines` is the result of the previous owner's `list_deadlines`
        after its last request. It replaces an earlier handover.
        """
        self._close(0.0)
        for upstream, number in self._previous_leases:
            upstream.table.free(number)
        self._previous_leases = []
        self._previous_expiries = {
            endpoint: [now + left_s for left_s in times]
            for endpoint, times in deadlines.items()
        }
        for upstream in self._upstreams.values():
            self._occupy_previous(upstream)

    def _occupy_previous(self, upstream: PooledUpstream) -> None:
        for until in self._previous_expiries.get(
            format_endpoint(upstream.entry), ()
        ):
            self._last_lease_number += 1
            upstream.table.occupy(self._last_lease_number, until)
            self._previous_leases.append((upstream, self._last_lease_number))

    def list_deadlines(self, now: float) -> dict[str, list[float]]:
        """Return the occupied slots of each endpoint, for the next owner.

        Each is given as the number of seconds from `now` after which it is
        certainly free, because hosts don't share a clock.
        """
        deadlines = {}
        for upstream in self._upstreams.values():
            entry = upstream.entry
            times = upstream.table.list_deadlines(now, entry.slots)
            if times:
                left = [until - now for until in times]
                deadlines[format_endpoint(entry)] = left
        return deadlines

    def _close(self, until: float) -> None:
        self._closed_until = until
        for upstream in self._upstreams.values():
            upstream.table.close(until)

    def acquire(
        self,
        now: float,
        deadline: float,
        excluded: Collection[str] = (),
        expected_s: float | None = None,
    ) -> SlotLease | None:
        """Return a lease of the best free slot, or None.

        `excluded` are the names of upstreams that must not get this request;
        `expected_s` is its expected service time.
        """
        candidates = [
            upstream
            for upstream in self._upstreams.values()
            if upstream.entry.name not in excluded
            and upstream.count_free(now) > 0
        ]
        if not candidates:
            return None
        chosen = min(
            candidates, key=lambda upstream: upstream.get_selection_key(now)
        )
        return self._make_lease(chosen, now, deadline, expected_s)

    def _make_lease(
        self,
        upstream: PooledUpstream,
        now: float,
        deadline: float,
        expected_s: float | None,
    ) -> SlotLease:
        self._last_lease_number += 1
        until = deadline + self._settings.deadline_margin_s
        upstream.occupy(self._last_lease_number, until, now)
        entry = upstream.entry
        return SlotLease(
            self._last_lease_number,
            entry.name,
            entry.address,
            entry.port,
            deadline,
            expected_s,
        )

    def release(
        self, lease: SlotLease, result: SlotResult, now: float
    ) -> None:
        """Record a result and free the slot if the request is over.

        A slot whose request may still be running stays occupied until its
        deadline and a margin have passed.
        """
        upstream = self._upstreams.get(lease.endpoint)
        if upstream is None:
            return
        if result.is_over:
            upstream.table.free(lease.number)
        upstream.record_result(lease, result, now)
        self._drop_removed(now)

    def acquire_probe(self, now: float, deadline: float) -> SlotLease | None:
        """Return a lease to probe a down upstream whose probe is due."""
        for upstream in self._upstreams.values():
            if upstream.is_probing or not upstream.health.is_probe_due(now):
                continue
            if upstream.count_occupied(now) >= upstream.entry.slots:
                continue
            upstream.is_probing = True
            return self._make_lease(upstream, now, deadline, None)
        return None

    def release_probe(
        self, lease: SlotLease, is_ok: bool, is_over: bool, now: float
    ) -> None:
        """Record the result of a probe and free its slot if it is over."""
        upstream = self._upstreams.get(lease.endpoint)
        if upstream is None:
            return
        if is_over:
            upstream.table.free(lease.number)
        upstream.record_probe(is_ok, now)

    def record_report(
        self, name: str, report: HealthReport | LoadReport, now: float
    ) -> None:
        """Record what an upstream's health or load endpoint reported."""
        for upstream in self._upstreams.values():
            if upstream.entry.name == name:
                upstream.record_report(report, now)

    @property
    def upstreams(self) -> list[PooledUpstream]:
        """Return all upstreams, including removed ones in use."""
        return list(self._upstreams.values())

    def count_open(self, now: float) -> int:
        """Return the number of slots in service, including occupied ones."""
        return sum(
            upstream.count_open(now)
            for upstream in self._upstreams.values()
            if not upstream.table.is_closed(now)
        )

    def count_free(self, now: float) -> int:
        """Return the number of slots that new requests could use now."""
        return sum(
            upstream.count_free(now) for upstream in self._upstreams.values()
        )

    def count_occupied(self, now: float) -> int:
        """Return the number of slots on which a request may be running."""
        return sum(
            upstream.count_occupied(now)
            for upstream in self._upstreams.values()
        )

    def has_working(self, excluded: Collection[str] = ()) -> bool:
        """Return whether any upstream not excluded may get requests."""
        return any(
            upstream.health.is_working and upstream.entry.name not in excluded
            for upstream in self._upstreams.values()
        )

    def find_last_expiry(self, now: float) -> float | None:
        """Return when the last occupied slot expires, or None."""
        times = [
            time
            for upstream in self._upstreams.values()
            for time in upstream.table.list_openings(now)
        ]
        return max(times, default=None)

    def find_next_opening(self, now: float) -> float | None:
        """Return when the next slot opens by the passing of time, or None."""
        times = [
            time
            for upstream in self._upstreams.values()
            for time in upstream.list_openings(now)
        ]
        return min(times, default=None)
