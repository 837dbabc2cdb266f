"""Counters and histograms, served as text."""

from collections.abc import Callable

import prometheus_client

BUCKETS_SECONDS = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)


class Telemetry:
    """Metrics of one instance."""

    __slots__ = ("_ended", "_registry", "_seconds", "counts")

    def __init__(self):
        self._registry = prometheus_client.CollectorRegistry()
        self._ended = prometheus_client.Counter(
            "cranberryglade_requests",
            "Requests of callers by how they ended.",
            ["reason"],
            registry=self._registry,
        )
        self._seconds = prometheus_client.Histogram(
            "cranberryglade_request_seconds",
            "Time from a whole request to the end of its answer.",
            buckets=BUCKETS_SECONDS,
            registry=self._registry,
        )
        self.counts = prometheus_client.Counter(
            "cranberryglade_events",
            "What happened to the instance and its dependencies.",
            ["event"],
            registry=self._registry,
        )

    def ended(self, reason: str, seconds: float) -> None:
        """Counts the end of a request; 0 seconds if it was not served."""
        self._ended.labels(reason).inc()
        if seconds:
            self._seconds.observe(seconds)

    def event(self, name: str) -> None:
        """Counts an event."""
        self.counts.labels(name).inc()

    def watch(self, name: str, says: str, read: Callable[[], float]) -> None:
        """Shows a present value.

        Args:
            name: without the project's name; ends with its unit, if any.
            says: what the value is.
            read: gives the value when the metrics are fetched.
        """
        prometheus_client.Gauge(
            f"cranberryglade_{name}", says, registry=self._registry
        ).set_function(read)

    def text(self) -> bytes:
        """All metrics in the text format."""
        return prometheus_client.generate_latest(self._registry)
