"""Builders and a replay of requests for the tests of rollouts."""

import dataclasses
import heapq
import itertools
import random

from cranberryglade.gateway import configuration
from cranberryglade.gateway import messages
from cranberryglade.gateway import slots
from cranberryglade.rollouts import comparison
from cranberryglade.rollouts import exposure
from cranberryglade.rollouts import gate
from cranberryglade.rollouts import options
from cranberryglade.rollouts import orders
from cranberryglade.rollouts import rollout
from cranberryglade.tests import gateway_builders

Outcome = messages.Outcome

SERVICE = gateway_builders.SERVICE
LIMIT = exposure.Limit(0.1, 50)
STORE_SECONDS = 0.008
"""Time of a transaction of the store."""

CUT_OFF_SECONDS = 5.0
SLOW_ENDPOINT = 4.4
"""Times as long as the others take on a third of the endpoints."""

SLOWDOWN = 2.5
SLOWDOWN_SECONDS = 0.6
"""Engines slow down by this factor for as long, without any fault."""


def make_order(version="v2", period=40.0, id_="0.1") -> orders.Order:
    return orders.Order(SERVICE, version, period, id_)


def make_status(**changes) -> orders.Status:
    fields = {
        "service": SERVICE,
        "state": orders.State.RUNNING,
        "version": "v2",
        "order_id": "0.1",
    }
    return orders.Status(**(fields | changes))


def make_answer(endpoint, outcome, number) -> comparison.Answer:
    return comparison.Answer(
        endpoint,
        (0, "once", True),
        False,
        outcome,
        1.0,
        0.2,
        1000.0,
        100,
        number,
    )


def make_endpoints(count: int, slots_each: int = 5) -> dict:
    """Returns endpoints of the old version and as many of the new one."""
    numbers = itertools.product(("v1", "v2"), range(count))
    endpoints = [
        gateway_builders.make_endpoint(
            f"{version}-{number:04}",
            software_version=version,
            slots=slots_each,
        )
        for version, number in numbers
    ]
    return {each.id: each for each in endpoints}


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """What is wrong with the new version.

    Attributes:
        error_rate: part of its answers that fail.
        slow_rate: part of its answers that are slow.
        slowness: times as long as usual these take.
        since: seconds after the order from which on it is bad.
        ranks: ranks of the routes that are affected.
        running: requests at an endpoint from which on it is bad.
    """

    error_rate: float = 0.0
    slow_rate: float = 0.0
    slowness: float = 4.0
    since: float = 0.0
    ranks: tuple[int, ...] = (0, 1, 2)
    running: int = 0

    @property
    def is_bad(self) -> bool:
        """Whether anything is wrong."""
        return bool(self.error_rate or self.slow_rate)


