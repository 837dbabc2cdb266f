"""What one instance believes at present; shared by its stages."""

from cranberryglade.gateway import catalogue
from cranberryglade.gateway import clock
from cranberryglade.gateway import directory
from cranberryglade.gateway import freshness
from cranberryglade.gateway import messages
from cranberryglade.gateway import telemetry


class State:
    """The configuration in force, the endpoints, and how fresh they are.

    Attributes:
        incarnation: names this life of the instance.
        catalogue: the configuration in force; None before the first.
        raw_catalogue: the row that it was read from, for peers.
        directory: endpoints through outages.
        endpoints: endpoints in use, by id.
        freshness: when the configuration was last confirmed.
        share: this instance's part of what all may spend together.
        metrics: counters and histograms.
    """

    def __init__(
        self,
        incarnation: str,
        fresh: freshness.Freshness,
        metrics: telemetry.Telemetry,
    ):
        self.incarnation = incarnation
        self.catalogue: catalogue.Catalogue | None = None
        self.raw_catalogue = None
        self.directory = directory.Directory()
        self.endpoints: dict[str, messages.Endpoint] = {}
        self.freshness = fresh
        self.share = 1.0
        self.metrics = metrics

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        return self.catalogue.version if self.catalogue else 0

    def steady_now(self) -> float:
        """Seconds of the clock by which freshness is judged."""
        return clock.steady_now()

    def versions(self) -> dict[str, float]:
        """What a log line says of the configuration behind a decision."""
        age = self.freshness.age(self.steady_now())
        return {"version": self.version, "age_s": round(min(age, 9999.0), 2)}
