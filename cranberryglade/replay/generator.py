"""Generates traces of two example deployments from a seed."""

import dataclasses
import math
import random

from cranberryglade.replay import traces
from cranberryglade.standins import model

ENGINE_SPEED = model.Speed(
    batch=8,
    step_seconds=0.02,
    sequence_seconds=0.001,
    prefill_seconds=0.00008,
    prefill_chunk=256,
    cache_tokens=60_000,
)
SERVICE_SPEED = model.Speed(batch=4, step_seconds=0.04, sequence_seconds=0.001)
GENERATIONS = (("g1", 1.5), ("g2", 1.0), ("g3", 0.7))
BURST_FACTOR = 2.5
BURST_SECONDS = (6.0, 18.0)
PREFIXES_PER_ORGANISATION = 12
SERVICE_LOAD = 0.02


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """One kind of request in a deployment.

    Attributes:
        name: name of its rule in the configuration.
        target: the model or service that answers it.
        rank: rank of the tier; 0 is the highest.
        share: its share of the target's work, between 0 and 1.
        prompt_tokens: shortest and longest prompt in tokens.
        output_tokens: shortest and longest answer in tokens; (0, 0) for a
            service.
        prefix_tokens: length of the shared prefix in tokens; 0 for none.
        deadline_seconds: time limit of the whole answer.
        first_token_seconds: time limit of the first token.
        idempotent: whether it may run more than once.
        keyed: whether callers send idempotency keys.
    """

    name: str
    target: str
    rank: int
    share: float
    prompt_tokens: tuple[int, int]
    output_tokens: tuple[int, int]
    prefix_tokens: int
    deadline_seconds: float
    first_token_seconds: float = 2.0
    idempotent: bool = True
    keyed: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Deployment:
    """A failure domain with its endpoints, organisations and requests.

    Attributes:
        failure_domain: name of the failure domain.
        hop_seconds: one-way latency between instances, or to an endpoint.
        engines: number of engines by model.
        services: number of endpoints by plain service.
        organisations: pairs of an organisation's name and its share of the
            requests.
        kinds: kinds of requests that the organisations send.
    """

    failure_domain: str
    hop_seconds: float
    engines: dict[str, int]
    services: dict[str, int]
    organisations: tuple[tuple[str, float], ...]
    kinds: tuple[Kind, ...]


DEPLOYMENTS = {
    "tulikalpa": Deployment(
        "salt-lake",
        0.001,
        {"brief-writer": 6},
        {"commission-desk": 3},
        (
            ("kolkata", 0.42),
            ("howrah", 0.3),
            ("overseas", 0.14),
            ("memorials", 0.09),
            ("shelters", 0.05),
        ),
        (
            Kind(
                "reply",
                "brief-writer",
                0,
                0.3,
                (60, 900),
                (20, 300),
                0,
                12.0,
                0.51,
                False,
            ),
            Kind(
                "brief",
                "brief-writer",
                1,
                0.4,
                (700, 6000),
                (150, 900),
                600,
                40.0,
                2.0,
                False,
            ),
            Kind(
                "painter-note",
                "brief-writer",
                2,
                0.3,
                (800, 20000),
                (100, 1200),
                600,
                60.0,
                4.0,
            ),
            Kind(
                "deposit",
                "commission-desk",
                0,
                0.5,
                (50, 50),
                (0, 0),
                0,
                3.0,
                1.0,
                False,
                True,
            ),
            Kind(
                "status-lookup",
                "commission-desk",
                1,
                0.5,
                (50, 50),
                (0, 0),
                0,
                3.0,
                1.0,
            ),
        ),
    ),
    "werkliste": Deployment(
        "wien-a",
        0.0015,
        {"assistant": 5},
        {"lists": 3},
        (
            ("stores-east", 0.4),
            ("customer-app", 0.35),
            ("stores-west", 0.12),
            ("planners", 0.08),
            ("franchise-new", 0.05),
        ),
        (
            Kind(
                "counter",
                "assistant",
                0,
                0.25,
                (60, 400),
                (15, 90),
                0,
                4.0,
                0.51,
                False,
            ),
            Kind(
                "range-check",
                "assistant",
                1,
                0.25,
                (600, 3000),
                (80, 400),
                500,
                15.0,
            ),
            Kind(
                "plan",
                "assistant",
                2,
                0.5,
                (3000, 24000),
                (300, 1200),
                2000,
                60.0,
                5.0,
            ),
            Kind(
                "reservation",
                "lists",
                0,
                0.5,
                (50, 50),
                (0, 0),
                0,
                3.0,
                1.0,
                False,
                True,
            ),
            Kind(
                "stock-lookup", "lists", 1, 0.5, (50, 50), (0, 0), 0, 3.0, 1.0
            ),
        ),
    ),
}


