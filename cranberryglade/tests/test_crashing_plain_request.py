"""A request without a prompt that crashes each endpoint that runs it."""

import pytest

from cranberryglade.tests import gateway_cluster

FAULTY_BODY = b"faulty"
TARGETS = ["/look/1", "/pay/1", "/write/1", "/note/1"]

MAX_SENDS = 3 + 3
"""Crashes until the request counts as their cause, and further sends that are
allowed."""


def make_cluster(gateways=3, endpoints=12) -> gateway_cluster.Cluster:
    """Returns a cluster whose endpoints crash on FAULTY_BODY."""
    cluster = gateway_cluster.Cluster(gateways, endpoints)
    for endpoint in cluster.runners:
        endpoint.default_behaviour = endpoint.crashing_if(
            is_faulty, endpoint.serve_by_target
        )
    return cluster


def is_faulty(received) -> bool:
    return received.body == FAULTY_BODY


async def send(cluster, number, body=FAULTY_BODY, target="/look/1"):
    """Sends one attempt of a caller, at each gateway in turn."""
    return await cluster.send_request(
        number % len(cluster.gateways),
        target=target,
        method="POST",
        body=body,
        X_Attempt_Id=f"{target}{body}{number}",
    )


def sends_of(cluster, is_meant) -> int:
    """Returns how many requests of a kind endpoints received."""
    return sum(
        sum(map(is_meant, endpoint.received)) for endpoint in cluster.runners
    )


@pytest.mark.parametrize("target", TARGETS)
async def test_plain_request_that_crashes_endpoints_is_not_sent_on(target):
    async with make_cluster() as cluster:
        for number in range(12):
            await send(cluster, number, target=target)
            await send(cluster, number, b"sound %d" % number, target)
        assert sends_of(cluster, is_faulty) <= MAX_SENDS
        sound = await send(cluster, 0, b"sound", target)
        assert sound.status == 200
        assert sound.whole
