"""Spans by OpenTelemetry, one for each hop of a request."""

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
    """Appends each span to a file as one line of JSON."""

    def __init__(self, path: str):
        self._file = open(path, "a", encoding="utf-8")  # noqa: SIM115

    def export(self, spans):
        """Writes the spans."""
        for span in spans:
            self._file.write(json.dumps(json.loads(span.to_json())) + "\n")
        self._file.flush()
        return export.SpanExportResult.SUCCESS

    def shutdown(self):
        """Closes the file."""
        self._file.close()


class Tracing:
    """Starts spans and carries their context from process to process."""

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
        """Starts the span of a hop; the caller ends it."""
        return self._tracer.start_span(
            hop, context=parent, attributes=attributes
        )

    def extract(self, headers: Mapping[str, str]):
        """Reads the context that a message carries."""
        return _PROPAGATOR.extract(dict(headers))

    def inject(self, span: trace.Span, headers: MutableMapping) -> None:
        """Writes the context of a span into the headers of a message."""
        _PROPAGATOR.inject(headers, trace.set_span_in_context(span))

    def context(self, span: trace.Span):
        """The context under which children of the span start."""
        return trace.set_span_in_context(span)

    def close(self) -> None:
        """Writes what is buffered."""
        self._provider.shutdown()
