"""Replays of uneven demand and endpoints; each names what it guards against."""

import collections

import pytest

from cranberryglade.gateway import messages
from cranberryglade.gateway import slots
from cranberryglade.placement import options
from cranberryglade.placement import recent_pace
from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tools import placement_replay as replay

NEAR = options.PlacementOptions(remote_cost=1.5)
UNEVEN = (0.68, 0.68, 3.0)
SLOWER = 1.03
"""Growth of the mean time that shorter ways may cost."""


def play(placement=None, **load) -> replay.Result:
    placement = placement or options.PlacementOptions()
    return replay.play(replay.Plan(placement, **load))


@pytest.mark.parametrize(
    "load, least_own",
    [
        pytest.param({}, 0.8, id="demand rises and falls in turn"),
        pytest.param({"load": 0.7}, 0.8, id="as much as the domains can run"),
        pytest.param({"lost": 0}, 0.7, id="a domain loses its endpoints"),
        pytest.param({"endpoint_domains": 2}, 0.6, id="one has no endpoints"),
        pytest.param({"speeds": UNEVEN, "load": 0.6}, 0.8, id="uneven speeds"),
    ],
)
def test_work_stays_in_its_domain_and_takes_no_longer(load, least_own):
    before, near = play(**load), play(NEAR, **load)
    assert before.own_share < 0.4
    assert near.own_share >= least_own
    assert near.mean_seconds <= SLOWER * before.mean_seconds
    assert near.denied == before.denied == 0
    assert near.urgent_late_share <= before.urgent_late_share


def test_slow_endpoint_nearby_is_not_preferred_to_a_fast_one_elsewhere():
    far = options.PlacementOptions(remote_cost=4.0)
    result = play(far, speeds=UNEVEN, load=0.4)
    # Before an endpoint has a pace, nobody knows that it is slow.
    known = [each for each in result.served if each.granted_at > 4.0]
    assert sum(each.endpoint % 3 == 2 for each in known) < 0.02 * len(known)


def test_work_does_not_oscillate_between_domains():
    result = play(NEAR, swing=0.0, load=0.6)
    windows = [
        [e.own for e in result.served if at <= e.granted_at < at + 1.0]
        for at in range(4, 24)
    ]
    shares = [sum(each) / len(each) for each in windows]
    assert max(shares) - min(shares) < 0.25


RECENT = options.PlacementOptions(recent_pace=True)
SHORT_CALLS = {
    "endpoints": 12,
    "slots": 6,
    "plain_seconds": 0.09,
    "slowed_share": 0.15,
    "swing": 0.0,
}


def test_urgent_calls_go_on_to_an_endpoint_that_has_just_slowed_down():
    before, after = play(**SHORT_CALLS), play(RECENT, **SHORT_CALLS)
    assert before.urgent_slowed_share > 0.03
    assert after.urgent_slowed_share < 0.75 * before.urgent_slowed_share
    assert after.mean_seconds < before.mean_seconds


def test_endpoint_that_was_slowed_gets_urgent_work_again():
    paces = recent_pace.RecentPaces()
    usual = recent_pace.Sample(0.1, is_streamed=True)
    for name in ("e-1", "e-2", "e-3", "e-4"):
        for number in range(5):
            assert not paces.record(name, usual, number / 10)
    slowed = recent_pace.Sample(0.25, is_streamed=True)
    assert paces.record("e-1", slowed, 1.0)
    assert paces.factor("e-1", 1.1) == pytest.approx(2.5)
    assert paces.factor("e-1", 1.0 + recent_pace.MEMORY_SECONDS) == 1.0
    assert not paces.record("e-1", usual, 1.5)
    # Load slows all endpoints, which is no reason to spare any of them.
    assert paces.record("e-1", slowed, 2.0)
    assert paces.record("e-2", slowed, 2.0)
    assert paces.factor("e-1", 2.1) == 1.0


def test_endpoint_that_is_always_slow_keeps_getting_work():
    load = {"speeds": UNEVEN, "load": 1.0}
    results = [play(placement, **load) for placement in (None, RECENT)]
    before, after = [
        sum(e.endpoint % 3 == 2 for e in each.of_rank(0)) for each in results
    ]
    assert after >= 0.9 * before > 50


