"""The faults of a soak, and a seeded random schedule of them."""

from collections.abc import Callable
import dataclasses
import random

MIN_GAP_SECONDS = 0.1
MAX_GAP_SECONDS = 1.2
MAX_DURATION_SECONDS = 4.0
MAX_REPETITIONS = 3
MAX_LATER_GAP_SECONDS = 4.0
LONG_SECONDS = (5.0, 9.0)
"""Duration of faults that gateways are given some seconds to learn of."""

MAX_LONG_GAP_SECONDS = 8.0
LIMITS_PER_SECOND = (0.0, 1.7, 6.0)


@dataclasses.dataclass(slots=True, frozen=True)
class Kill:
    """Gateways are killed together, and each is restarted later."""

    gateways: tuple[int, ...]
    down_seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class Stop:
    """A gateway gets SIGTERM, and is restarted once it has ended."""

    gateway: int


@dataclasses.dataclass(slots=True, frozen=True)
class Pause:
    """A gateway is paused by SIGSTOP."""

    gateway: int
    seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class Reload:
    """A gateway gets SIGHUP, which makes it reload its settings."""

    gateway: int


@dataclasses.dataclass(slots=True, frozen=True)
class StoreLink:
    """An impaired link from one gateway to the store; see LINK_MODES."""

    gateway: int
    mode: str
    seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointLink:
    """An impaired link from all gateways to one endpoint; see LINK_MODES."""

    endpoint: int
    mode: str
    seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class Store:
    """A fault of the store itself; see STORE_MODES."""

    mode: str
    seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class Endpoint:
    """A fault of an endpoint in half of its requests; see ENDPOINT_MODES."""

    endpoint: int
    mode: str
    seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class Leave:
    """An endpoint is listed as draining, and as ready again later."""

    endpoint: int
    seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class RevokeKey:
    """The second organisation's key is revoked, and restored later.

    Attributes:
        seconds: time until it is restored, after the bound on revocation.
    """

    seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class Configure:
    """A new version of the configuration without other changes."""


@dataclasses.dataclass(slots=True, frozen=True)
class RestoreStore:
    """The store comes back from a copy that is some seconds old.

    Attributes:
        copy_seconds: age of the copy.
        down_seconds: time for which the store refuses all calls before.
        rewrite_seconds: time until the operator and the endpoints write again.
    """

    copy_seconds: float
    down_seconds: float
    rewrite_seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class CrashingPart:
    """Endpoints crash when they answer a prompt with one part.

    Attributes:
        part: id of the part.
        seconds: time during which callers send such prompts.
    """

    part: str
    seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class NamedLimit:
    """An endpoint names a limit in its answers.

    Attributes:
        endpoint: number of the endpoint.
        per_second: the limit, in requests a second.
        seconds: how long it names it.
    """

    endpoint: int
    per_second: float
    seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class Silence:
    """A sound endpoint falls silent in some answers, and goes on."""

    endpoint: int
    seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class Rollout:
    """An order for a software version, with new endpoints beside the old.

    Attributes:
        quality: quality of the version; see ROLLOUT_QUALITIES.
        good_seconds: time for which it answers well before a fault begins.
        period_seconds: period of the order.
    """

    quality: str
    good_seconds: float
    period_seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class Crowd:
    """Many callers at one gateway that hold its memory.

    Attributes:
        gateway: number of the gateway.
        kind: what they do; see CROWD_KINDS.
        callers: how many there are.
        seconds: how long they stay.
    """

    gateway: int
    kind: str
    callers: int
    seconds: float


Fault = (
    Kill
    | Stop
    | Pause
    | Reload
    | StoreLink
    | EndpointLink
    | Store
    | Endpoint
    | Leave
    | RevokeKey
    | Configure
    | RestoreStore
    | CrashingPart
    | NamedLimit
    | Silence
    | Rollout
    | Crowd
)

LINK_MODES = ("slow", "reset", "requests", "answers", "silent", "refuse")
"""Delays data, resets all connections, holds back data to the target, from
the target or both ways, or resets new connections."""

STORE_MODES = ("refuse", "hang", "slow", "deaf", "stale", "forget", "lose")
"""Refuses, hangs, is slow, reports no changes in feeds, returns stale rows,
discards its history, or loses the responses of writes."""

