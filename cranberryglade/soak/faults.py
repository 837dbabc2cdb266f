"""The faults of a soak, and a seeded schedule of them."""

import dataclasses
import random

LEAST_GAP_SECONDS = 0.1
MOST_GAP_SECONDS = 1.2
MOST_LASTING_SECONDS = 4.0
SERIES = 3


@dataclasses.dataclass(slots=True, frozen=True)
class Kill:
    """Processes are killed at once and started again after a while."""

    gateways: tuple[int, ...]
    down_seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class Stop:
    """A process is asked to stop, and started again once it has ended."""

    gateway: int


@dataclasses.dataclass(slots=True, frozen=True)
class Pause:
    """A process stands still."""

    gateway: int
    seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class Reload:
    """A process is told that its settings file has changed."""

    gateway: int


@dataclasses.dataclass(slots=True, frozen=True)
class StoreLink:
    """The way of one gateway to the store: delayed, cut one way, silent."""

    gateway: int
    how: str
    seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointLink:
    """The way of all gateways to one endpoint."""

    endpoint: int
    how: str
    seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class Store:
    """The store itself: refuses, hangs, is slow, deaf, stale, forgets."""

    how: str
    seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class Endpoint:
    """An endpoint fails, loses answers, tears them, is full, is silent."""

    endpoint: int
    how: str
    seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class Leave:
    """An endpoint says that it leaves, and is taken back later."""

    endpoint: int
    seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class TakeKey:
    """The second organisation's key is taken away for a while."""

    seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class Configure:
    """A new version of the configuration that changes nothing."""


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
    | TakeKey
    | Configure
)

LINK_WAYS = ("slow", "reset", "requests", "answers", "silent", "refuse")
STORE_WAYS = ("refuse", "hang", "slow", "deaf", "stale", "forget", "lose")
ENDPOINT_WAYS = ("fail", "lose", "tear", "full", "hang", "twice", "unsealed")


@dataclasses.dataclass(slots=True, frozen=True)
class Planned:
    """A fault and when it comes, in seconds from the start of the load."""

    at: float
    fault: Fault


def plan(
    seed: int, seconds: float, gateways: int, endpoints: int
) -> list[Planned]:
    """Draws the faults of a run.

    >>> plan(7, 10.0, 3, 3) == plan(7, 10.0, 3, 3)
    True
    """
    drawn = random.Random(seed)
    planned = []
    at = drawn.uniform(0.2, 1.0)
    while at < seconds:
        fault = _draw(drawn, gateways, endpoints)
        # Some come in series, so that they overlap with themselves.
        count = drawn.randint(2, SERIES) if drawn.random() < 0.25 else 1
        planned += [
            Planned(at + n * drawn.uniform(0.0, 0.5), fault)
            for n in range(count)
        ]
        at += drawn.uniform(LEAST_GAP_SECONDS, MOST_GAP_SECONDS)
    return sorted(planned, key=lambda each: each.at)


def _draw(drawn: random.Random, gateways: int, endpoints: int) -> Fault:
    seconds = round(drawn.uniform(0.2, MOST_LASTING_SECONDS), 2)
    gateway = drawn.randrange(gateways)
    endpoint = drawn.randrange(endpoints)
    some = drawn.sample(range(gateways), drawn.randint(1, gateways))
    return drawn.choice(
        (
            Kill((gateway,), seconds),
            Kill(tuple(some), min(seconds, 1.5)),
            Stop(gateway),
            Stop(gateway),
            Pause(gateway, seconds),
            Reload(gateway),
            StoreLink(gateway, drawn.choice(LINK_WAYS), seconds),
            EndpointLink(endpoint, drawn.choice(LINK_WAYS), seconds),
            Store(drawn.choice(STORE_WAYS), seconds),
            Endpoint(endpoint, drawn.choice(ENDPOINT_WAYS), seconds),
            Endpoint(endpoint, drawn.choice(ENDPOINT_WAYS), seconds),
            Leave(endpoint, seconds),
            TakeKey(seconds),
            Configure(),
        )
    )
