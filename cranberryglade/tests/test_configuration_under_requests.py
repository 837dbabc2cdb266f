"""Requests in progress while the configuration changes: all are answered."""

import asyncio
import copy

import pytest

from cranberryglade.standins import operator_configuration
from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import gateway_cluster

Cluster = gateway_cluster.Cluster

EVENTS = 6
EVENT_GAP_SECONDS = 0.15


def drop_routes(config) -> None:
    config["routes"] = [operator_configuration.a_route("other", "idempotent")]


def move_routes(config) -> None:
    config["services"].append({"name": "editors", "max_connections": 10})
    for route in config["routes"]:
        route["service"] = "editors"


def shorten_timeouts(config) -> None:
    for route in config["routes"]:
        route["timeout_ms"] = 100


def allow_one_attempt(config) -> None:
    for route in config["routes"]:
        route["max_attempts"] = 1


def remove_keys(config) -> None:
    config["tenants"][0]["api_keys"] = ["another"]


def drop_organisations(config) -> None:
    config["tenants"] = []


def lower_quotas(config) -> None:
    config["tenants"][0] |= {"rate_per_s": 1, "burst": 0}


def shrink_limits(config) -> None:
    config["limits"] |= {
        "max_header_bytes": 10,
        "max_body_bytes": 1,
        "header_timeout_ms": 1,
        "idle_timeout_ms": 1,
    }


CHANGES = [
    drop_routes,
    move_routes,
    shorten_timeouts,
    allow_one_attempt,
    remove_keys,
    drop_organisations,
    lower_quotas,
    shrink_limits,
]


async def change(cluster, apply) -> None:
    """Puts a changed configuration in force at the first gateway."""
    config = copy.deepcopy(operator_configuration.a_config(version=2))
    apply(config)
    cluster.configure(config)
    state = cluster.gateways[0]._state
    await gateway_cluster.wait_until(lambda: state.version == 2)


async def behave_slowly(endpoint, received, reader, writer) -> None:
    await asyncio.sleep(EVENTS * EVENT_GAP_SECONDS)
    await endpoint.succeed(received, reader, writer)


def make_slow(endpoint, target) -> None:
    endpoint.event_gap_seconds = EVENT_GAP_SECONDS

    async def behave(received, reader, writer):
        if target.startswith(("/write/", "/note/")):
            await endpoint.events(1, EVENTS)(received, reader, writer)
        else:
            await behave_slowly(endpoint, received, reader, writer)

    endpoint.default_behaviour = behave


@pytest.mark.parametrize("target", ["/look/1", "/pay/1", "/write/1", "/note/1"])
@pytest.mark.parametrize("apply", CHANGES)
async def test_a_running_request_ends_as_it_began(apply, target):
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        make_slow(endpoint, target)
        caller = await cluster.connect()
        caller.request(target=target)
        await gateway_cluster.wait_until(lambda: endpoint.ran)
        await change(cluster, apply)
        answer = await caller.answer()
        assert (answer.status, answer.whole) == (200, True)


@pytest.mark.parametrize("apply", CHANGES)
async def test_a_request_that_waits_behind_another_is_answered(apply):
    async with Cluster() as cluster:
        (endpoint,) = cluster.runners
        make_slow(endpoint, "/look/1")
        caller = await cluster.connect()
        caller.request(X_Attempt_Id="a-1")
        caller.request(X_Attempt_Id="a-2")
        await gateway_cluster.wait_until(lambda: endpoint.ran)
        await change(cluster, apply)
        first = await caller.answer()
        second = await caller.answer()
        assert (first.status, first.whole) == (200, True)
        assert second.whole


@pytest.mark.parametrize("apply", CHANGES)
async def test_a_request_that_is_half_read_is_answered(apply):
    async with Cluster() as cluster:
        caller = await cluster.connect()
        caller.request(method="POST", Transfer_Encoding="chunked")
        caller.send(b"4\r\nsome\r\n")
        await change(cluster, apply)
        caller.send(b"4\r\nmore\r\n0\r\n\r\n")
        assert (await caller.answer()).whole


@pytest.mark.parametrize("target", ["/look/1", "/pay/1", "/write/1", "/note/1"])
@pytest.mark.parametrize("apply", CHANGES)
async def test_a_second_attempt_after_a_change_is_answered(apply, target):
    async with Cluster(runners=2) as cluster:
        started = asyncio.Event()
        changed = asyncio.Event()

        def refusing_late(endpoint):
            async def behave(received, reader, writer):
                for each in cluster.runners:
                    each.script.clear()
                started.set()
                await changed.wait()
                await endpoint.refuse(received, reader, writer)

            return behave

        for endpoint in cluster.runners:
            endpoint.script.append(refusing_late(endpoint))
            endpoint.default_behaviour = endpoint.serve_by_target
        caller = await cluster.connect()
        caller.request(target=target)
        await asyncio.wait_for(started.wait(), 2.0)
        await change(cluster, apply)
        changed.set()
        answer = await caller.answer()
        assert answer.whole
        assert answer.status in (200, 429, 503)


SILENCE_SECONDS = 0.9


@pytest.mark.parametrize("others", [0, 1])
@pytest.mark.parametrize("target", ["/look/1", "/write/1"])
@pytest.mark.parametrize("apply", CHANGES)
async def test_a_request_whose_endpoint_pauses_beside_a_change_is_answered(
    apply, target, others
):
    async with Cluster(
        runners=1 + others, config=builders.make_short_gap_config()
    ) as cluster:
        for endpoint in cluster.runners:
            endpoint.default_behaviour = (
                endpoint.silent_first(SILENCE_SECONDS, endpoint.succeed)
                if target == "/look/1"
                else endpoint.silent_within(3, EVENTS, SILENCE_SECONDS)
            )
        caller = await cluster.connect()
        caller.request(target=target, method="POST")
        await gateway_cluster.wait_until(
            lambda: any(each.received for each in cluster.runners)
        )
        await change(cluster, apply)
        answer = await asyncio.wait_for(caller.answer(), 4.0)
        assert (answer.status, answer.whole) == (200, True)
