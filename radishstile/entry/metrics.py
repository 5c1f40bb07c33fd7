"""Metrics of an entry host, in the text format of Prometheus."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from radishstile.slot.load_report import LoadReport
from radishstile.slot.returns import ReturnCounts
from radishstile.slot.share_report import ShareReport, list_largest

# Upstreams whose pace is exposed; each is two time series.
MAX_PACES = 200
_LATENCY_BUCKETS_S = [
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.5,
    0.75,
    1.0,
    2.0,
    4.0,
    8.0,
]


class EntryMetrics:
    """The Prometheus counters, gauges and histograms of an entry host."""

    __slots__ = (
        "_registry",
        "answers",
        "endings",
        "grants",
        "latency",
        "claim_wait",
        "hold_time",
        "store_calls",
        "state",
        "dropped_lines",
        "malformed_entries",
        "retained",
        "wire",
        "refused_claims",
        "granted_work",
        "waiting_work",
        "returns",
        "load_reports",
        "leaving_reports",
        "pauses",
        "pace",
        "pace_age",
        "choices",
        "held_bytes",
        "unread_requests",
        "closed_connections",
    )

    def __init__(self):
        self._registry = Registry()
        self._add_requests()
        self._add_state()
        self._add_shares()
        self._add_loads()
        self._add_connections()

    def _add_requests(self) -> None:
        self.answers = self._add(
            Counter, "radishstile_answers", "Answers by status and reason."
        )
        self.endings = self._add(
            Counter, "radishstile_runs", "Runs on upstreams by ending."
        )
        self.grants = self._add(
            Counter,
            "radishstile_slot_grants",
            "Granted slots by service and the upstream's region.",
        )
        self.latency = self._add_histogram(
            "radishstile_request_seconds",
            "From a request's first byte to its answer.",
        )
        self.claim_wait = self._add_histogram(
            "radishstile_claim_seconds", "Wait for a slot."
        )
        self.hold_time = self._add_histogram(
            "radishstile_run_seconds", "Time that a run held a slot."
        )

    def _add_state(self) -> None:
        self.store_calls = self._add(
            Gauge, "radishstile_store_calls", "Calls to the store by kind."
        )
        self.state = self._add(
            Gauge, "radishstile_state", "Versions, ages and counts by name."
        )
        self.dropped_lines = self._add(
            Gauge, "radishstile_log_lines_dropped", "Log lines not written."
        )
        self.malformed_entries = self._add(
            Counter, "radishstile_malformed_entries", "Entries not usable."
        )
        self.retained = self._add(
            Counter,
            "radishstile_retained_objects",
            "Objects retained as the store was restored, by kind and result.",
        )
        self.wire = self._add(
            Gauge, "radishstile_wire", "Counters of peers' connections."
        )

    def _add_shares(self) -> None:
        self.refused_claims = self._add(
            Counter,
            "radishstile_refused_claims",
            "Refused claims by priority and who has the capacity.",
        )
        self.granted_work = self._add(
            Gauge,
            "radishstile_granted_slot_seconds",
            "Expected time of granted slots by workspace.",
        )
        self.waiting_work = self._add(
            Gauge,
            "radishstile_waiting_slot_seconds",
            "Expected time of waiting claims by workspace.",
        )
        self.returns = self._add(
            Gauge,
            "radishstile_reserved_returns",
            "Reservations for the returns of refused callers by result.",
        )

    def _add_loads(self) -> None:
        self.load_reports = self._add(
            Counter, "radishstile_load_reports", "Reported loads by result."
        )
        self.leaving_reports = self._add(
            Counter,
            "radishstile_leaving_upstreams",
            "Upstreams that say that they leave, by result.",
        )
        self.pauses = self._add(
            Counter,
            "radishstile_upstream_pauses",
            "Pauses that upstreams ask for, by result.",
        )
        self.pace = self._add(
            Gauge, "radishstile_upstream_pace", "Reported pace, 1.0 as usual."
        )
        self.pace_age = self._add(
            Gauge,
            "radishstile_upstream_pace_age_seconds",
            "Age of the reported pace.",
        )
        self.choices = self._add(
            Gauge,
            "radishstile_upstream_choices",
            "Choices among upstreams that report a pace, by reason.",
        )

    def _add_connections(self) -> None:
        self.held_bytes = self._add(
            Gauge,
            "radishstile_held_bytes",
            "Memory held for connections of callers by kind.",
        )
        self.unread_requests = self._add(
            Counter,
            "radishstile_unread_requests",
            "Requests refused before they were read, by reason.",
        )
        self.closed_connections = self._add(
            Counter,
            "radishstile_closed_connections",
            "Connections of callers closed by this host, by reason.",
        )

    def update_shares(self, report: ShareReport) -> None:
        """Show the work and the refusals where slots are shared.

        The largest workspaces are named, and the rest is added up.
        """
        for (priority, contention), count in report.refused.items():
            labels = {"priority": str(priority), "reason": contention.value}
            self.refused_claims.set(labels, count)
        for gauge, amounts in (
            (self.granted_work, report.granted_s),
            (self.waiting_work, report.waiting_s),
        ):
            gauge.values.clear()
            for workspace, work_s in list_largest(amounts).items():
                gauge.set({"workspace": workspace}, work_s)

    def update_returns(self, counts: ReturnCounts) -> None:
        """Show the reservations for returns of refused callers."""
        for result in ReturnCounts.__slots__:
            self.returns.set({"result": result}, getattr(counts, result))

    def count_load(self, result: str) -> None:
        """Count a reported load; `result` is one of a few fixed words."""
        self.load_reports.inc({"result": result})

    def count_retained(self, kind: str, result: str, count: int) -> None:
        """Count objects of a kind that were retained in a new era."""
        self.retained.add({"kind": kind, "result": result}, count)

    def count_leaving(self, result: str) -> None:
        """Count an upstream that leaves; `result` is a fixed word."""
        self.leaving_reports.inc({"result": result})

    def count_pause(self, result: str) -> None:
        """Count a pause asked for; `result` is one of a few fixed words."""
        self.pauses.inc({"result": result})

    def set_paces(self, paces: dict[str, LoadReport], now: float) -> None:
        """Replace the reported paces by upstream, at most `MAX_PACES`."""
        self.pace.values.clear()
        self.pace_age.values.clear()
        for upstream_id in sorted(paces)[:MAX_PACES]:
            labels = {"upstream": upstream_id}
            report = paces[upstream_id]
            self.pace.set(labels, report.pace)
            self.pace_age.set(labels, report.measure_age(now))

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Return the body and headers for a scrape."""
        return render(self._registry, [accept])

    def _add(self, kind: type, name: str, text: str):
        return kind(name, text, registry=self._registry)

    def _add_histogram(self, name: str, text: str) -> Histogram:
        return Histogram(
            name, text, buckets=_LATENCY_BUCKETS_S, registry=self._registry
        )
