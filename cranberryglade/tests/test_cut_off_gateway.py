"""Gateways that reach no endpoint, while callers and peers reach them."""

import asyncio
import gc

import pytest

from cranberryglade.gateway import dialect
from cranberryglade.gateway import reachability
from cranberryglade.gateway import shutdown
from cranberryglade.gateway import sockets
from cranberryglade.gateway import tunnels
from cranberryglade.tests import cut_off_gateways
from cranberryglade.tests import gateway_cluster

TARGETS = ["/look/1", "/pay/1", "/write/1", "/note/1"]

REQUESTS = 12
"""Number of requests that each gateway gets."""


def make_cluster(gateways) -> gateway_cluster.Cluster:
    cluster = gateway_cluster.Cluster(gateways, 6)
    for endpoint in cluster.runners:
        endpoint.default_behaviour = endpoint.serve_by_target
    return cluster


async def served_share(cluster, gateway, target) -> float:
    """Returns the share of requests that are served at the first attempt."""
    served = 0
    for number in range(REQUESTS):
        answer = await cluster.send_request(
            gateway, target=target, X_Attempt_Id=f"{gateway}-{number}"
        )
        served += answer.status == 200 and answer.whole
        await asyncio.sleep(0.02)
    return served / REQUESTS


@pytest.mark.parametrize("target", TARGETS)
@pytest.mark.parametrize("cut", cut_off_gateways.Cut)
@pytest.mark.parametrize("cut_count", [1, 2])
async def test_callers_of_a_cut_off_gateway_are_served_like_others(
    target, cut, cut_count
):
    async with make_cluster(gateways=4) as cluster:
        await asyncio.gather(
            *(served_share(cluster, n, target) for n in range(4))
        )
        for gateway in cluster.gateways[:cut_count]:
            cut_off_gateways.cut_off(gateway, cut)
        shares = await asyncio.gather(
            *(served_share(cluster, n, target) for n in range(4))
        )
        others = min(shares[cut_count:])
        assert others >= 0.9
        assert min(shares[:cut_count]) >= others * 2 / 3


async def test_all_gateways_of_a_failure_domain_may_be_cut_off():
    async with make_cluster(gateways=2) as cluster:
        for number in range(3):
            cluster.change_settings(failure_domain="south")
            await cluster.add_gateway(f"south-{number}")
        await cluster.wait_until_ready()
        for gateway in cluster.gateways[2:]:
            cut_off_gateways.cut_off(gateway, cut_off_gateways.Cut.HANGING)
        shares = await asyncio.gather(
            *(served_share(cluster, n, "/pay/1") for n in range(5))
        )
        assert min(shares[:2]) == 1.0
        assert min(shares[2:]) >= 2 / 3


async def cut_off_first(cluster, cut=cut_off_gateways.Cut.REFUSED):
    cut_off_gateways.cut_off(cluster.gateways[0], cut)


async def test_large_bodies_and_answers_pass_through_another_gateway():
    async with make_cluster(gateways=2) as cluster:
        await cut_off_first(cluster)
        body = bytes(9000)
        answer = await cluster.send_request(
            target="/look/1", method="POST", body=body
        )
        assert answer.body == b"body of " + body


async def test_unframed_answer_through_another_gateway_is_whole():
    async with make_cluster(gateways=2) as cluster:
        await cut_off_first(cluster)
        for endpoint in cluster.runners:
            endpoint.default_behaviour = endpoint.unframed
        answer = await cluster.send_request(target="/pay/1")
        assert (answer.status, answer.body) == (200, b"unframed body")


async def test_unframed_stream_reset_behind_another_gateway_is_not_complete():
    async with make_cluster(gateways=2) as cluster:
        await cut_off_first(cluster)
        for endpoint in cluster.runners:
            endpoint.default_behaviour = endpoint.reset_unframed(2)
        answer = await cluster.send_request(target="/note/1")
        assert not answer.whole


async def test_unframed_stream_is_not_complete_if_the_other_gateway_ends():
    async with make_cluster(gateways=2) as cluster:
        await cut_off_first(cluster)
        for endpoint in cluster.runners:
            endpoint.event_gap_seconds = 0.1
            endpoint.default_behaviour = endpoint.events(
                1, 20, framing=dialect.Framing.CONNECTION_CLOSE
            )
        sent = asyncio.create_task(cluster.send_request(target="/note/1"))
        await asyncio.sleep(0.5)
        server = cluster.gateways[1]._tunnel_server
        for transport in list(server.open_transports):
            transport.close()
        assert not (await sent).whole


