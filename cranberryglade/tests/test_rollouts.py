"""Replays of rollouts, and tests of their decisions."""

import random

import pytest

from cranberryglade.gateway import configuration
from cranberryglade.gateway import endpoint_states
from cranberryglade.gateway import messages
from cranberryglade.rollouts import canary
from cranberryglade.rollouts import comparison
from cranberryglade.rollouts import exposure
from cranberryglade.rollouts import orders
from cranberryglade.rollouts import sequential_test
from cranberryglade.rollouts import version_test
from cranberryglade.tests import gateway_builders
from cranberryglade.tests import rollout_builders as builders

Kind = configuration.Kind
Outcome = messages.Outcome

ROLLBACK_SECONDS = 5.0

FAULTS = {
    "half fail": builders.Fault(error_rate=0.5),
    "a tenth fails": builders.Fault(error_rate=0.1),
    "all slow": builders.Fault(slow_rate=1.0),
    "a part slow": builders.Fault(slow_rate=0.3),
    "later": builders.Fault(error_rate=0.5, since=10.0),
    "at the promotion": builders.Fault(error_rate=0.5, since=25.0),
    "one route": builders.Fault(error_rate=0.5, ranks=(2,)),
    "one route slow": builders.Fault(slow_rate=1.0, ranks=(0,)),
    "under load": builders.Fault(error_rate=0.5, running=4),
}


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("instances", [31, 59, 300])
@pytest.mark.parametrize("fault", FAULTS.values(), ids=FAULTS)
def test_a_bad_version_is_rolled_back_within_the_exposure(
    fault, instances, seed
):
    replay = builders.Replay(fault, seed, instances=instances).run()
    assert replay.state is orders.State.ROLLED_BACK
    assert replay.exposed <= replay.exposure_limit
    late = replay.last_exposed_at - replay.fiftieth_bad_at
    assert late <= ROLLBACK_SECONDS


@pytest.mark.parametrize("seed", [1, 11])
def test_a_slow_version_is_found_in_time_among_many_endpoints(seed):
    """Guards against evidence from the slowest third of the endpoints only."""
    fault = FAULTS["all slow"]
    replay = builders.Replay(
        fault, seed, instances=300, endpoints=44, rate=420, period=15.0
    ).run()
    assert replay.state is orders.State.ROLLED_BACK
    assert replay.exposed <= replay.exposure_limit
    late = replay.last_exposed_at - replay.fiftieth_bad_at
    assert late <= ROLLBACK_SECONDS


def test_a_good_version_on_slow_engines_first_is_not_found_slow():
    """Guards against a canary phase that samples one kind of engine only."""
    endpoints = [f"v2-{number:04}" for number in range(44)]
    test = version_test.VersionTest()
    alarm = version_test.alarm_logarithm(2, 0.0005)
    for endpoint in sorted(endpoints, key=canary.turn):
        rank = 1.0 if int(endpoint[3:]) >= 15 else 1 / 3
        test.observe(endpoint, rank)
        assert test.logarithm < alarm


@pytest.mark.parametrize("seed", range(3))
def test_half_bad_answers_are_detected_after_at_most_25(seed):
    replay = builders.Replay(FAULTS["half fail"], seed).run()
    assert replay.bad_at_verdict <= 25


@pytest.mark.parametrize(
    "changes",
    [
        {},
        {"crashes": True},
        {"jump": 1.8},
        {"crashes": True, "jump": 1.8},
        {"slowdowns": True},
    ],
)
@pytest.mark.parametrize("seed", range(2))
def test_a_good_version_is_completed_once_the_old_one_is_empty(changes, seed):
    replay = builders.Replay(builders.Fault(), seed, **changes).run()
    assert replay.state is orders.State.COMPLETED
    assert replay.ended_at < replay.period
    assert replay.running_at_end == 0


def test_an_expected_rate_of_errors_raises_no_alarm():
    randomness = random.Random(1)
    alarm = sequential_test.alarm_logarithm(2000, 1, 0.1)
    alarms = 0
    for _ in range(200):
        test = sequential_test.SequentialTest()
        highest = -1.0
        for _ in range(500):
            test.observe(randomness.random() < 0.02, 0.02)
            highest = max(highest, test.logarithm)
        alarms += highest >= alarm
    assert alarms <= 0.1 * 200


def test_one_failing_endpoint_does_not_condemn_its_version():
    compared = comparison.Comparison()
    for number in range(400):
        endpoint = f"e-{number % 20}"
        outcome = builders.Outcome.SERVED
        if endpoint == "e-7":
            outcome = builders.Outcome.FAILED
        answer = builders.make_answer(endpoint, outcome, number)
        compared.add_new(answer, endpoints=20, old_endpoints=20)
    assert not compared.reason


def test_reserved_grants_of_a_predecessor_count_as_made():
    budget = exposure.ExposureBudget(exposure.Limit(0.1, 50), 1000, 60)
    assert budget.unused == 0
    budget.confirm(budget.wanted)
    assert budget.reserved == 75
    assert budget.unused == 15


def test_many_good_endpoints_end_no_comparison():
    # The ratio of 324 good endpoints is below the least number above 0.
    test = version_test.VersionTest()
    for number in range(2_000):
        test.observe(f"e-{number}", 1.0)
    assert test.logarithm < 0


@pytest.mark.parametrize(
    "rank, kind, outcome, seconds, told",
    [
        (0, Kind.IDEMPOTENT, Outcome.SERVED, 0.1, True),
        (0, Kind.IDEMPOTENT, Outcome.ABANDONED, None, True),
        (0, Kind.IDEMPOTENT, Outcome.ABANDONED, 0.1, False),
        (0, Kind.RESUMABLE, Outcome.ABANDONED, 0.1, True),
        (messages.HEDGE_RANK, Kind.IDEMPOTENT, Outcome.SERVED, 0.1, False),
    ],
)
def test_attempts_of_hedged_requests_are_no_evidence(
    rank, kind, outcome, seconds, told
):
    # They end when the other attempt answers, and would make a version bad.
    request = gateway_builders.make_slot_request(rank=rank, kind=kind)
    lease = endpoint_states.Lease("gate-0", request, "e-1", 0.0, True)
    assert comparison.is_evidence(lease, outcome, seconds) is told
