"""The configuration that the gateway serves by: routes, services, keys."""

import dataclasses
import enum


class Kind(enum.Enum):
    """What of a request may be repeated.

    Attributes:
        IDEMPOTENT: it may run any number of times.
        ONCE: it may run once at most.
        STREAM: its answer is a series of events; it may run once at most.
        RESUMABLE: like STREAM, but another endpoint may continue the series.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"
    RESUMABLE = "resumable"

    @property
    def repeatable(self) -> bool:
        """Whether it may be sent again after it may have run."""
        return self in (Kind.IDEMPOTENT, Kind.RESUMABLE)

    @property
    def streams(self) -> bool:
        """Whether its answer is a series of events."""
        return self in (Kind.STREAM, Kind.RESUMABLE)


@dataclasses.dataclass(slots=True, frozen=True)
class Share:
    """The part of a route's requests that one service gets."""

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Requests of one host and path prefix.

    Attributes:
        name: its name, for logs.
        host: value of the Host header, in lower case.
        prefix: beginning of the path, with a slash at both ends.
        kind: what may be repeated.
        timeout_seconds: longest time until the final answer.
        aim_seconds: time to the answer, or first event, worth its full value.
        rank: urgency; 0 is the most urgent.
        shares: the services that run it, at least one.
        attempts: how many endpoints one request may be sent to.
        anonymous: whether it needs no key.
        pause_seconds: longest pause between events that is still on time.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    timeout_seconds: float
    aim_seconds: float
    rank: int
    shares: tuple[Share, ...]
    attempts: int
    anonymous: bool
    pause_seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A set of endpoints that are interchangeable.

    Attributes:
        name: its name.
        slots: requests that one of its endpoints runs at once; 0 if unknown.
        connections: connections that one endpoint takes from all instances.
        memory_tokens: memory of one endpoint, in tokens; 0 for plain services.
    """

    name: str
    slots: int
    connections: int
    memory_tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Bounds on what a caller may send, and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclasses.dataclass(slots=True, frozen=True)
class Organisation:
    """A holder of keys with a quota.

    Attributes:
        name: its name, which endpoints are told.
        keys: its API keys.
        rank: urgency of its requests, before that of the route; or None.
        counts_tokens: whether the quota is in tokens instead of requests.
        plain_tokens: what a request without token counts costs.
        rate: quota per second; 0 if there is none.
        burst: what may be spent at once beyond the rate.
    """

    name: str
    keys: tuple[str, ...]
    rank: int | None
    counts_tokens: bool
    plain_tokens: int
    rate: float
    burst: float


class Catalogue:
    """One version of the configuration, with its lookups."""

    __slots__ = (
        "_hosts",
        "_keys",
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
        self._keys = {key: each for each in organisations for key in each.keys}
        self._hosts: dict[str, list[Route]] = {}
        for route in routes:
            self._hosts.setdefault(route.host, []).append(route)
        for listed in self._hosts.values():
            listed.sort(key=lambda route: -len(route.prefix))

    @property
    def has_keys(self) -> bool:
        """Whether requests need a key, but on anonymous routes."""
        return bool(self.organisations)

    def route(self, host: str, path: str) -> Route | None:
        """The route with the longest prefix of the path, if any.

        Args:
            host: value of the Host header.
            path: path of the request, without its query.
        """
        for route in self._hosts.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def holder(self, key: str) -> Organisation | None:
        """The organisation that holds a key."""
        return self._keys.get(key)
