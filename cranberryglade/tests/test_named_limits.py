"""Endpoints that name the requests a second that they take from all."""

import asyncio
import itertools
import math
import random

import pytest
import structlog

from cranberryglade.gateway import dialect
from cranberryglade.gateway import endpoint_limits
from cranberryglade.gateway import messages
from cranberryglade.gateway import slots
from cranberryglade.platform import headers
from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import gateway_cluster

Cluster = gateway_cluster.Cluster
Outcome = messages.Outcome

WINDOW_SECONDS = 4.0
FACTOR = 1.5
SLACK = 5
"""In a window, an endpoint may get FACTOR times what its limit allows, and
SLACK requests more."""

LEARNING_SECONDS = 0.5


class Load:
    """Callers that send requests to all gateways, one after the other."""

    def __init__(self, cluster, callers=12, pause_seconds=0.05):
        self._cluster = cluster
        self._pause_seconds = pause_seconds
        self._tasks = []
        self._count = callers
        self._stopped = False
        self.answers = []
        self.arrivals: dict[str, list[float]] = {}

    async def __aenter__(self):
        for endpoint in self._cluster.runners:
            self.arrivals[endpoint.id] = []
            endpoint.default_behaviour = self._recording(endpoint)
        for number in range(self._count):
            gateway = number % len(self._cluster.gateways)
            task = asyncio.create_task(self._send(gateway, number))
            self._tasks.append(task)
        return self

    async def __aexit__(self, *_):
        self._stopped = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def count(self, endpoint, begin, seconds=WINDOW_SECONDS) -> int:
        """Returns how many requests reached an endpoint in a time."""
        end = begin + seconds
        return sum(begin <= at < end for at in self.arrivals[endpoint.id])

    def _recording(self, endpoint):
        usual = endpoint.default_behaviour

        async def behave(received, reader, writer):
            now = asyncio.get_running_loop().time()
            self.arrivals[endpoint.id].append(now)
            await usual(received, reader, writer)

        return behave

    async def _send(self, gateway, number):
        # `wait_for` may miss a cancellation that comes with its result.
        while not self._stopped:
            answer = await self._cluster.send_request(
                gateway, X_Attempt_Id=f"l-{number}-{len(self.answers)}"
            )
            self.answers.append(answer)
            await asyncio.sleep(self._pause_seconds)


def allowed(limit: float) -> float:
    return FACTOR * limit * WINDOW_SECONDS + SLACK


async def test_limit_that_an_endpoint_names_is_kept_by_all_instances():
    async with Cluster(gateways=3, runners=3) as cluster:
        limited = cluster.runners[0]
        async with Load(cluster) as load:
            await asyncio.sleep(0.3)
            limited.limit = "2.0"
            await asyncio.sleep(LEARNING_SECONDS)
            begin = asyncio.get_running_loop().time()
            await asyncio.sleep(WINDOW_SECONDS)
        assert load.count(limited, begin) <= allowed(2.0)
        assert {answer.status for answer in load.answers} == {200}


async def test_a_limit_and_its_end_are_logged_once():
    with structlog.testing.capture_logs() as lines:
        async with Cluster() as cluster:
            endpoint = cluster.runners[0]
            for endpoint.limit in ("50", "50", "", ""):
                await cluster.send_request()
    logged = [line for line in lines if "per_second" in line]
    assert [line["event"] for line in logged] == [
        "endpoint.limited",
        "endpoint.limit_ended",
    ]
    assert {line["per_second"] for line in logged} == {50.0}
    assert {line["endpoint"] for line in logged} == {"i-0"}


async def test_request_is_told_when_to_come_back_if_all_endpoints_limit():
    async with Cluster(gateways=2, runners=2) as cluster:
        for endpoint in cluster.runners:
            endpoint.limit = "0.2"
        for number in range(4):
            await cluster.send_request(number % 2)
        await asyncio.sleep(0.2)
        started = asyncio.get_running_loop().time()
        answers = [await cluster.send_request(n % 2) for n in range(6)]
        assert asyncio.get_running_loop().time() - started < 2.0
        assert {answer.status for answer in answers} == {503}
        for answer in answers:
            assert 0.2 < float(answer.headers["retry-after"]) <= 5.0


@pytest.mark.parametrize("refuses", [False, True])
async def test_limit_counts_on_any_answer_of_the_endpoint(refuses):
    async with Cluster(runners=2) as cluster:
        limited = cluster.runners[0]
        limited.limit = "0.5"
        if refuses:
            limited.default_behaviour = limited.refuse
        for _ in range(20):
            await cluster.send_request()
        assert len(limited.received) <= 3
        assert cluster.gateways[0]._state.endpoint_limits.count == 1


ENDPOINT = builders.make_endpoint("e-1")


