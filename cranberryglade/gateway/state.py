"""State of one instance that the stages of request handling share."""

import asyncio

from cranberryglade import quarantine
from cranberryglade.gateway import configuration
from cranberryglade.gateway import configuration_age
from cranberryglade.gateway import endpoint_directory
from cranberryglade.gateway import endpoint_limits
from cranberryglade.gateway import messages
from cranberryglade.gateway import process_pauses
from cranberryglade.gateway import reachability
from cranberryglade.gateway import shutdown
from cranberryglade.gateway import telemetry
from cranberryglade.preemption import options


class InstanceState:
    """The configuration in force, its age, and the endpoints.

    Attributes:
        incarnation: incarnation of this instance.
        configuration: the configuration in force; None before the first.
        configuration_row: the store's row that it was read from, for peers.
        directory: entries of the endpoints, retained through outages.
        endpoints: endpoints in use, by id.
        configuration_age: when the configuration was last confirmed.
        store_era: newest era of the store that is known; None before the first
            answer.
        store_answered: is set by the first answer of the store, and by the
            first after it has come back from an old copy.
        store_restored: is set when the store has come back from an old copy.
        process_pauses: what was asked again since this process stood still.
        limit_share: this instance's fraction of common limits.
        metrics: counters and histograms.
        quarantine: prompt parts and requests that crash endpoints.
        endpoint_limits: limits that endpoints name.
        reachability: endpoints that only other instances reach.
        shutdown: whether the instance shuts down, and until when.
        contention: what operators set for contention.
    """

    def __init__(
        self,
        incarnation: str,
        config_age: configuration_age.ConfigurationAge,
        metrics: telemetry.Telemetry,
    ):
        self.incarnation = incarnation
        self.configuration: configuration.Configuration | None = None
        self.configuration_row = None
        self.directory = endpoint_directory.EndpointDirectory()
        self.endpoints: dict[str, messages.Endpoint] = {}
        self.store_era: int | None = None
        self.store_answered = asyncio.Event()
        self.store_restored = asyncio.Event()
        self.configuration_age = config_age
        self.process_pauses = process_pauses.ProcessPauses()
        self.limit_share = 1.0
        self.metrics = metrics
        self.quarantine = quarantine.Quarantine()
        self.endpoint_limits = endpoint_limits.EndpointLimits()
        self.reachability = reachability.Reachability()
        self.shutdown = shutdown.Shutdown()
        self.contention = options.PreemptionOptions()

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        return self.configuration.version if self.configuration else 0

    def confirmation_age(self) -> float:
        """Returns the seconds since the configuration was last confirmed.

        The store, or a peer, was in touch with this instance then. Infinite
        before the first confirmation.
        """
        return self.configuration_age.age(asyncio.get_running_loop().time())

    def log_fields(self) -> dict[str, float]:
        """Returns log fields: version and age of the configuration in force.

        While the instance shuts down, also the time since SIGTERM.
        """
        now = asyncio.get_running_loop().time()
        age = self.configuration_age.age(now)
        return {
            "version": self.version,
            "age_s": round(min(age, 9999.0), 2),
            **self.shutdown.log_fields(now),
        }
