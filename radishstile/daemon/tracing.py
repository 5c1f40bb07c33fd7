"""Tracing: spans of each hop, kept in memory and optionally exported."""

from collections import deque

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    ConsoleSpanExporter,
    SimpleSpanProcessor,
)
from opentelemetry.trace import Span, set_span_in_context
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from radishstile.daemon.settings import TraceSettings

TRACEPARENT = "traceparent"
_PROPAGATOR = TraceContextTextMapPropagator()


class SpanBuffer(SpanProcessor):
    """Keeps the newest ended spans for the `trace` command."""

    __slots__ = ("_spans",)

    def __init__(self, limit: int):
        self._spans: deque[ReadableSpan] = deque(maxlen=limit)

    def on_end(self, span: ReadableSpan) -> None:
        """Keep an ended span."""
        self._spans.append(span)

    def find(self, trace_id: str) -> list[dict]:
        """Return the spans of one trace as JSON objects, oldest first."""
        number = int(trace_id, 16)
        spans = [s for s in self._spans if s.context.trace_id == number]
        return [_span_to_dict(span) for span in spans]


def _span_to_dict(span: ReadableSpan) -> dict:
    duration_ms = (span.end_time - span.start_time) / 1e6
    parent = format(span.parent.span_id, "016x") if span.parent else None
    return {
        "name": span.name,
        "host": span.resource.attributes["service.instance.id"],
        "span_id": format(span.context.span_id, "016x"),
        "parent_id": parent,
        "started_ns": span.start_time,
        "duration_ms": round(duration_ms, 3),
        "attributes": dict(span.attributes or {}),
    }


class Tracing:
    """Starts spans and propagates their context across hops."""

    __slots__ = ("_tracer", "_provider", "buffer")

    def __init__(self, settings: TraceSettings, host: str):
        resource = Resource(
            {"service.name": "radishstile", "service.instance.id": host}
        )
        self._provider = TracerProvider(resource=resource)
        self.buffer = SpanBuffer(settings.kept)
        self._provider.add_span_processor(self.buffer)
        exporter = _EXPORTERS[settings.exporter]
        if exporter is not None:
            self._provider.add_span_processor(exporter(settings))
        self._tracer = self._provider.get_tracer("radishstile")

    def start_span(self, name: str, traceparent: str | None = None) -> Span:
        """Start a span whose parent is given by `traceparent`."""
        carrier = {TRACEPARENT: traceparent} if traceparent else {}
        return self._tracer.start_span(name, _PROPAGATOR.extract(carrier))

    def close(self) -> None:
        """Export the remaining spans."""
        self._provider.shutdown()


def make_traceparent(span: Span) -> str:
    """Return the W3C `traceparent` value of a span."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier, set_span_in_context(span))
    return carrier[TRACEPARENT]


def get_trace_id(span: Span) -> str:
    """Return the span's trace id in hexadecimal."""
    return format(span.get_span_context().trace_id, "032x")


def _make_console(_settings: TraceSettings) -> SpanProcessor:
    return SimpleSpanProcessor(ConsoleSpanExporter())


def _make_otlp(settings: TraceSettings) -> SpanProcessor:
    # Imported only if needed: the exporter's libraries take much memory.
    from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
        OTLPSpanExporter,
    )

    return BatchSpanProcessor(OTLPSpanExporter(endpoint=settings.endpoint))


_EXPORTERS = {"none": None, "console": _make_console, "otlp": _make_otlp}
