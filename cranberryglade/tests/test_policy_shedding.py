"""A higher tier is never shed before a lower one, across instances too."""

import dataclasses

import hypothesis
from hypothesis import strategies

from cranberryglade import verdicts
from cranberryglade.replay import calls
from cranberryglade.replay import clock
from cranberryglade.replay import instances
from cranberryglade.replay import traces
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import policies
from cranberryglade.scheduling import scheduler
from cranberryglade.scheduling import speeds
from cranberryglade.tests import builders
from cranberryglade.tests import shedding

HOP_SECONDS = 0.001
PROMPT_TOKENS = 10
ROUNDING_SECONDS = 1e-6


def run_seconds(tokens):
    return (
        PROMPT_TOKENS * speeds.INITIAL_PREFILL_SECONDS_PER_TOKEN
        + tokens * speeds.INITIAL_TOKEN_SECONDS
    )


def cannot_meet_deadline(request, now):
    """Answers have half the allowed length and take exactly `run_seconds`."""
    remaining = request.deadline - now
    return (
        remaining <= run_seconds(request.output_tokens / 2) + ROUNDING_SECONDS
    )


class ExactEngine:
    """Answers in exactly the time that the initial estimates predict."""

    def __init__(self, time):
        self._clock = time

    def accept(self, attempt):
        tokens = attempt.request.output_tokens
        first = PROMPT_TOKENS * speeds.INITIAL_PREFILL_SECONDS_PER_TOKEN
        self._clock.after(first, attempt.on_token)
        last = first + (tokens - 1) * speeds.INITIAL_TOKEN_SECONDS
        self._clock.after(last, attempt.on_end)
        return True

    def cancel_of(self, instance):
        pass


class ObservedScheduler(scheduler.Scheduler):
    """Passes events and actions to the checker."""

    __slots__ = ("_checker", "_name")

    def __init__(self, peer, checker, policy):
        super().__init__(peer, policy)
        self._name = peer.name
        self._checker = checker

    def handle(self, event, now):
        checker = self._checker
        match event:
            case messages.Submitted(request=request):
                checker.submitted(self._name, request)
            case messages.PeerReported(peer=peer, digests=digests):
                checker.digest_received(self._name, peer.name, digests)
            case messages.PeerGone(name=name):
                checker.peer_gone(self._name, name)
            case messages.AttemptFailed(request_id=request_id):
                checker.delegation_failed(self._name, request_id)
            case _:
                pass
        actions = super().handle(event, now)
        checker.actions_returned(self._name, actions, now)
        return actions


class Domain:
    """Instances of one failure domain with exact engines.

    Each engine is owned by one instance, which follows from the names.
    """

    def __init__(self, count, engines, policy=policies.PREDICTIVE):
        self.clock = clock.Clock()
        self.checker = shedding.SheddingChecker(cannot_meet_deadline)
        self.surroundings = instances.Simulation(self.clock, HOP_SECONDS)
        self.verdicts = {}
        self.instances = []
        for number in range(count):
            peer = builders.peer(f"entry-{number}")
            core = ObservedScheduler(peer, self.checker, policy)
            self.instances.append(
                instances.Instance(peer, core, self.surroundings)
            )
            self.surroundings.instances[peer.name] = self.instances[-1]
        for number in range(engines):
            name = f"engine-{number}"
            self.surroundings.engines[name] = ExactEngine(self.clock)
            joined = messages.EndpointJoined(builders.endpoint(name))
            for instance in self.instances:
                instance.post(joined)
        self.digests()

    def digests(self):
        for instance in self.instances:
            for other in self.instances:
                if other is not instance:
                    other.post(instance.digest())

    def partition(self):
        for instance in self.instances:
            for other in self.instances:
                if other is not instance:
                    instance.post(messages.PeerGone(other.peer.name))

    def submit(self, number, arrival):
        name = f"r{len(self.verdicts)}"
        self.verdicts[name] = None
        line = traces.Request(
            at=self.clock.now,
            request_id=name,
            organisation=arrival.organisation,
            kind="any",
            target="assistant",
            rank=arrival.rank,
            prompt_tokens=PROMPT_TOKENS,
            max_tokens=arrival.tokens,
            output_tokens=arrival.tokens // 2,
            deadline_seconds=arrival.seconds,
            first_token_seconds=arrival.seconds,
        )
        call = calls.Call(line, self.clock.now, request_id=name)
        self.instances[number % len(self.instances)].submit(
            instances.core_request(call),
            call,
            lambda verdict: self.verdicts.update({name: verdict}),
        )

    def run(self, arrivals):
        for arrival in arrivals:
            self.clock.run_until(self.clock.now + arrival.after)
            if arrival.digests:
                self.digests()
            for _ in range(arrival.count):
                self.submit(arrival.instance, arrival)
        self.clock.run_until(self.clock.now + 60.0)


@dataclasses.dataclass(frozen=True)
class Arrival:
    rank: int = 0
    organisation: str = "a"
    tokens: int = 20
    seconds: float = 1.0
    instance: int = 0
    count: int = 1
    after: float = 0.0
    digests: bool = False


ARRIVALS = strategies.lists(
    strategies.builds(
        Arrival,
        rank=strategies.integers(0, 2),
        organisation=strategies.sampled_from(["a", "b"]),
        tokens=strategies.sampled_from([20]),
        seconds=strategies.sampled_from([0.4, 1.0, 3.0]),
        instance=strategies.integers(0, 2),
        count=strategies.integers(1, 12),
        after=strategies.sampled_from([0.0, 0.01, 0.3]),
        digests=strategies.booleans(),
    ),
    min_size=5,
    max_size=25,
)
SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=60, deadline=None, database=None
)


@SETTINGS
@hypothesis.given(ARRIVALS, strategies.integers(1, 3))
def test_no_tier_is_shed_while_a_lower_one_waits(arrivals, count):
    domain = Domain(count, engines=4)
    domain.run(arrivals)
    assert domain.checker.violations == []
    assert None not in domain.verdicts.values()


@SETTINGS
@hypothesis.given(ARRIVALS)
def test_under_a_partition_the_order_holds_within_each_instance(arrivals):
    domain = Domain(2, engines=4)
    domain.partition()
    arrivals = [dataclasses.replace(a, digests=False) for a in arrivals]
    domain.run(arrivals)
    assert domain.checker.violations == []


def overload(policy):
    """Fills the queue of one instance with lower tiers before higher ones."""
    domain = Domain(2, engines=4, policy=policy)
    domain.run(
        [
            Arrival(rank=2, seconds=8.0, count=60, instance=1),
            Arrival(rank=1, seconds=3.0, count=40, instance=0, digests=True),
            Arrival(rank=0, seconds=1.0, count=40, instance=0, after=0.1),
            Arrival(rank=0, seconds=1.0, count=20, instance=1, digests=True),
        ]
    )
    return domain


def refused(domain):
    return [
        v for v in domain.verdicts.values() if isinstance(v, verdicts.NotRun)
    ]


def test_an_overload_sheds_in_the_order_of_the_tiers():
    domain = overload(policies.PREDICTIVE)
    assert domain.checker.violations == []
    assert refused(domain)


def test_the_checker_catches_a_policy_that_sheds_out_of_order():
    domain = overload(policies.get_policy("thin"))
    assert refused(domain)
    assert domain.checker.violations
