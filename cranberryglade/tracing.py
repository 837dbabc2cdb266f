"""OpenTelemetry tracing, with one span for each hop of a request."""

from collections.abc import Mapping
from collections.abc import MutableMapping
import json

from opentelemetry import trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk
from opentelemetry.sdk.trace import export
from opentelemetry.trace.propagation import tracecontext

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


class FileExporter(export.SpanExporter):
    """Appends each span to a file as one line of JSON.

    The file is flushed after each batch of spans.
    """

    def __init__(self, path: str):
        self._file = open(path, "a", encoding="utf-8")  # noqa: SIM115

    def export(self, spans):
        """Writes the spans and returns SUCCESS."""
        for span in spans:
            self._file.write(json.dumps(json.loads(span.to_json())) + "\n")
        self._file.flush()
        return export.SpanExportResult.SUCCESS

    def shutdown(self):
        """Closes the file."""
        self._file.close()


class Tracing:
    """Starts spans and propagates their context between processes."""

    __slots__ = ("_provider", "_tracer")

    def __init__(self, instance: str, spans_file: str):
        resource = resources.Resource.create({"service.instance.id": instance})
        self._provider = sdk.TracerProvider(resource=resource)
        if spans_file:
            self._provider.add_span_processor(
                export.BatchSpanProcessor(FileExporter(spans_file))
            )
        self._tracer = self._provider.get_tracer("cranberryglade")

    def start(self, hop: str, parent=None, **attributes) -> trace.Span:
        """Starts the span of a hop, which the caller must end.

        Args:
            hop: name of the span.
            parent: context of the parent span; None for the current context.
            **attributes: attributes of the span.
        """
        return self._tracer.start_span(
            hop, context=parent, attributes=attributes
        )

    def extract(self, headers: Mapping[str, str]):
        """Returns the trace context in the headers of a message."""
        return _PROPAGATOR.extract(dict(headers))

    def inject(self, span: trace.Span, headers: MutableMapping) -> None:
        """Adds the trace context of a span to the headers of a message."""
        _PROPAGATOR.inject(headers, trace.set_span_in_context(span))

    def context(self, span: trace.Span):
        """Returns the context to start children of the span in."""
        return trace.set_span_in_context(span)

    def close(self) -> None:
        """Exports the buffered spans and closes the exporter."""
        self._provider.shutdown()
