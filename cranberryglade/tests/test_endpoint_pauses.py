"""Endpoints that ask for a pause with their 503."""

import asyncio
import random

import pytest
import structlog

from cranberryglade.gateway import endpoint_pauses
from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import gateway_cluster

Cluster = gateway_cluster.Cluster
ENDPOINT = builders.make_endpoint("e-1")
LISTED = {"e-1": ENDPOINT}


def make_pauses(seed=0):
    return endpoint_pauses.EndpointPauses(random.Random(seed))


def test_an_endpoint_is_paused_for_as_long_as_it_asked():
    pauses = make_pauses()
    pauses.record(ENDPOINT, 2.0, 10.0)
    assert pauses.is_paused(ENDPOINT, 11.999)
    assert pauses.paused_ids(LISTED, 11.999) == ["e-1"]
    assert not pauses.is_paused(ENDPOINT, 12.0 + 0.5)
    assert pauses.paused_ids(LISTED, 12.5) == []


def test_a_shorter_pause_does_not_end_a_longer_one():
    pauses = make_pauses()
    pauses.record(ENDPOINT, 5.0, 10.0)
    pauses.record(ENDPOINT, 0.1, 10.0)
    assert pauses.is_paused(ENDPOINT, 14.9)


def test_a_new_process_of_an_endpoint_is_not_paused():
    pauses = make_pauses()
    pauses.record(ENDPOINT, 5.0, 10.0)
    restarted = builders.make_endpoint("e-1", started_ms=2)
    assert not pauses.is_paused(restarted, 11.0)
    assert pauses.paused_ids({"e-1": restarted}, 11.0) == []


def test_instances_return_one_after_the_other():
    ends = []
    for seed in range(100):
        pauses = make_pauses(seed)
        pauses.record(ENDPOINT, 2.0, 0.0)
        ends.append(pauses.seconds_left([ENDPOINT], 0.0))
    assert min(ends) >= 2.0
    assert max(ends) - min(ends) > 0.4


@pytest.mark.parametrize(
    ("asked", "pause"),
    [("86400", 300.0), ("0.5", 0.5), ("-3", 0), ("soon", 0), ("nan", 0)],
)
async def test_absurd_pauses_are_limited_and_logged(asked, pause):
    with structlog.testing.capture_logs() as lines:
        async with Cluster(runners=2) as cluster:
            first = cluster.runners[0]
            first.script.append(first.ask_for_pause(asked))
            while not first.received:
                await cluster.send_request()
    paused = [x["pause_s"] for x in lines if x["event"] == "endpoint.paused"]
    unreadable = [x for x in lines if x["event"] == "retry_after.unreadable"]
    assert len(paused) + len(unreadable) == 1
    for seconds in paused:
        assert pause <= seconds <= pause + 1.0


async def test_nothing_is_sent_to_an_endpoint_that_asked_for_a_pause():
    async with Cluster(runners=2) as cluster:
        paused, other = cluster.runners
        paused.script.append(paused.ask_for_pause("0.8"))
        while not paused.received:
            await cluster.send_request()
        started = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() < started + 0.7:
            assert (await cluster.send_request()).status == 200
        assert len(paused.received) == 1
        await asyncio.sleep(0.5)
        other.default_behaviour = other.refuse
        assert (await cluster.send_request()).status == 200
        assert len(paused.received) == 2


async def test_caller_is_told_when_all_endpoints_want_a_pause():
    async with Cluster(runners=2) as cluster:
        for endpoint in cluster.runners:
            endpoint.default_behaviour = endpoint.ask_for_pause("1.5")
        await cluster.send_request()
        started = asyncio.get_running_loop().time()
        answer = await cluster.send_request()
        assert answer.status == 503
        assert asyncio.get_running_loop().time() - started < 0.3
        assert 1.0 < float(answer.headers["retry-after"]) <= 2.0
        assert sum(len(each.received) for each in cluster.runners) == 2
