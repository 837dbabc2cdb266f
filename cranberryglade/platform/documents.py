"""Decodes the operator's configuration and the endpoints' rows."""

from typing import Annotated
from typing import Literal

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import decoding
from cranberryglade.gateway import configuration
from cranberryglade.gateway import endpoint_checks
from cranberryglade.gateway import messages
from cranberryglade.gateway import ports
from cranberryglade.rollouts import orders
from cranberryglade.rollouts import status_rows

CONFIGURATION_KEY = "config"
ROLLOUT_PREFIX = "rollout/"
DEFAULT_MAX_CONNECTIONS = 1000
Rank = Annotated[int, msgspec.Meta(ge=-(2**31), le=2**31)]


class WireSplit(msgspec.Struct):
    """The share of a route's requests that one service gets."""

    service: str
    weight: decoding.Number


class WireRoute(msgspec.Struct):
    """A route.

    Attributes:
        target_latency_ms: target time to the answer, or to the first event of
            a stream.
        priority: rank, 0 is the most urgent.
        gap_aim_ms: longest pause between events that is still on time.
        stream_resume: whether another endpoint may resume a stream.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: decoding.Number
    target_latency_ms: decoding.Number = 1000.0
    priority: Rank = 0
    service: str = ""
    traffic_split: list[WireSplit] = []
    max_attempts: decoding.Integer = 1
    allow_anonymous: bool = False
    stream_resume: bool = False
    gap_aim_ms: decoding.Number = 500.0


class WireEngine(msgspec.Struct):
    """Capacity of each endpoint of a service, if the endpoints are engines."""

    slots: decoding.Integer = 0
    kv_cache_tokens: decoding.Integer = 0


class WireService(msgspec.Struct):
    """A service; `max_connections` limits one endpoint, over all instances."""

    name: str
    max_connections: decoding.Integer = DEFAULT_MAX_CONNECTIONS
    engine: WireEngine | None = None


class WireLimits(msgspec.Struct):
    """Limits on requests of callers."""

    max_header_bytes: decoding.Integer = 16_384
    max_body_bytes: decoding.Integer = 4_194_304
    header_timeout_ms: decoding.Number = 3000.0
    idle_timeout_ms: decoding.Number = 15_000.0


class WireOrganisation(msgspec.Struct):
    """An organisation.

    Attributes:
        priority: rank of its requests, which takes precedence over the
            route's; None to use the route's.
        unit: what `rate_per_s` and `burst` count: "token_count" or requests.
        plain_tokens: cost of a request that gives no token counts.
    """

    name: str
    api_keys: list[str] = []
    priority: Rank | None = None
    unit: str = ""
    plain_tokens: decoding.Integer = 0
    rate_per_s: decoding.Number = 0.0
    burst: decoding.Number = 0.0


class WireConfig(msgspec.Struct):
    """The operator's complete configuration."""

    version: decoding.Count
    routes: list[WireRoute] = []
    services: list[WireService] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: list[WireOrganisation] = []


class WireEndpoint(msgspec.Struct):
    """An endpoint's row.

    Attributes:
        zone: its failure domain.
        slots: requests that it runs at once.
        born: start of its present incarnation, milliseconds of Unix time.
        version: version of its software, not of the model's weights.
        sequence: number of this report, not of orders as elsewhere.
    """

    service: str
    address: str
    zone: str
    state: Literal["ready", "draining"]
    slots: decoding.Count = 1
    born: decoding.Count = 0
    version: str = ""
    sequence: decoding.Count = 0


class WireRollout(msgspec.Struct):
    """An order of a rollout."""

    to: str
    period_s: decoding.Quantity
    service: str = ""


