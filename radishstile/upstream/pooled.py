"""One upstream of a slot pool."""

from functools import singledispatchmethod

from radishstile.configuration.document import ConfiguredUpstream
from radishstile.upstream.health import (
    COLD,
    FAILING,
    HEALTHY,
    WARMING,
    Health,
    HealthReport,
    LoadReport,
)
from radishstile.upstream.settings import UpstreamSettings
from radishstile.upstream.slot import (
    Completed,
    Shed,
    SlotLease,
    SlotResult,
    SlotTable,
)
from radishstile.upstream.slow_start import SlowStart


class PooledUpstream:
    """The health, slow start and occupied slots of one upstream.

    It gets no requests before `held_until`, except probes.
    """

    __slots__ = (
        "entry",
        "health",
        "table",
        "is_probing",
        "held_until",
        "_settings",
        "_slow_start",
        "_shed_until",
        "_last_used_at",
    )

    def __init__(
        self,
        settings: UpstreamSettings,
        entry: ConfiguredUpstream,
        now: float,
        is_warm: bool,
    ):
        self.entry = entry
        self.health = Health(settings, HEALTHY if is_warm else COLD)
        self.table = SlotTable()
        self.is_probing = False
        self.held_until = 0.0
        self._settings = settings
        open_slots = float(entry.slots) if is_warm else 1.0
        self._slow_start = SlowStart(
            settings, entry.slow_start_s, now, open_slots
        )
        self._shed_until = 0.0
        self._last_used_at = now

    def apply_entry(self, entry: ConfiguredUpstream, now: float) -> None:
        """Apply a changed configuration of the same endpoint."""
        has_more_slots = entry.slots > self.entry.slots
        self.entry = entry
        if entry.is_draining:
            self.health.fire("drain")
        elif not self.health.is_working:
            self._reinstate(now)
        if has_more_slots:
            self.health.fire("back_off")

    def _reinstate(self, now: float) -> None:
        self.health.fire("reinstate")
        if self.health.state == COLD:
            self._restart_slow_start(now)

    def _restart_slow_start(self, now: float) -> None:
        self._slow_start = SlowStart(
            self._settings, self.entry.slow_start_s, now
        )

    def record_probe(self, is_ok: bool, now: float) -> None:
        """Record the result of a probe."""
        self.is_probing = False
        self.health.record_probe(is_ok, now)
        if self.health.state == COLD:
            self._restart_slow_start(now)

    def record_report(
        self, report: HealthReport | LoadReport, now: float
    ) -> None:
        """Record what the upstream's health or load endpoint reported."""
        # A period without reports must not count for slow start later.
        may_grow = self.health.allows_slow_start(now)
        self._slow_start.advance(now, self.entry.slots, may_grow)
        self.health.record_report(report, now)

    def count_open(self, now: float) -> int:
        """Return the number of slots in service, including occupied ones."""
        if not self.health.is_working:
            return 0
        if now < max(self._shed_until, self.held_until):
            return 0
        if self.health.state == FAILING:
            return min(1, self.entry.slots)
        if self.health.state == HEALTHY:
            return self.entry.slots
        slots = self.entry.slots
        self._slow_start.advance(
            now, slots, self.health.allows_slow_start(now)
        )
        return min(self._slow_start.count_open(slots), slots)

    def count_free(self, now: float) -> int:
        """Return the number of slots that new requests could use now."""
        if self.table.is_closed(now):
            return 0
        return max(0, self.count_open(now) - self.table.count(now))

    def count_occupied(self, now: float) -> int:
        """Return the number of slots on which a request may be running."""
        if self.table.is_closed(now):
            return max(self.entry.slots, self.table.count(now))
        return self.table.count(now)

    def get_selection_key(self, now: float) -> tuple:
        """Return a sort key that is lowest for the upstream to use next.

        Slots that slow start holds back count as busy, so that warm upstreams
        are preferred. Others still get a trial request at intervals, because
        only results can show that they are ready.
        """
        slots = self.entry.slots
        held_back = slots - self.count_open(now)
        busy_share = (self.table.count(now) + held_back) / slots
        return (
            not self._is_trial_due(now),
            self.health.state == FAILING,
            self.health.has_bad_report(now),
            busy_share,
            self.health.failed_at,
            self.entry.name,
        )

    def _is_trial_due(self, now: float) -> bool:
        if self.health.state == HEALTHY or self.table.count(now):
            return False
        return now - self._last_used_at >= self._settings.trial_interval_s

    def occupy(self, number: int, until: float, now: float) -> None:
        """Occupy a slot for lease `number` until freed, or until `until`."""
        self.table.occupy(number, until)
        self._last_used_at = now

    def record_result(
        self, lease: SlotLease, result: SlotResult, now: float
    ) -> None:
        """Update health and slow start from the result of a request."""
        was_failing = self.health.state == FAILING
        self.health.record_result(result, now)
        if self.health.state == FAILING and not was_failing:
            self._slow_start.back_off()
        self._apply_to_slow_start(result, lease, now)
        if self.health.state != WARMING:
            return
        slots = self.entry.slots
        self._slow_start.advance(
            now, slots, self.health.allows_slow_start(now)
        )
        if self._slow_start.is_complete(slots):
            self.health.fire("complete")

    @singledispatchmethod
    def _apply_to_slow_start(
        self, result: SlotResult, lease: SlotLease, now: float
    ) -> None:
        """Ignore results that don't affect slow start."""

    @_apply_to_slow_start.register
    def _(self, result: Completed, lease: SlotLease, now: float) -> None:
        if self._is_slow(result, lease) and self.health.state == WARMING:
            self._slow_start.back_off()
            return
        self._slow_start.record_success()

    @_apply_to_slow_start.register
    def _(self, result: Shed, lease: SlotLease, now: float) -> None:
        self._shed_until = now + self._settings.shed_hold_s
        self.health.fire("back_off")
        self._slow_start.back_off()

    def _is_slow(self, result: Completed, lease: SlotLease) -> bool:
        if lease.expected_s is None:
            return False
        return result.service_s > lease.expected_s * self._settings.slow_ratio

    def list_openings(self, now: float) -> list[float]:
        """Return the times after `now` at which slots open by themselves."""
        times = self.table.list_openings(now)
        closed_until = max(self._shed_until, self.held_until)
        if now < closed_until:
            times.append(closed_until)
        if self.health.state != WARMING or not self.health.allows_slow_start(
            now
        ):
            return times
        opening = self._slow_start.find_next_opening(self.entry.slots)
        if opening is not None and opening > now:
            times.append(opening)
        return times
