"""Open connections to the store go silent, and new ones work."""

import asyncio
import contextlib
import functools

import pytest
from returns.result import Failure
from returns.result import Success

from cranberryglade.gateway import ports
from cranberryglade.platform import store
from cranberryglade.standins import endpoint_standin
from cranberryglade.tests import gateway_cluster
from cranberryglade.tests import silent_relay

Cluster = gateway_cluster.Cluster
LEAVING_SECONDS = 2.0
"""Time after which a request must reach no endpoint that leaves."""

CONTACT_SECONDS = 3.0
"""Time after connections have gone silent in which the bound does not hold: the
pages count that like a reset."""

DETECTION_SECONDS = 4.5
"""A read of the configuration is due after 1.5 s and times out after 2 s; each
of the two is noticed within 0.25 s."""

IDLE_CONNECTIONS = 3


@contextlib.asynccontextmanager
async def clusters_behind_relay(gateways):
    """Yields a cluster whose gateways reach the store by a relay, and that."""
    async with Cluster(gateways=0) as cluster:
        relay_address = f"127.0.0.1:{gateway_cluster.free_port()}"
        relay = silent_relay.SilentRelay(cluster.store_address, relay_address)
        async with relay:
            cluster.store_address = relay.address
            for number in range(gateways):
                await cluster.add_gateway(f"gate-{number}")
            await gateway_cluster.wait_until(
                lambda: all(
                    each.is_ready(1, gateways - 1) for each in cluster.gateways
                )
            )
            yield cluster, relay


async def replace_endpoint(cluster) -> endpoint_standin.EndpointStandin:
    """Adds an endpoint and lets the only other one leave; returns that one."""
    (leaving,) = cluster.runners
    await cluster.add_runner(endpoint_standin.EndpointStandin("i-new"))
    cluster.register_runner(leaving, state="draining", sequence=2)
    return leaving


@pytest.mark.parametrize("gateways", [1, 3])
async def test_an_endpoint_that_leaves_is_noticed_though_polls_are_silent(
    gateways,
):
    async with clusters_behind_relay(gateways) as (cluster, relay):
        relay.silence()
        await asyncio.sleep(DETECTION_SECONDS)
        leaving = await replace_endpoint(cluster)
        await gateway_cluster.wait_until(
            lambda: all(
                gateway._state.endpoints["i-0"].leaving
                and "i-new" in gateway._state.endpoints
                for gateway in cluster.gateways
            ),
            LEAVING_SECONDS,
        )
        for number in range(gateways):
            assert (await cluster.send_request(number)).status == 200
        assert not leaving.ran


@pytest.mark.parametrize("leaves_after", [0.2, 1.5, 3.0])
@pytest.mark.parametrize("gateways", [1, 3])
async def test_an_endpoint_that_leaves_in_a_silence_gets_nothing_late(
    gateways, leaves_after
):
    async with clusters_behind_relay(gateways) as (cluster, relay):
        relay.silence()
        await asyncio.sleep(leaves_after)
        leaving = await replace_endpoint(cluster)
        in_touch_after = max(0.0, CONTACT_SECONDS - leaves_after)
        await asyncio.sleep(in_touch_after + LEAVING_SECONDS)
        ran = len(leaving.ran)
        for number in range(3 * gateways):
            answer = await cluster.send_request(
                number % gateways, X_Attempt_Id=f"a-{number}"
            )
            assert answer.status == 200
        assert len(leaving.ran) == ran


async def test_a_gateway_whose_polls_alone_are_silent_hears_from_the_others():
    async with clusters_behind_relay(1) as (cluster, relay):
        cluster.store_address = relay.target
        for number in (1, 2):
            await cluster.add_gateway(f"gate-{number}")
        await gateway_cluster.wait_until(
            lambda: all(each.is_ready(1, 2) for each in cluster.gateways)
        )
        relay.silence()
        leaving = await replace_endpoint(cluster)
        await gateway_cluster.wait_until(
            lambda: cluster.gateways[0]._state.endpoints["i-0"].leaving,
            LEAVING_SECONDS,
        )
        assert (await cluster.send_request(0)).status == 200
        assert not leaving.ran


async def test_no_connection_that_rests_is_used_after_one_was_silent():
    async with clusters_behind_relay(1) as (cluster, relay):
        client = store.StoreClient(relay.address, read_seconds=0.5)
        read = functools.partial(client.read_table, ports.Table.ENDPOINTS)
        await asyncio.gather(*(read() for _ in range(IDLE_CONNECTIONS)))
        relay.silence()
        assert await read() == Failure(ports.StoreError.UNREACHABLE)
        assert isinstance(await read(), Success)
        client.close()


async def test_polls_that_are_answered_are_not_asked_anew_on_calm_days():
    async with clusters_behind_relay(3) as (cluster, _):
        await asyncio.sleep(2.0)
        before = cluster.store.counts["feeds"]
        await asyncio.sleep(DETECTION_SECONDS)
        assert before
        assert cluster.store.counts["feeds"] == before
