"""Prometheus metrics of an instance."""

from collections.abc import Callable

import prometheus_client

from cranberryglade.answer_grammar import reporting

BUCKETS_SECONDS = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)


class Telemetry:
    """Metrics of one instance, in a registry of its own.

    Attributes:
        event_counter: counter of events by name.
    """

    __slots__ = ("_registry", "_request_seconds", "_requests", "event_counter")

    def __init__(self):
        self._registry = prometheus_client.CollectorRegistry()
        self._requests = prometheus_client.Counter(
            "cranberryglade_requests",
            "Requests of callers by how they ended.",
            ["reason"],
            registry=self._registry,
        )
        self._request_seconds = prometheus_client.Histogram(
            "cranberryglade_request_seconds",
            "Time from a whole request to the end of its answer.",
            buckets=BUCKETS_SECONDS,
            registry=self._registry,
        )
        self.event_counter = prometheus_client.Counter(
            "cranberryglade_events",
            "What happened to the instance and its dependencies.",
            ["event"],
            registry=self._registry,
        )

        self._registry.register(reporting.MALFORMED_ANSWERS)

    def count_request(self, reason: str, seconds: float) -> None:
        """Counts a request that has ended.

        Args:
            reason: how it ended.
            seconds: its duration; 0 records none, as for rejected requests.
        """
        self._requests.labels(reason).inc()
        if seconds:
            self._request_seconds.observe(seconds)

    def count_event(self, name: str) -> None:
        """Counts an event.

        Args:
            name: value of the label "event".
        """
        self.event_counter.labels(name).inc()

    def add_gauge(
        self, name: str, documentation: str, read: Callable[[], float]
    ) -> None:
        """Adds a gauge.

        Args:
            name: name without the prefix "cranberryglade_"; ends with the
                unit, if any.
            documentation: help text.
            read: returns the value; called when the metrics are fetched.
        """
        prometheus_client.Gauge(
            f"cranberryglade_{name}", documentation, registry=self._registry
        ).set_function(read)

    def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)
