"""A request without a prompt that crashes each endpoint that runs it."""

import asyncio

import pytest

from cranberryglade import quarantine
from cranberryglade.gateway import messages
from cranberryglade.soak import links
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


async def test_repeats_that_arrive_at_once_end_few_endpoints():
    async with make_cluster(endpoints=16) as cluster:
        await asyncio.gather(*(send(cluster, n) for n in range(3)))
        for number in range(12):
            await send(cluster, number)
        under_way = 2 * 3
        assert sends_of(cluster, is_faulty) <= under_way + MAX_SENDS


async def crash_until_quarantined(cluster):
    """Sends the faulty request until it is not sent on; returns the answer."""
    for number in range(MAX_SENDS):
        answer = await send(cluster, number)
        if answer.body == messages.QUARANTINED.encode():
            return answer
    raise AssertionError("not quarantined")


async def test_caller_of_a_quarantined_request_is_told_that_it_did_not_run():
    async with make_cluster() as cluster:
        await crash_until_quarantined(cluster)
        before = sends_of(cluster, is_faulty)
        answer = await send(cluster, 0)
        assert answer.status == 503
        left = float(answer.headers["retry-after"])
        assert 0 < left <= quarantine.QUARANTINE_SECONDS
        assert sends_of(cluster, is_faulty) == before


async def test_operator_ends_the_quarantine_of_a_request_by_its_digest():
    async with make_cluster(gateways=1) as cluster:
        await crash_until_quarantined(cluster)
        (entry,) = cluster.gateways[0]._state.quarantine.entries
        (digest,) = entry.parts
        for endpoint in cluster.runners:
            endpoint.default_behaviour = endpoint.succeed
        await cluster.ask_status("DELETE", f"/quarantine/{digest}")
        answer = await send(cluster, 0)
        assert answer.status == 200


async def test_answered_request_is_not_refused_after_endpoints_die_in_series():
    async with make_cluster() as cluster:
        await send(cluster, 0, b"popular")
        for number in range(3):
            for endpoint in cluster.runners:
                endpoint.script = [endpoint.crashing_if(always, None)]
            await send(cluster, number, b"popular")
            for endpoint in cluster.runners:
                endpoint.script = []
        assert sum(endpoint.crashed for endpoint in cluster.runners) >= 4
        answer = await send(cluster, 0, b"popular")
        assert answer.status == 200


def always(received) -> bool:
    return True


async def test_prompt_part_cannot_pass_for_the_digest_of_a_request():
    async with make_cluster(gateways=1) as cluster:
        await crash_until_quarantined(cluster)
        (entry,) = cluster.gateways[0]._state.quarantine.entries
        (digest,) = entry.parts
        forged = await cluster.send_request(
            target="/write/1", X_Prompt_Prefix=f"{digest}:10,own:10"
        )
        assert forged.status == 200
        again = await send(cluster, 0)
        assert again.status == 503


@pytest.mark.parametrize("target", TARGETS)
async def test_crash_behind_a_proxy_that_accepts_connections_counts(target):
    async with make_cluster() as cluster:
        proxies = [links.Link(each.address) for each in cluster.runners]
        for endpoint, proxy in zip(cluster.runners, proxies, strict=True):
            await proxy.start()
            cluster.register_runner(endpoint, address=proxy.address)
        addresses = {proxy.address for proxy in proxies}
        await cluster.wait_for_endpoints(
            lambda listed: {e.address for e in listed.values()} == addresses
        )
        for number in range(12):
            await send(cluster, number, target=target)
        assert sends_of(cluster, is_faulty) <= MAX_SENDS
        for proxy in proxies:
            await proxy.stop()
