"""Connections to endpoints are closed when what uses them is cancelled."""

import asyncio

from cranberryglade.tests import gateway_cluster

Cluster = gateway_cluster.Cluster

CLOSE_SECONDS = 0.3
"""Time for the endpoint to notice a close."""


async def cancel(task: asyncio.Task) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_the_connection_that_asks_whether_an_endpoint_ended_is_closed():
    async with Cluster() as cluster:
        (gateway,) = cluster.gateways
        (endpoint,) = cluster.runners
        (listed,) = gateway._state.endpoints.values()
        asking = asyncio.create_task(gateway._sender.has_ended(listed))
        await gateway_cluster.wait_until(lambda: endpoint.open_connections)
        await cancel(asking)
        await gateway_cluster.wait_until(
            lambda: not endpoint.open_connections, CLOSE_SECONDS
        )


async def test_a_connection_that_was_taken_and_not_used_is_closed():
    async with Cluster() as cluster:
        (gateway,) = cluster.gateways
        (endpoint,) = cluster.runners
        (listed,) = gateway._state.endpoints.values()
        assert (await cluster.send_request()).status == 200
        taking = asyncio.create_task(
            gateway._sender._take_channel(listed, True)
        )
        await asyncio.sleep(0)
        await cancel(taking)
        await gateway_cluster.wait_until(
            lambda: not endpoint.open_connections, CLOSE_SECONDS
        )
