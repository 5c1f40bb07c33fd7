"""Metrics of one daemon, in the text format of Prometheus."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render

_LATENCY_BUCKETS_S = [
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
]


class Metrics:
    """The daemon's counters, gauges and histograms.

    `lookup_count` is copied into `lookups` at each scrape, as incrementing
    the collector costs more than the look-up itself.
    """

    __slots__ = (
        "_registry",
        "requests",
        "latency",
        "headroom",
        "refused_within_rate",
        "lookups",
        "lookup_count",
        "store_calls",
        "peers",
        "versions",
        "is_current",
        "wire",
    )

    def __init__(self):
        self._registry = Registry()
        self.requests = self._add(
            Counter, "radishstile_requests", "Requests by outcome."
        )
        self.latency = Histogram(
            "radishstile_request_seconds",
            "Time from a request's arrival to the end of its answer.",
            buckets=_LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self.headroom = self._add(
            Gauge, "radishstile_headroom_slots", "Free slots by region."
        )
        self.refused_within_rate = self._add(
            Counter,
            "radishstile_refused_within_rate",
            "Requests refused although within their workspace's rate.",
        )
        self.lookups = self._add(
            Counter, "radishstile_lookups", "Look-ups answered."
        )
        self.lookup_count = 0
        self.store_calls = self._add(
            Gauge, "radishstile_store_calls", "Calls to the store by kind."
        )
        self.peers = self._add(
            Gauge, "radishstile_members", "Known members by state."
        )
        self.versions = self._add(
            Gauge, "radishstile_versions", "Version in force by object."
        )
        self.is_current = self._add(
            Gauge, "radishstile_current", "1 while keyed routes are served."
        )
        self.wire = self._add(
            Gauge, "radishstile_wire", "Counters of the peer streams."
        )

    def _add(self, kind: type, name: str, text: str):
        return kind(name, text, registry=self._registry)

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Return the body and headers for a scrape."""
        return render(self._registry, [accept])
