"""Configuration of the gateway: routes, services, limits, organisations."""

import dataclasses
import enum


class Kind(enum.Enum):
    """How often a request may run, and the form of its answer.

    Attributes:
        IDEMPOTENT: it may run any number of times.
        ONCE: it may run at most once.
        STREAM: its answer is a stream of events; it may run at most once.
        RESUMABLE: like STREAM, but another endpoint may continue the stream.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"
    RESUMABLE = "resumable"

    @property
    def retryable(self) -> bool:
        """Whether it may be retried or resumed after it may have run."""
        return self in (Kind.IDEMPOTENT, Kind.RESUMABLE)

    @property
    def streams(self) -> bool:
        """Whether its answer is a stream of events."""
        return self in (Kind.STREAM, Kind.RESUMABLE)


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceWeight:
    """Share of a route's requests that one service gets.

    Attributes:
        service: name of the service.
        weight: its share, relative to the other services of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Settings for the requests of one host and path prefix.

    Attributes:
        name: its name, for logs.
        host: value of the Host header, in lower case.
        prefix: beginning of the path, with a slash at both ends.
        kind: how often its requests may run, and the form of the answer.
        timeout_seconds: longest time until the final answer.
        target_latency_seconds: target time until the answer, or its first
            event; later ones are worth less.
        rank: urgency; 0 is the most urgent.
        service_weights: split of the requests over services; at least one.
        max_attempts: number of endpoints that one request may be sent to.
        allow_anonymous: whether a request without a key is admitted.
        max_gap_seconds: longest gap between two events that is on time.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    timeout_seconds: float
    target_latency_seconds: float
    rank: int
    service_weights: tuple[ServiceWeight, ...]
    max_attempts: int
    allow_anonymous: bool
    max_gap_seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A set of interchangeable endpoints.

    Attributes:
        name: its name.
        slots: number of requests that one endpoint runs at once; 0 if unknown.
        max_connections: number of connections that one endpoint accepts from
            all instances together.
        kv_cache_tokens: size of an endpoint's KV cache, in tokens; 0 for plain
            services.
    """

    name: str
    slots: int
    max_connections: int
    kv_cache_tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Limits on the size of requests and on the time to receive them.

    Attributes:
        max_header_bytes: largest size of the header fields.
        max_body_bytes: largest size of the body.
        header_timeout_seconds: longest time from the first byte of a request
            until its header fields are complete.
        idle_timeout_seconds: longest time without data on a connection.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


@dataclasses.dataclass(slots=True, frozen=True)
class Organisation:
    """An owner of API keys, with a quota.

    Attributes:
        name: its name, which is passed on to endpoints.
        keys: its API keys.
        rank: urgency of its requests, which takes precedence over the rank of
            the route; None for no preference.
        counts_tokens: whether the quota is in tokens instead of requests.
        plain_tokens: cost of a request without token counts, in tokens.
        rate: quota per second; 0 if there is none.
        burst: cost that may be used at once beyond the rate.
    """

    name: str
    keys: tuple[str, ...]
    rank: int | None
    counts_tokens: bool
    plain_tokens: int
    rate: float
    burst: float


class Configuration:
    """One version of the configuration, with lookups."""

    __slots__ = (
        "_routes_by_host",
        "_organisations_by_key",
        "limits",
        "organisations",
        "services",
        "version",
    )

    def __init__(
        self,
        version: int,
        routes: list[Route],
        services: list[Service],
        limits: Limits,
        organisations: list[Organisation],
    ):
        self.version = version
        self.limits = limits
        self.services = {service.name: service for service in services}
        self.organisations = {each.name: each for each in organisations}
        self._organisations_by_key = {
            key: each for each in organisations for key in each.keys
        }
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for host_routes in self._routes_by_host.values():
            host_routes.sort(key=lambda route: -len(route.prefix))

    @property
    def requires_keys(self) -> bool:
        """Whether requests need a key, except on anonymous routes."""
        return bool(self.organisations)

    def route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path, if any.

        Args:
            host: value of the Host header.
            path: path of the request, without its query.
        """
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def organisation_of(self, key: str) -> Organisation | None:
        """Returns the organisation that a key belongs to, if any."""
        return self._organisations_by_key.get(key)
