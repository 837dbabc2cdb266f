"""Gateways that reach no endpoint, while callers and peers reach them."""

import asyncio

import pytest

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