ENDPOINT_MODES = (
    "fail",
    "reset",
    "truncate",
    "refuse",
    "hang",
    "duplicate",
    "unsealed",
)
"""Names of behaviours of endpoint_standin.EndpointStandin."""

LATER_ENDPOINT_MODES = ("break_off", "reset_unframed", "pause")
"""Ends streams inside an event, without framing; resets answers without
framing; refuses requests and asks for a pause."""

STREAM_END_MODES = ("fall_silent", "lose_end")
"""Is silent for a time, anywhere in an answer, and goes on; closes streams
behind the last event."""


ROLLOUT_QUALITIES = {"good": "", "bad": "fail", "later": "fail", "slow": "slow"}
"""Faults of half of the answers of a new version, by its quality."""

CROWD_KINDS = {"lengths": 40, "chunks": 40, "readers": 12}
"""Callers of a crowd. They send bodies, with a length or in chunks, and stop
just short of the end; or they read large answers slowly, fewer since each holds
a slot of an endpoint."""

CROWD_SECONDS = (0.5, 2.5)

ROLLOUT_SHARE = 0.5
"""Share of the runs with a rollout."""

MAX_ORDER_SECONDS = 3.0
TURNS_BAD_SECONDS = (1.0, 5.0)
"""Within the first steps of a rollout, in which requests are limited."""

ROLLOUT_END_SECONDS = (9.0, 11.0)
"""Time from the last start of a fault until the end of a rollout's period. By
then the faults of the store and of gateways are over, so that no fault excuses
a status that is not written."""

PLANNED_WORK = (Stop, Reload, RevokeKey, Configure)
"""Planned work beside which sound endpoints fall silent."""

MAX_SILENCE_LEAD_SECONDS = 2.0
SILENCES_SECONDS = (2.0, 4.0)
"""Time during which an endpoint falls silent in some of its answers."""


@dataclasses.dataclass(slots=True, frozen=True)
class ScheduledFault:
    """A fault and its start, in seconds from the start of the load."""

    at: float
    fault: Fault


def schedule(
    seed: int, seconds: float, gateways: int, endpoints: int
) -> list[ScheduledFault]:
    """Draws the faults of a run, the same ones for the same arguments.

    Args:
        seed: seed of the random numbers.
        seconds: time during which faults start, apart from the rest of a
            series.
        gateways: number of gateways.
        endpoints: number of endpoints.

    Returns:
        The faults in order of their start.

    >>> schedule(7, 10.0, 3, 3) == schedule(7, 10.0, 3, 3)
    True
    """
    rng = random.Random(seed)
    planned = []
    at = rng.uniform(0.2, 1.0)
    while at < seconds:
        fault = _draw_fault(rng, gateways, endpoints)
        # Some faults come in series, so that they overlap with themselves.
        count = rng.randint(2, MAX_REPETITIONS) if rng.random() < 0.25 else 1
        planned += [
            ScheduledFault(at + n * rng.uniform(0.0, 0.5), fault)
            for n in range(count)
        ]
        at += rng.uniform(MIN_GAP_SECONDS, MAX_GAP_SECONDS)
    for name, longest_gap, draw in (
        ("later kinds", MAX_LATER_GAP_SECONDS, _draw_later_kind),
        ("crashing parts", MAX_LONG_GAP_SECONDS, _draw_crashing_part),
        ("named limits", MAX_LONG_GAP_SECONDS, _draw_named_limit),
        ("stream ends", MAX_LATER_GAP_SECONDS, _draw_stream_end),
    ):
        # Random numbers of their own, so that a seed that failed before these
        # were added keeps its faults.
        own = random.Random(f"{name} {seed}")
        planned += _schedule_kind(own, seconds, endpoints, longest_gap, draw)
    own = random.Random(f"silences {seed}")
    planned += _schedule_silences(own, planned, endpoints)
    own = random.Random(f"crowds {seed}")
    planned += _schedule_crowds(own, seconds, gateways)
    own = random.Random(f"rollouts {seed}")
    planned += _schedule_rollout(own, seconds)
    return sorted(planned, key=lambda each: each.at)


def _schedule_crowds(
    rng: random.Random, seconds: float, gateways: int
) -> list[ScheduledFault]:
    """Draws up to two crowds."""
    planned = []
    for _ in range(rng.randint(0, 2)):
        kind = rng.choice(list(CROWD_KINDS))
        crowd = Crowd(
            rng.randrange(gateways),
            kind,
            CROWD_KINDS[kind],
            round(rng.uniform(*CROWD_SECONDS), 2),
        )
        planned.append(ScheduledFault(rng.uniform(0.2, seconds), crowd))
    return planned