class Decoder:
    """Decodes rows of the store."""

    def decode_configuration(
        self, row: ports.Row
    ) -> Result[configuration.Configuration, str] | None:
        """Decodes the configuration; returns None for any other row."""
        if row.key != CONFIGURATION_KEY or row.value is None:
            return None
        return decoding.from_json(row.value, WireConfig).map(_configuration)

    def decode_endpoint(self, row: ports.Row) -> Result[messages.Endpoint, str]:
        """Decodes an endpoint's row, or returns why it cannot be used."""
        return decoding.from_json(row.value, WireEndpoint).bind(
            lambda wire: _endpoint(row.key, wire)
        )

    def decode_rollout(
        self, row: ports.Row
    ) -> Result[orders.Order | orders.Withdrawn, str] | None:
        """Decodes an order of a rollout; returns None for any other row."""
        if not row.key.startswith(ROLLOUT_PREFIX):
            return None
        service = row.key.removeprefix(ROLLOUT_PREFIX)
        if row.value is None:
            return Success(orders.Withdrawn(service))
        return decoding.from_json(row.value, WireRollout).bind(
            lambda wire: _order(service, row.version, wire)
        )

    def decode_rollout_status(
        self, row: ports.Row
    ) -> Result[orders.Status, str] | None:
        """Decodes a rollout's status; None for any other or an absent row."""
        if not row.key.startswith(ROLLOUT_PREFIX) or row.value is None:
            return None
        service = row.key.removeprefix(ROLLOUT_PREFIX)
        return status_rows.decode(service, row.value)

    def encode_rollout_status(self, status: orders.Status) -> ports.Write:
        """Returns the write of a rollout's status, without a condition."""
        key = ROLLOUT_PREFIX + status.service
        value = status_rows.encode(status)
        return ports.Write(ports.Table.STATUS, key, value)


def _order(
    service: str, version: ports.Version, wire: WireRollout
) -> Result[orders.Order, str]:
    if wire.service not in ("", service) or not wire.period_s:
        return Failure("another service than the key's, or no period")
    id_ = str(version.number)
    return Success(orders.Order(service, wire.to, wire.period_s, id_))


def _endpoint(id_: str, wire: WireEndpoint) -> Result[messages.Endpoint, str]:
    endpoint = messages.Endpoint(
        id=id_,
        service=wire.service,
        address=wire.address,
        domain=wire.zone,
        slots=wire.slots,
        leaving=wire.state == "draining",
        started_ms=wire.born,
        software_version=wire.version,
        report_number=wire.sequence,
    )
    problem = endpoint_checks.find_problem(endpoint)
    return Success(endpoint) if problem is None else Failure(problem)


def _kind(route: WireRoute) -> configuration.Kind:
    match route.kind:
        case "idempotent":
            return configuration.Kind.IDEMPOTENT
        case "streaming" if route.stream_resume:
            return configuration.Kind.RESUMABLE
        case "streaming":
            return configuration.Kind.STREAM
        case _:
            return configuration.Kind.ONCE


def _route(wire: WireRoute) -> configuration.Route:
    shares = tuple(
        configuration.ServiceWeight(split.service, split.weight)
        for split in wire.traffic_split
        if split.weight > 0
    )
    return configuration.Route(
        name=wire.name,
        host=wire.host.lower(),
        prefix=wire.path_prefix,
        kind=_kind(wire),
        timeout_seconds=wire.timeout_ms / 1000,
        target_latency_seconds=wire.target_latency_ms / 1000,
        rank=wire.priority,
        service_weights=shares
        or (configuration.ServiceWeight(wire.service, 1.0),),
        max_attempts=max(1, wire.max_attempts),
        allow_anonymous=wire.allow_anonymous,
        max_gap_seconds=wire.gap_aim_ms / 1000,
    )


def _service(wire: WireService) -> configuration.Service:
    engine = wire.engine or WireEngine()
    return configuration.Service(
        name=wire.name,
        slots=engine.slots,
        max_connections=wire.max_connections,
        kv_cache_tokens=engine.kv_cache_tokens,
    )


def _organisation(wire: WireOrganisation) -> configuration.Organisation:
    return configuration.Organisation(
        name=wire.name,
        keys=tuple(wire.api_keys),
        rank=wire.priority,
        counts_tokens=wire.unit == "token_count",
        plain_tokens=wire.plain_tokens,
        rate=wire.rate_per_s,
        burst=wire.burst,
    )


def _configuration(wire: WireConfig) -> configuration.Configuration:
    limits = configuration.Limits(
        max_header_bytes=wire.limits.max_header_bytes,
        max_body_bytes=wire.limits.max_body_bytes,
        header_timeout_seconds=wire.limits.header_timeout_ms / 1000,
        idle_timeout_seconds=wire.limits.idle_timeout_ms / 1000,
    )
    return configuration.Configuration(
        version=wire.version,
        routes=[_route(each) for each in wire.routes],
        services=[_service(each) for each in wire.services],
        limits=limits,
        organisations=[_organisation(each) for each in wire.tenants],
    )
