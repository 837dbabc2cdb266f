"""Measures the processor time of an allocator under the load of many instances.

The allocator is driven by the datagrams that it would receive: slot requests,
releases and heartbeats. Time is simulated, so that the queue, the endpoints and
the instances behave alike on any machine; only processor time is measured.
"""

import asyncio
import collections
import dataclasses
import heapq
import random
import time

from cranberryglade.gateway import allocation
from cranberryglade.gateway import charges
from cranberryglade.gateway import configuration
from cranberryglade.gateway import configuration_age
from cranberryglade.gateway import datagrams
from cranberryglade.gateway import mesh
from cranberryglade.gateway import messages
from cranberryglade.gateway import quotas
from cranberryglade.gateway import slots
from cranberryglade.gateway import state
from cranberryglade.gateway import telemetry
from cranberryglade.placement import options

OWN_NAME = "allocator"
OWN_ADDRESS = "127.0.0.1:7600"
SERVICE = "models"
TICK_SECONDS = 0.05
INSTANCE_AGE_SECONDS = 600.0
REVOKE_SECONDS = 5.0
TOLERANCE = quotas.OverrunTolerance(8.0, 0.1, 190_000.0)
TOKENS_PER_SECOND = 1e6
"""Quota of an organisation; no request exceeds it."""

MEAN_PROMPT_TOKENS = 2500
MAX_PROMPT_TOKENS = 50_000
MEAN_OUTPUT_TOKENS = 110
WAIT_SECONDS = 4.0
TARGET_SECONDS = 0.8
RANKS = 3
DOMAINS = 5
MICROSECONDS_PER_SECOND = 1e6


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """Size of the deployment and its load.

    Attributes:
        instances: number of instances, with the allocator.
        endpoints: number of endpoints of one service.
        slots: slots of each endpoint.
        load: requests that arrive, as a share of what the endpoints can run.
        answer_seconds: mean time that a request holds its slot.
        organisations: number of organisations.
        seconds: simulated time.
        seed: seed of arrivals and sizes.
        remote_cost: factor on the cost of endpoints in another domain.
    """

    instances: int = 195
    endpoints: int = 59
    slots: int = 4
    load: float = 0.7
    answer_seconds: float = 0.35
    organisations: int = 19
    seconds: float = 5.0
    seed: int = 1
    remote_cost: float = 1.0

    @property
    def requests_per_second(self) -> float:
        """Rate at which requests arrive."""
        return self.load * self.endpoints * self.slots / self.answer_seconds


@dataclasses.dataclass(slots=True)
class Measurement:
    """Processor time of an allocator.

    Attributes:
        plan: what was played.
        cores: processor time for each second of simulated time.
        microseconds: mean processor time of one message, by its type; of one
            call of the periodic work under "tick".
        counts: number of messages received, by type.
        granted: number of requests that got a slot.
        denied: number of requests that were denied one.
        most_waiting: greatest length of the queue.
        sent: number of datagrams sent.
        sent_bytes: their size.
    """

    plan: Plan
    cores: float = 0.0
    microseconds: dict[str, float] = dataclasses.field(default_factory=dict)
    counts: dict[str, int] = dataclasses.field(
        default_factory=collections.Counter
    )
    granted: int = 0
    denied: int = 0
    most_waiting: int = 0
    sent: int = 0
    sent_bytes: int = 0


class SimulatedTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is set by the simulation.

    Attributes:
        now: the time.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def time(self) -> float:
        """Returns the time of the simulation."""
        return self.now