def _schedule_rollout(
    rng: random.Random, seconds: float
) -> list[ScheduledFault]:
    """Draws at most one rollout."""
    if rng.random() >= ROLLOUT_SHARE:
        return []
    at = rng.uniform(0.0, min(MAX_ORDER_SECONDS, seconds))
    quality = rng.choice(list(ROLLOUT_QUALITIES))
    good = rng.uniform(*TURNS_BAD_SECONDS) if quality == "later" else 0.0
    period = seconds - at + rng.uniform(*ROLLOUT_END_SECONDS)
    return [ScheduledFault(at, Rollout(quality, good, round(period, 2)))]


def _schedule_silences(
    rng: random.Random, planned: list[ScheduledFault], endpoints: int
) -> list[ScheduledFault]:
    """Draws silences of sound endpoints beside planned work."""
    return [
        ScheduledFault(
            max(0.0, each.at - rng.uniform(0.0, MAX_SILENCE_LEAD_SECONDS)),
            Silence(rng.randrange(endpoints), rng.uniform(*SILENCES_SECONDS)),
        )
        for each in planned
        if isinstance(each.fault, PLANNED_WORK)
    ]


def _schedule_kind(
    rng: random.Random,
    seconds: float,
    endpoints: int,
    longest_gap: float,
    draw: Callable[[random.Random, int, int], Fault],
) -> list[ScheduledFault]:
    planned = []
    at = rng.uniform(0.2, longest_gap)
    while at < seconds:
        planned.append(ScheduledFault(at, draw(rng, endpoints, len(planned))))
        at += rng.uniform(MIN_GAP_SECONDS, longest_gap)
    return planned


def _draw_later_kind(rng: random.Random, endpoints: int, _: int) -> Fault:
    duration = round(rng.uniform(0.2, MAX_DURATION_SECONDS), 2)
    restore = RestoreStore(
        copy_seconds=duration,
        down_seconds=round(rng.uniform(0.0, 0.8), 2),
        rewrite_seconds=round(rng.uniform(0.0, 0.8), 2),
    )
    endpoint = rng.randrange(endpoints)
    mode = rng.choice(LATER_ENDPOINT_MODES)
    return rng.choice((restore, Endpoint(endpoint, mode, duration)))


def _draw_crashing_part(rng: random.Random, _: int, number: int) -> Fault:
    return CrashingPart(f"bad{number}", round(rng.uniform(*LONG_SECONDS), 2))


def _draw_named_limit(rng: random.Random, endpoints: int, _: int) -> Fault:
    duration = round(rng.uniform(*LONG_SECONDS), 2)
    per_second = rng.choice(LIMITS_PER_SECOND)
    return NamedLimit(rng.randrange(endpoints), per_second, duration)


def _draw_stream_end(rng: random.Random, endpoints: int, _: int) -> Fault:
    duration = round(rng.uniform(0.2, MAX_DURATION_SECONDS), 2)
    mode = rng.choice(STREAM_END_MODES)
    return Endpoint(rng.randrange(endpoints), mode, duration)


def _draw_fault(rng: random.Random, gateways: int, endpoints: int) -> Fault:
    seconds = round(rng.uniform(0.2, MAX_DURATION_SECONDS), 2)
    gateway = rng.randrange(gateways)
    endpoint = rng.randrange(endpoints)
    group = rng.sample(range(gateways), rng.randint(1, gateways))
    return rng.choice(
        (
            Kill((gateway,), seconds),
            Kill(tuple(group), min(seconds, 1.5)),
            Stop(gateway),
            Stop(gateway),
            Pause(gateway, seconds),
            Reload(gateway),
            StoreLink(gateway, rng.choice(LINK_MODES), seconds),
            EndpointLink(endpoint, rng.choice(LINK_MODES), seconds),
            Store(rng.choice(STORE_MODES), seconds),
            Endpoint(endpoint, rng.choice(ENDPOINT_MODES), seconds),
            Endpoint(endpoint, rng.choice(ENDPOINT_MODES), seconds),
            Leave(endpoint, seconds),
            RevokeKey(seconds),
            Configure(),
        )
    )