def observe(limits, *named, sent_at=0.0, now=0.0, endpoint=ENDPOINT):
    values = tuple(map(float, named))
    return limits.observe(endpoint, values, sent_at, now)


@pytest.mark.parametrize(
    ("values", "rate"),
    [
        ([b"1.7"], 1.7),
        ([b" 2 "], 2.0),
        ([b".5"], 0.5),
        ([b"0"], 0.1),
        ([b"0.000001"], 0.1),
        ([b"1" + b"0" * 300], 1e300),
        ([b"3", b"1.5"], 1.5),
        ([b"soon", b"4"], 4.0),
        ([b"-1"], math.inf),
        ([b"soon"], math.inf),
        ([b"nan"], math.inf),
        ([b"inf"], math.inf),
        ([b"1e3"], math.inf),
        ([b""], math.inf),
        ([b"1" * 400], math.inf),
        ([], math.inf),
    ],
)
def test_odd_limits_are_read_in_a_defined_way(values, rate):
    fields = [messages.Header(b"Server-Limit", value) for value in values]
    head = dialect.AnswerHead(200, b"", fields, dialect.Framing.LENGTH)
    facts = headers.HeaderDialect().decode_answer(head)
    limits = endpoint_limits.EndpointLimits()
    limits.observe(ENDPOINT, facts.limits, 0.0, 1.0)
    assert limits.rate(ENDPOINT, 1.0) == rate


def test_an_unreadable_limit_leaves_the_one_before():
    limits = endpoint_limits.EndpointLimits()
    observe(limits, 2)
    observe(limits, "nan", sent_at=1.0, now=2.0)
    assert limits.rate(ENDPOINT, 2.0) == 2.0


def test_answer_to_an_earlier_request_does_not_end_a_limit():
    limits = endpoint_limits.EndpointLimits()
    observe(limits, 2, sent_at=1.0, now=1.1)
    assert observe(limits, sent_at=1.05, now=1.2) is None
    assert observe(limits, sent_at=None, now=1.2) is None
    assert limits.rate(ENDPOINT, 1.2) == 2.0
    assert observe(limits, sent_at=1.15, now=1.3).ended


def test_load_returns_gradually_after_a_limit():
    limits = endpoint_limits.EndpointLimits()
    observe(limits, 2)
    observe(limits, sent_at=1.0, now=1.1)
    rates = [limits.rate(ENDPOINT, 1.1 + second) for second in range(7)]
    assert rates[:3] == [2.0, 4.0, 8.0]
    assert rates[6] == math.inf


def test_limit_ends_with_the_process_of_its_endpoint():
    limits = endpoint_limits.EndpointLimits()
    observe(limits, 2)
    restarted = builders.make_endpoint("e-1", started_ms=2)
    assert limits.rate(restarted, 1.0) == math.inf
    observe(limits, 7, endpoint=restarted, now=2.0)
    old = endpoint_limits.EndpointLimit("e-1", 1, 2.0, False, 3.0)
    assert not limits.merge(old)
    assert limits.rate(restarted, 3.0) == 7.0


def test_news_of_peers_converges_on_what_was_observed_last():
    first, second = (endpoint_limits.EndpointLimits() for _ in range(2))
    observe(first, 2, now=1.0)
    observe(second, 2, now=1.5)
    observe(second, sent_at=1.6, now=1.7)
    for _ in range(3):
        for source, target in ((first, second), (second, first)):
            for limit in source.shared():
                target.merge(limit)
    assert first.count == second.count == 0
    observe(first, 3, now=2.0)
    for limit in first.shared():
        second.merge(limit)
    assert second.rate(ENDPOINT, 2.0) == 3.0


def test_limits_are_bounded_and_forgotten():
    limits = endpoint_limits.EndpointLimits()
    for number in range(endpoint_limits.MAX_LIMITS + 50):
        endpoint = builders.make_endpoint(f"e-{number}")
        observe(limits, 1, endpoint=endpoint, now=number / 1000)
    assert len(limits._limits) == endpoint_limits.MAX_LIMITS
    assert len(limits.shared()) == endpoint_limits.SHARED_LIMITS
    limits.expire([], 100.0)
    assert limits.count == 0