@pytest.mark.parametrize("remote_cost", [1.0, 1.5])
def test_pairs_that_are_rarely_used_do_not_each_need_a_new_connection(
    remote_cost,
):
    load = {"speeds": UNEVEN, "load": 0.6}
    kept = options.PlacementOptions(
        remote_cost=remote_cost, new_connection_cost=1.3
    )
    before, after = play(**load), play(kept, **load)
    assert before.new_connection_share > 0.6
    assert after.new_connection_share < 0.5 * before.new_connection_share
    assert after.mean_seconds <= SLOWER * before.mean_seconds


READ = options.PlacementOptions(reread_cost=1.3)


def test_prompt_parts_are_read_again_less_often():
    before, after = [play(each, prompts=60) for each in (None, READ)]
    assert after.reread_share < 0.5 * before.reread_share
    assert after.mean_seconds <= SLOWER * before.mean_seconds


def test_prompt_part_of_all_requests_does_not_fill_one_endpoint():
    result = play(READ, prompts=1)
    loads = collections.Counter(each.endpoint for each in result.served)
    assert max(loads.values()) < 1.3 * len(result.served) / len(loads)


def test_endpoint_that_lately_read_a_part_has_to_be_available():
    scheduler = slots.SlotScheduler(placement=READ)
    listed = {
        id_: builders.make_endpoint(id_, slots=1) for id_ in ("e-1", "e-2")
    }
    scheduler.update_endpoints(listed, 0.0)
    decisions = []
    for number in range(3):
        request = builders.make_slot_request(f"r-{number}", parts=("p",))
        decisions += scheduler.request_slot("a", request, number / 10)
        if not number:
            refused = messages.Outcome.REFUSED
            scheduler.release("r-0", refused, 0.05)
    chosen = [each.result.endpoint for each in decisions]
    assert chosen == ["e-1", "e-2", "e-1"]


@pytest.mark.parametrize("seed", [1, 2])
def test_work_stays_in_its_domain_while_requests_wait(seed):
    # Failure: a freed slot goes to the first request, from any domain.
    load = {"load": 0.9, "seed": seed}
    before, near = play(**load), play(NEAR, **load)
    assert near.own_share > 0.55
    assert near.mean_seconds <= SLOWER * before.mean_seconds
    assert near.denied <= before.denied
    assert near.urgent_late_share <= before.urgent_late_share


def grant_to_one_of_three(placement, first_fields, second_rank=0):
    """Returns which request gets a slot in "d-1" that becomes free.

    The first one to wait is from "d-0", and two from "d-1" follow it.
    """
    scheduler = slots.SlotScheduler(placement=placement)
    scheduler.placing.distance.set_domains(lambda holder: holder)
    endpoint = builders.make_endpoint("e-1", slots=1, domain="d-1")
    scheduler.update_endpoints({"e-1": endpoint}, 0.0)
    running = builders.make_slot_request("running")
    scheduler.request_slot("d-1", running, 0.0)
    first = builders.make_slot_request("first", **first_fields)
    scheduler.request_slot("d-0", first, 0.1)
    for id_, rank in (("second", second_rank), ("third", 0)):
        request = builders.make_slot_request(id_, rank=rank)
        scheduler.request_slot("d-1", request, 0.2)
    served = messages.Outcome.SERVED
    (decision,) = scheduler.release("running", served, 1.0)
    return decision.result.id


@pytest.mark.parametrize(
    "first_fields, granted",
    [
        pytest.param({}, "second", id="the first has time"),
        pytest.param(
            {"first_answer_due": 3.0}, "first", id="it would become late"
        ),
        pytest.param({"wait_until": 3.0}, "first", id="its wait would end"),
        pytest.param(
            {"first_answer_due": 1.05}, "second", id="it is late already"
        ),
        pytest.param(
            {"excluded_endpoints": ("e-2",)}, "first", id="few slots suit it"
        ),
        pytest.param({"software_version": "v1"}, "first", id="one version"),
    ],
)
def test_request_is_overtaken_only_while_it_stays_on_time(
    first_fields, granted
):
    assert grant_to_one_of_three(NEAR, first_fields) == granted


def test_less_urgent_request_of_the_domain_does_not_overtake():
    assert grant_to_one_of_three(NEAR, {}, second_rank=1) == "third"


def test_queue_keeps_its_order_if_distance_does_not_matter():
    off = options.PlacementOptions(recent_pace=True)
    assert grant_to_one_of_three(off, {}) == "first"