def make(
    deployment: str, load: float, seconds: float, seed: int, instances: int
) -> traces.Trace:
    """Generates a trace.

    Args:
        deployment: a key of DEPLOYMENTS.
        load: offered work divided by the capacity of the engines; plain
            services get SERVICE_LOAD instead.
        seconds: time in which requests arrive.
        seed: seed of the random numbers; the same arguments give the same
            trace.
        instances: number of entry instances.
    """
    settings = DEPLOYMENTS[deployment]
    rng = random.Random(seed)
    endpoints = _endpoints(settings)
    header = traces.Header(
        name=f"{deployment} load {load} seed {seed}",
        failure_domain=settings.failure_domain,
        instances=instances,
        hop_seconds=settings.hop_seconds,
        capacity=load,
    )
    bursts = _burst_intervals(rng, seconds)
    requests = []
    for kind in settings.kinds:
        target_endpoints = [e for e in endpoints if e.target == kind.target]
        load_share = load if kind.output_tokens[1] else SERVICE_LOAD
        rate = (
            load_share
            * kind.share
            * sum(1 / e.factor for e in target_endpoints)
        )
        rate /= _mean_engine_seconds(kind, target_endpoints[0].speed)
        requests += _requests(rng, kind, settings, rate, seconds, bursts)
    requests.sort(key=lambda request: request.at)
    faults = sorted(_faults(settings, seconds), key=lambda fault: fault.at)
    return traces.Trace(header, endpoints, requests, faults)


def _endpoints(deployment: Deployment) -> list[traces.Endpoint]:
    lines = []
    for target, count in deployment.engines.items():
        for number in range(count):
            generation, factor = GENERATIONS[number % len(GENERATIONS)]
            lines.append(
                traces.Endpoint(
                    name=f"{target}-{number}",
                    target=target,
                    generation=generation,
                    factor=factor,
                    speed=ENGINE_SPEED,
                )
            )
    for target, count in deployment.services.items():
        lines += [
            traces.Endpoint(
                name=f"{target}-{number}",
                target=target,
                slots=SERVICE_SPEED.batch,
                speed=SERVICE_SPEED,
            )
            for number in range(count)
        ]
    return lines


def _burst_intervals(
    rng: random.Random, seconds: float
) -> list[tuple[float, float]]:
    bursts = []
    at = rng.uniform(10.0, 25.0)
    while at < seconds:
        length = rng.uniform(*BURST_SECONDS)
        bursts.append((at, at + length))
        at += length + rng.uniform(10.0, 30.0)
    return bursts


def _requests(rng, kind, deployment, rate, seconds, bursts):
    burst_fraction = (
        sum(min(end, seconds) - start for start, end in bursts) / seconds
    )
    base_rate = rate / (1 + burst_fraction * (BURST_FACTOR - 1))
    names = [name for name, _ in deployment.organisations]
    shares = [share for _, share in deployment.organisations]
    at = 0.0
    lines = []
    while True:
        bursting = any(start <= at < end for start, end in bursts)
        at += rng.expovariate(base_rate * (BURST_FACTOR if bursting else 1.0))
        if at >= seconds:
            return lines
        organisation = rng.choices(names, shares)[0]
        lines.append(_request(rng, kind, organisation, at, len(lines)))


def _request(rng, kind, organisation, at, number) -> traces.Request:
    prefix = ""
    if kind.prefix_tokens:
        prefix = (
            f"{kind.name}/{organisation}/"
            f"{rng.randrange(PREFIXES_PER_ORGANISATION)}"
        )
    max_tokens = kind.output_tokens[1]
    return traces.Request(
        at=round(at, 4),
        request_id=f"{kind.name}-{number}",
        organisation=organisation,
        kind=kind.name,
        target=kind.target,
        rank=kind.rank,
        idempotent=kind.idempotent,
        keyed=kind.keyed,
        prompt_tokens=_random_length(rng, kind.prompt_tokens),
        max_tokens=max_tokens,
        output_tokens=_random_length(rng, kind.output_tokens)
        if max_tokens
        else 0,
        prefix=prefix,
        prefix_tokens=kind.prefix_tokens,
        deadline_seconds=kind.deadline_seconds,
        first_token_seconds=kind.first_token_seconds,
    )


def _random_length(rng: random.Random, bounds: tuple[int, int]) -> int:
    """Draws a length in tokens; its logarithm is uniformly distributed."""
    low, high = bounds
    return round(math.exp(rng.uniform(math.log(low), math.log(high))))


def _mean_length(bounds: tuple[int, int]) -> float:
    """Returns the mean of `_random_length` without its rounding."""
    low, high = bounds
    return (high - low) / math.log(high / low) if high > low else high


def _mean_engine_seconds(kind: Kind, speed: model.Speed) -> float:
    """Returns mean engine seconds, with half of the shared prefix cached."""
    prompt = _mean_length(kind.prompt_tokens) - kind.prefix_tokens / 2
    return speed.engine_seconds(
        prompt, max(1, _mean_length(kind.output_tokens))
    )


def _faults(deployment: Deployment, seconds: float) -> list[traces.Fault]:
    target = next(iter(deployment.engines))
    slowed, leaving, died = (f"{target}-{number}" for number in (1, 2, 3))
    times = [round(seconds * part, 1) for part in (0.25, 0.3, 0.5, 0.6)]
    first, early, middle, late = times
    return [
        traces.Fault(
            at=first,
            fault="slow",
            subject=slowed,
            factor=6.0,
            scene="straggler",
        ),
        traces.Fault(
            at=late, fault="slow", subject=slowed, factor=1.0, scene="straggler"
        ),
        traces.Fault(
            at=early, fault="leaving", subject=leaving, scene="leaving"
        ),
        traces.Fault(
            at=middle, fault="died", subject=died, scene="endpoint-died"
        ),
        traces.Fault(
            at=middle,
            fault="instance_died",
            subject="entry-1",
            scene="instance-died",
        ),
        traces.Fault(at=first, fault="platform_down", scene="platform-down"),
        traces.Fault(at=middle, fault="platform_up", scene="platform-down"),
    ]