@pytest.mark.parametrize("seed", range(10))
def test_grants_keep_to_the_limit_in_any_window(seed):
    rng = random.Random(seed)
    limit = rng.choice((0.5, 1.7, 4.0, 11.0))
    limits = endpoint_limits.EndpointLimits()
    scheduler = slots.SlotScheduler(None, limits)
    endpoints = [builders.make_endpoint(f"e-{n}", slots=4) for n in (1, 2)]
    scheduler.update_endpoints({each.id: each for each in endpoints}, 0.0)
    observe(limits, limit)
    granted = []
    ends = []
    for step in range(1200):
        now = step / 100
        decisions = scheduler.tick(now)
        if rng.random() < 0.4:
            request = builders.make_slot_request(
                f"r-{step}", wait_until=now + 1.0
            )
            decisions += scheduler.request_slot("a", request, now)
        for end, id_ in [each for each in ends if each[0] <= now]:
            ends.remove((end, id_))
            decisions += scheduler.release(id_, Outcome.SERVED, now)
        for decision in decisions:
            match decision.result:
                case messages.Granted(id=id_, endpoint=endpoint):
                    ends.append((now + rng.uniform(0.05, 0.3), id_))
                    if endpoint == "e-1":
                        granted.append(now)
    windows = [
        sum(begin <= at < begin + WINDOW_SECONDS for at in granted)
        for begin in granted
    ]
    assert max(windows) <= allowed(limit)
    assert len(granted) >= 0.5 * limit * 12.0


def grants_of_successive_allocators(
    seed, limit, term_seconds, seconds, answer_seconds=0.05
):
    """Returns when an endpoint got requests from allocators in a series.

    Each allocator is a new process that knows what the others know of limits.
    """
    rng = random.Random(seed)
    limits = endpoint_limits.EndpointLimits()
    scheduler = None
    granted = []
    answers = []
    observe(limits, limit)
    for step in range(int(seconds / 0.05)):
        now = step * 0.05
        if scheduler is None or rng.random() < 0.05 / term_seconds:
            scheduler = slots.SlotScheduler(None, limits)
            scheduler.update_endpoints({ENDPOINT.id: ENDPOINT}, now)
            for _, id_ in answers:
                scheduler.register_lease("a", id_, None, ENDPOINT.id, now)
        for at, id_ in [each for each in answers if each[0] <= now]:
            answers.remove((at, id_))
            observe(limits, limit, now=now)
            scheduler.release(id_, Outcome.SERVED, now)
        request = builders.make_slot_request(f"r-{step}", wait_until=now + 1.0)
        decisions = [
            *scheduler.tick(now),
            *scheduler.request_slot("a", request, now),
        ]
        for decision in decisions:
            match decision.result:
                case messages.Granted(id=id_):
                    granted.append(now)
                    answers.append((now + answer_seconds, id_))
    return granted


@pytest.mark.parametrize("seed", range(5))
def test_end_of_a_limit_is_looked_for_though_allocators_change(seed):
    granted = grants_of_successive_allocators(seed, 0, 2.0, 60.0)
    asked = [0.0, *granted, 60.0]
    gaps = [later - at for at, later in itertools.pairwise(asked)]
    assert max(gaps) <= 1.2 / endpoint_limits.MIN_LIMIT_PER_SECOND


@pytest.mark.parametrize("answer_seconds", [0.05, 1.9])
@pytest.mark.parametrize("limit", [0, 1.7, 6.0])
@pytest.mark.parametrize("seed", range(5))
def test_successive_allocators_keep_to_a_limit(seed, limit, answer_seconds):
    granted = grants_of_successive_allocators(
        seed, limit, 1.0, 30.0, answer_seconds
    )
    windows = [
        sum(begin <= at < begin + WINDOW_SECONDS for at in granted)
        for begin in granted
    ]
    assert granted
    assert max(windows) <= allowed(limit)


def test_time_before_an_instance_allocates_counts_in_full():
    limits = endpoint_limits.EndpointLimits()
    scheduler = slots.SlotScheduler(None, limits)
    scheduler.update_endpoints({ENDPOINT.id: ENDPOINT}, 0.0)
    observe(limits, 0)
    scheduler.limit_share = 0.25
    request = builders.make_slot_request("r-1", wait_until=9.5)
    (denied,) = scheduler.request_slot("a", request, 9.0)
    assert isinstance(denied.result, messages.Denied)
    scheduler.limit_share = 1.0
    request = builders.make_slot_request("r-2", wait_until=12.0)
    (granted,) = scheduler.request_slot("a", request, 10.1)
    assert isinstance(granted.result, messages.Granted)


async def test_limit_is_kept_while_the_allocator_is_lost():
    async with Cluster(gateways=4, runners=3) as cluster:
        limited = cluster.runners[0]
        limited.limit = "2.0"
        async with Load(cluster, 16) as load:
            await asyncio.sleep(LEARNING_SECONDS)
            allocator = next(
                gateway
                for gateway in cluster.gateways
                if gateway._mesh.allocator == gateway._settings.instance
            )
            begin = asyncio.get_running_loop().time()
            allocator.close()
            await asyncio.sleep(WINDOW_SECONDS)
        assert load.count(limited, begin) <= allowed(2.0)