class RecordingTransport:
    """Transport of the allocator that keeps what is sent."""

    def __init__(self):
        self.sent: list[bytes] = []

    def is_closing(self) -> bool:
        """Returns False; it never closes."""
        return False

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Records a datagram."""
        self.sent.append(data)


def measure(plan: Plan) -> Measurement:
    """Plays the load of a plan against an allocator."""
    with asyncio.Runner(loop_factory=SimulatedTimeLoop) as runner:
        loop = runner.get_loop()
        loop.now = INSTANCE_AGE_SECONDS
        return runner.run(_Simulation(plan, loop).run())


class _Simulation:
    """One allocator, and the instances and endpoints that it grants for."""

    def __init__(self, plan: Plan, loop: SimulatedTimeLoop):
        self._plan = plan
        self._loop = loop
        self._random = random.Random(plan.seed)
        self._result = Measurement(plan)
        self._spent: dict[str, float] = collections.Counter()
        self._events: list[tuple[float, int, str, object]] = []
        self._sequence = 0
        self._holders: dict[str, str] = {}
        self._held: dict[str, dict[str, str]] = collections.defaultdict(dict)
        self._names = [f"front-{n}" for n in range(plan.instances - 1)]
        self._transport = RecordingTransport()
        self._slots: slots.SlotScheduler | None = None
        self._allocator: allocation.SharedAllocator | None = None
        self._mesh: mesh.Mesh | None = None

    async def run(self) -> Measurement:
        """Returns the measurement."""
        self._assemble()
        end = self._loop.now + self._plan.seconds
        self._schedule(0.0, "arrival", None)
        self._schedule(0.0, "tick", None)
        for name in self._names:
            self._schedule(
                self._random.uniform(0.0, self._period), "heartbeat", name
            )
        while self._events[0][0] < end:
            self._loop.now, _, kind, subject = heapq.heappop(self._events)
            self._handle(kind, subject)
        return self._finish()

    @property
    def _period(self) -> float:
        return self._mesh.members.heartbeat_seconds

    def _assemble(self) -> None:
        instance_state = state.InstanceState(
            "1",
            configuration_age.ConfigurationAge(REVOKE_SECONDS),
            telemetry.Telemetry(),
        )
        self._slots = slots.SlotScheduler(
            instance_state.quarantine,
            instance_state.endpoint_limits,
            options.PlacementOptions(remote_cost=self._plan.remote_cost),
        )
        charging = charges.Charges(
            quotas.Quotas(_find_organisation, TOLERANCE),
            quotas.Quotas(_find_organisation, TOLERANCE),
        )
        self._allocator = allocation.SharedAllocator(
            OWN_NAME, self._slots, charging
        )
        self._mesh = mesh.Mesh(
            OWN_NAME,
            _domain(0),
            OWN_ADDRESS,
            instance_state,
            self._allocator.receive,
            lambda member, status: None,
            self._allocator.report,
        )
        self._allocator.set_mesh(self._mesh)
        self._mesh.connection_made(self._transport)
        for number, name in enumerate(self._names):
            self._mesh.members.register(
                name, _address(number), _domain(number), self._loop.now
            )
        listed = {each.id: each for each in map(self._endpoint, self._ids)}
        self._slots.update_endpoints(listed, self._loop.now)

    @property
    def _ids(self) -> range:
        return range(self._plan.endpoints)

    def _endpoint(self, number: int) -> messages.Endpoint:
        return messages.Endpoint(
            f"i-{number:04}",
            SERVICE,
            f"10.1.0.{number}:80",
            _domain(number),
            self._plan.slots,
            False,
            1,
            "v1",
        )

    def _schedule(self, delay: float, kind: str, subject: object) -> None:
        self._sequence += 1
        at = self._loop.now + delay
        heapq.heappush(self._events, (at, self._sequence, kind, subject))

    def _handle(self, kind: str, subject: object) -> None:
        match kind:
            case "arrival":
                rate = self._plan.requests_per_second
                self._schedule(self._random.expovariate(rate), "arrival", None)
                self._arrive()
            case "end":
                self._end(subject)
            case "heartbeat":
                self._schedule(self._period, "heartbeat", subject)
                self._beat(subject)
            case "tick":
                self._schedule(TICK_SECONDS, "tick", None)
                started = time.process_time()
                self._allocator.tick(self._loop.now)
                self._mesh.members.rank(self._loop.now)
                self._mesh.members.contacts_suffice(self._loop.now)
                self._count("tick", time.process_time() - started)
        self._read_sent()

    def _arrive(self) -> None:
        self._sequence += 1
        name = self._random.choice(self._names)
        id_ = f"{name}.{self._sequence}"
        self._holders[id_] = name
        rank = self._random.randrange(RANKS)
        prompt = self._random.expovariate(1 / MEAN_PROMPT_TOKENS)
        output = 1 + int(self._random.expovariate(1 / MEAN_OUTPUT_TOKENS))
        tokens = min(MAX_PROMPT_TOKENS, int(prompt))
        organisation = self._random.randrange(self._plan.organisations)
        self._receive(
            datagrams.SlotRequest(
                name=name,
                id=id_,
                service=SERVICE,
                rank=rank,
                kind=configuration.Kind.RESUMABLE.value,
                prompt_tokens=tokens,
                output_tokens=output,
                wait_ms=round(1000 * WAIT_SECONDS),
                target_ms=round(1000 * TARGET_SECONDS),
                avoid=[],
                organisation=f"organisation-{organisation}",
                cost=float(tokens + output),
                parts=[f"part-{self._random.randrange(1000)}"],
            )
        )

    def _end(self, id_: str) -> None:
        self._held[self._holders.pop(id_)].pop(id_, None)
        self._receive(datagrams.Release(id_, messages.Outcome.SERVED, []))

    def _beat(self, name: str) -> None:
        held = [
            datagrams.HeldSlot(id_, endpoint)
            for id_, endpoint in self._held[name].items()
        ]
        self._sequence += 1
        self._receive(
            datagrams.Ping(
                name,
                "1",
                _address(self._names.index(name)),
                _domain(self._names.index(name)),
                self._sequence,
                self._status(),
                datagrams.Report(held, []),
            )
        )

    def _status(self) -> datagrams.Status:
        age = round(1000 * INSTANCE_AGE_SECONDS)
        return datagrams.Status(0, -1, 0, self._plan.instances, age)

    def _receive(self, message: datagrams.Datagram) -> None:
        data = datagrams.encode(message)
        started = time.process_time()
        self._mesh.datagram_received(data, ("127.0.0.1", 7600))
        kind = type(message).__name__
        self._count(kind, time.process_time() - started)
        waiting = self._slots.queue_length
        self._result.most_waiting = max(self._result.most_waiting, waiting)

    def _count(self, kind: str, seconds: float) -> None:
        self._result.counts[kind] += 1
        self._spent[kind] += seconds

    def _read_sent(self) -> None:
        for data in self._transport.sent:
            self._result.sent += 1
            self._result.sent_bytes += len(data)
            match datagrams.decode(data).unwrap():
                case datagrams.Grant(id=id_, endpoint=endpoint):
                    self._result.granted += 1
                    self._held[self._holders[id_]][id_] = endpoint
                    mean = self._plan.answer_seconds
                    self._schedule(
                        self._random.expovariate(1 / mean), "end", id_
                    )
                case datagrams.Deny(id=id_):
                    self._result.denied += 1
                    del self._holders[id_]
        self._transport.sent.clear()

    def _finish(self) -> Measurement:
        self._result.cores = sum(self._spent.values()) / self._plan.seconds
        self._result.microseconds = {
            kind: MICROSECONDS_PER_SECOND * spent / self._result.counts[kind]
            for kind, spent in self._spent.items()
        }
        return self._result


def _find_organisation(name: str) -> configuration.Organisation:
    return configuration.Organisation(
        name, ("key",), 1, True, 200, TOKENS_PER_SECOND, TOKENS_PER_SECOND
    )


def _address(number: int) -> str:
    return f"10.2.{number // 250}.{number % 250}:7600"


def _domain(number: int) -> str:
    return f"domain-{number % DOMAINS}"