@dataclasses.dataclass(slots=True)
class Replay:
    """Replays requests of callers against a service with a rollout.

    Attributes:
        fault: what is wrong with the new version.
        seed: seed of the load.
        endpoints: endpoints of each version.
        rate: requests a second.
        period: seconds of the rollout.
        instances: number of instances.
        cut_off_share: share of the instances that decide alone for a while.
        crashes: whether endpoints of both versions crash and fail at times.
        slowdowns: whether each endpoint is slower for a tenth of the time.
        jump: factor of the load in the middle third of the period.
        exposed: grants of the new version.
        bad: answers of the new version that were bad.
        requests: requests so far.
        bad_at_verdict: of these, those before the verdict.
        last_exposed_at: when the new version last got a request.
        fiftieth_bad_at: when its 50th bad answer came.
        ended_at: when the last status was stored.
        running_at_end: requests at old endpoints then.
        state: the stored state.
        conducted: the rollout.
    """

    fault: Fault
    seed: int
    endpoints: int = 22
    rate: float = 200.0
    period: float = 40.0
    instances: int = 59
    cut_off_share: float = 0.25
    crashes: bool = False
    slowdowns: bool = False
    jump: float = 1.0
    exposed: int = 0
    bad: int = 0
    bad_at_verdict: int = 0
    requests: int = 0
    last_exposed_at: float = 0.0
    fiftieth_bad_at: float = float("inf")
    ended_at: float = float("inf")
    running_at_end: int = -1
    state: orders.State = orders.State.RUNNING
    conducted: rollout.Rollout = dataclasses.field(init=False)
    _random: random.Random = dataclasses.field(init=False)
    _events: list = dataclasses.field(init=False, default_factory=list)
    _numbers: itertools.count = dataclasses.field(
        init=False, default_factory=itertools.count
    )
    _cut_off_at: float = dataclasses.field(init=False, default=0.0)
    _running: dict = dataclasses.field(init=False, default_factory=dict)
    _listed: dict = dataclasses.field(init=False, default_factory=dict)

    def __post_init__(self):
        self._random = random.Random(self.seed)
        self._listed = make_endpoints(self.endpoints)

    @property
    def exposure_limit(self) -> float:
        """Most requests that a bad version may get."""
        return LIMIT.share * self.requests + LIMIT.slack

    def run(self) -> "Replay":
        """Runs the whole period."""
        allocating = gate.ServiceVersions()
        alone = gate.ServiceVersions()
        for versions in (allocating, alone):
            versions.observe_endpoints(self._listed)
            versions.orders[SERVICE] = make_order(period=self.period)
            versions.renew(SERVICE)
        self.conducted = rollout.Rollout(
            make_order(period=self.period),
            LIMIT,
            options.RolloutOptions(),
            make_status(),
            0.0,
        )
        allocating.conduct(SERVICE, self.conducted)
        schedulers = [
            slots.SlotScheduler(versions=versions)
            for versions in (allocating, alone)
        ]
        for scheduler in schedulers:
            scheduler.update_endpoints(self._listed, 0.0)
        self._push(0.0, "arrival", None)
        self._push(0.0, "tick", None)
        self._push(0.0, "step", None)
        self._cut_off_at = self._random.uniform(0.1, 0.8) * self.period
        while self._events and self._events[0][0] < self.period:
            now, _, event, detail = heapq.heappop(self._events)
            match event:
                case "arrival":
                    self._arrive(schedulers, now)
                case "end":
                    self._end(schedulers, detail, now)
                case "tick":
                    for each in schedulers:
                        self._apply(each, each.tick(now), now)
                    self._push(now + 0.05, "tick", None)
                case "step":
                    self._step(allocating, schedulers, now)
                case "stored":
                    self._confirm(allocating, detail, now)
        return self

    def _is_cut(self, now: float) -> bool:
        return self._cut_off_at <= now < self._cut_off_at + CUT_OFF_SECONDS

    def _push(self, when: float, event: str, detail) -> None:
        number = next(self._numbers)
        heapq.heappush(self._events, (when, number, event, detail))

    def _arrive(self, schedulers, now: float) -> None:
        self.requests += 1
        middle = self.period / 3 <= now < 2 * self.period / 3
        rate = self.rate * (self.jump if middle else 1.0)
        self._push(now + self._random.expovariate(rate), "arrival", None)
        rank = self._random.choice((0, 1, 1, 2, 2))
        instance = self._random.randrange(self.instances)
        request = gateway_builders.make_slot_request(
            f"r-{self.requests}",
            rank=rank,
            kind=list(configuration.Kind)[rank],
            prompt_tokens=(3780, 2950, 1170)[rank],
            output_tokens=(120, 52, 172)[rank],
            wait_until=now + 5.0,
            first_answer_due=now + 1.0,
        )
        alone = (
            self._is_cut(now) and instance < self.cut_off_share * self.instances
        )
        scheduler = schedulers[alone]
        decisions = scheduler.request_slot(f"g-{instance}", request, now)
        self._apply(scheduler, decisions, now)

    def _apply(self, scheduler, decisions, now: float) -> None:
        for decision in decisions:
            if isinstance(decision.result, messages.Granted):
                self._begin(scheduler, decision.result, now)

    def _begin(self, scheduler, granted: messages.Granted, now: float) -> None:
        endpoint = self._listed[granted.endpoint]
        new = endpoint.software_version == "v2"
        self._running[endpoint.id] = self._running.get(endpoint.id, 0) + 1
        lease = scheduler._leases.get(granted.id)
        seconds = self._usual_seconds(endpoint, lease.work_units)
        outcome = Outcome.SERVED
        slow, failing = self._find_fault(endpoint, lease.request.rank, now)
        if new:
            self.exposed += 1
            self.last_exposed_at = now
        if slow:
            seconds *= self.fault.slowness
        if self.slowdowns and self._is_slowed(endpoint, now):
            seconds *= SLOWDOWN
        if failing or self._fails_anyway(endpoint, now):
            outcome = Outcome.FAILED
        detail = (scheduler, granted, outcome, now, new and (slow or failing))
        self._push(now + seconds, "end", detail)

    def _usual_seconds(self, endpoint, work_units: float) -> float:
        number = int(endpoint.id.split("-")[1])
        pace = 3.0 if number % 3 == 2 else 3.0 / SLOW_ENDPOINT
        busy = 1 + 0.1 * self._running[endpoint.id]
        spread = self._random.lognormvariate(0.0, 0.15)
        return pace * busy * spread * work_units / 60_000

    def _is_slowed(self, endpoint, now: float) -> bool:
        spell = f"{self.seed} {endpoint.id} {int(now / SLOWDOWN_SECONDS)}"
        return random.Random(spell).random() < 0.1

    def _find_fault(self, endpoint, rank: int, now: float) -> tuple[bool, bool]:
        fault = self.fault
        affected = (
            endpoint.software_version == "v2"
            and now >= fault.since
            and rank in fault.ranks
            and self._running[endpoint.id] >= fault.running
        )
        chance = self._random.random()
        failing = affected and chance < fault.error_rate
        slow = affected and not failing and self._random.random()
        return affected and slow < fault.slow_rate, failing

    def _fails_anyway(self, endpoint, now: float) -> bool:
        if not self.crashes:
            return False
        number = int(endpoint.id.split("-")[1])
        is_faulty = number == self.seed % self.endpoints
        crashes = int(now) % 10 == 5 and number % 4 == self.seed % 4
        rate = 0.5 if is_faulty else 0.3 if crashes else 0.005
        return self._random.random() < rate

    def _end(self, schedulers, detail, now: float) -> None:
        scheduler, granted, outcome, began_at, bad = detail
        self._running[granted.endpoint] -= 1
        if bad:
            self.bad += 1
            if self.bad == 50:
                self.fiftieth_bad_at = now
        decisions = scheduler.release(
            granted.id, outcome, now, 0.3 * (now - began_at)
        )
        if self.conducted.rejection and not self.bad_at_verdict:
            self.bad_at_verdict = self.bad
        self._apply(scheduler, decisions, now)

    def _step(self, versions, schedulers, now: float) -> None:
        if not self.conducted.is_over:
            old = versions.old_endpoints(SERVICE)
            running = [id_ for e in schedulers for id_ in e.requests_at(old)]
            self.conducted.advance(running, not self._is_cut(now), now)
            versions.renew(SERVICE)
            status = self.conducted.status_to_store()
            if status is not None:
                self._push(now + STORE_SECONDS, "stored", status)
            self._push(now + 0.25, "step", None)

    def _confirm(self, versions, status: orders.Status, now: float) -> None:
        self.conducted.confirm(status, now)
        self.state = status.state
        versions.renew(SERVICE)
        if status.state is not orders.State.RUNNING:
            self.ended_at = now
            self.running_at_end = sum(
                self._running.get(f"v1-{n:04}", 0)
                for n in range(self.endpoints)
            )