@pytest.mark.parametrize("cut", cut_off_gateways.Cut)
@pytest.mark.parametrize(("gateways", "whole"), [(1, False), (2, True)])
async def test_unframed_stream_is_complete_only_if_its_endpoint_is_reached(
    cut, gateways, whole
):
    async with make_cluster(gateways=gateways) as cluster:
        for endpoint in cluster.runners:
            endpoint.event_gap_seconds = 0.1
            endpoint.default_behaviour = endpoint.events(
                1, 3, framing=dialect.Framing.CONNECTION_CLOSE
            )
        sent = asyncio.create_task(cluster.send_request(target="/note/1"))
        await gateway_cluster.wait_until(
            lambda: any(endpoint.ran for endpoint in cluster.runners)
        )
        cut_off_gateways.cut_off(cluster.gateways[0], cut)
        assert (await sent).whole == whole


@pytest.mark.parametrize("target", ["/note/1", "/pay/1"])
async def test_request_through_another_gateway_outlasts_its_shutdown(
    target, monkeypatch
):
    monkeypatch.setattr(shutdown, "BALANCER_SECONDS", 0.2)
    async with make_cluster(gateways=2) as cluster:
        await cut_off_first(cluster)
        for endpoint in cluster.runners:
            endpoint.event_gap_seconds = 0.1
            endpoint.default_behaviour = endpoint.events(1, 10)
        sent = asyncio.create_task(cluster.send_request(target=target))
        await gateway_cluster.wait_until(
            lambda: any(endpoint.ran for endpoint in cluster.runners)
        )
        helper = cluster.gateways[1]
        helper.stop()
        await asyncio.wait_for(helper.drain(), 5.0)
        answer = await sent
        assert (answer.status, answer.whole) == (200, True)


async def test_endpoint_behind_another_gateway_learns_that_the_caller_left():
    async with make_cluster(gateways=2) as cluster:
        await cut_off_first(cluster)
        for endpoint in cluster.runners:
            endpoint.default_behaviour = endpoint.hang
        caller = await cluster.connect(0)
        caller.request(target="/pay/1")
        await gateway_cluster.wait_until(
            lambda: any(endpoint.ran for endpoint in cluster.runners)
        )
        caller.close()
        await gateway_cluster.wait_until(
            lambda: any(endpoint.disconnected for endpoint in cluster.runners),
            0.5,
        )


def is_cut_off(gateway) -> bool:
    now = asyncio.get_running_loop().time()
    return gateway._state.reachability.is_cut_off(now)


async def test_gateway_connects_directly_again_after_the_cut():
    async with make_cluster(gateways=2) as cluster:
        await cut_off_first(cluster)
        await asyncio.gather(
            *(served_share(cluster, 0, "/look/1") for _ in range(6))
        )
        assert is_cut_off(cluster.gateways[0])
        cut_off_gateways.reconnect(cluster.gateways[0])
        await gateway_cluster.wait_until(
            lambda: not is_cut_off(cluster.gateways[0])
        )
        assert await served_share(cluster, 0, "/look/1") == 1.0
        await gateway_cluster.wait_until(
            lambda: not cluster.gateways[1]._tunnel_server.open_transports
        )


async def test_refusal_after_another_gateway_was_faster_is_no_error():
    async with make_cluster(gateways=1) as cluster:
        address = sockets.split_address(cluster.settings[0].front_address)
        loop = asyncio.get_running_loop()
        transport, tunnel = await loop.create_connection(
            lambda: tunnels._Tunnel("127.0.0.1:1"), *address
        )
        waiting = asyncio.create_task(asyncio.wait([tunnel.opened]))
        await asyncio.sleep(0)
        tunnel.data_received(tunnels.encode_frame(b"refused"))
        waiting.cancel()
        transport.abort()
        del tunnel, waiting
        gc.collect()


async def test_tunnels_lead_to_listed_endpoints_only():
    async with make_cluster(gateways=1) as cluster:
        settings = cluster.settings[0]
        address = f"127.0.0.1:{settings.peer_port}"
        client = tunnels.TunnelClient(
            lambda: [address], reachability.Reachability(), lambda: None
        )
        with pytest.raises(OSError):
            await client.connect(settings.front_address)
        channel = await client.connect(cluster.runners[0].address)
        channel.abort()


async def test_cut_off_gateway_reports_no_sound_endpoint_as_crashed():
    async with make_cluster(gateways=2) as cluster:
        await cut_off_first(cluster)
        endpoint = cluster.runners[0]
        listed = cluster.gateways[0]._state.endpoints[endpoint.id]
        assert not await cluster.gateways[0]._sender.has_ended(listed)
        endpoint.crash()
        assert await cluster.gateways[0]._sender.has_ended(listed)
