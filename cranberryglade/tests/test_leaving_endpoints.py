"""Endpoints that state in their answers that they are about to stop."""

import asyncio

import pytest
import structlog

from cranberryglade.gateway import endpoint_directory
from cranberryglade.gateway import ports
from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import gateway_cluster

Cluster = gateway_cluster.Cluster


def make_directory(**changes):
    entries = endpoint_directory.EndpointDirectory()
    entries.put(builders.make_endpoint("e-1", **changes), ports.Version(0, 1))
    return entries


def test_an_announcement_makes_an_endpoint_leaving_whatever_its_row_says():
    entries = make_directory()
    assert entries.announce_leaving("e-1", 1)
    assert not entries.announce_leaving("e-1", 1)
    assert entries.endpoints["e-1"].leaving
    still_ready = builders.make_endpoint("e-1", slots=9)
    entries.put(still_ready, ports.Version(0, 2))
    assert entries.endpoints["e-1"].leaving
    assert entries.announced == {"e-1": 1}


def test_a_new_process_under_the_same_id_does_not_leave():
    entries = make_directory()
    entries.announce_leaving("e-1", 1)
    restarted = builders.make_endpoint("e-1", started_ms=2)
    entries.put(restarted, ports.Version(0, 2))
    assert not entries.endpoints["e-1"].leaving
    assert not entries.announce_leaving("e-1", 1)


def test_an_announcement_is_dropped_once_the_row_shows_it():
    entries = make_directory()
    entries.announce_leaving("e-1", 1)
    leaving = builders.make_endpoint("e-1", leaving=True)
    entries.put(leaving, ports.Version(0, 2))
    assert entries.announced == {}
    assert entries.endpoints["e-1"].leaving


@pytest.mark.parametrize("behaviour", ["succeed", "fail", "refuse"])
async def test_nothing_is_sent_to_an_endpoint_whose_answer_says_it_leaves(
    behaviour,
):
    async with Cluster(runners=2) as cluster:
        leaving, staying = cluster.runners
        leaving.leaving = True
        leaving.default_behaviour = getattr(leaving, behaviour)
        for number in range(8):
            await cluster.send_request(X_Attempt_Id=f"a-{number}")
        assert len(leaving.received) <= 1
        assert len(staying.received) >= 7


async def test_other_instances_learn_that_an_endpoint_leaves():
    async with Cluster(gateways=3, runners=2) as cluster:
        leaving = cluster.runners[0]
        leaving.leaving = True
        with structlog.testing.capture_logs() as lines:
            while not leaving.received:
                await cluster.send_request()
            await cluster.wait_for_endpoints(lambda e: e["i-0"].leaving)
        told = [x for x in lines if x["event"] == "endpoint.leaving"]
        assert len(told) == 3
        for number in range(9):
            await cluster.send_request(number % 3, X_Attempt_Id=f"b-{number}")
        assert len(leaving.received) == 1


async def test_a_stream_at_a_leaving_endpoint_is_not_interrupted():
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        endpoint.leaving = True
        endpoint.script.append(endpoint.events(1, 5))
        answer = await cluster.send_request(target="/note/1", method="POST")
        assert answer.whole
        await asyncio.sleep(0)
        refused = await cluster.send_request(target="/note/1")
        assert refused.status == 503
        assert len(endpoint.received) == 1
