"""Prompts with a part that crashes every endpoint that answers them."""

import asyncio
import json

import pytest
import xxhash

from cranberryglade import quarantine
from cranberryglade.gateway import messages
from cranberryglade.platform import headers
from cranberryglade.tests import crashing_endpoints
from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import gateway_cluster

FAULTY_PART = crashing_endpoints.FAULTY_PART
SHARED_PART = crashing_endpoints.SHARED_PART

MAX_CRASHES = 5 + 3
"""Crashes until the part counts as the cause, and those allowed afterwards."""


async def test_prompt_part_that_crashes_endpoints_is_not_sent_on():
    async with crashing_endpoints.make_cluster() as cluster:
        for number in range(12):
            gateway = number % 3
            await crashing_endpoints.send(
                cluster, SHARED_PART, FAULTY_PART, gateway=gateway
            )
            await crashing_endpoints.send(cluster, SHARED_PART, gateway=gateway)
        assert crashing_endpoints.crashed(cluster) <= MAX_CRASHES
        sound = await crashing_endpoints.send(cluster, SHARED_PART)
        assert sound.status == 200
        assert sound.whole


async def crash_until_quarantined(cluster, target="/write/1") -> None:
    """Sends requests with the faulty part until they are not sent on."""
    for number in range(MAX_CRASHES):
        gateway = number % len(cluster.gateways)
        answer = await crashing_endpoints.send(
            cluster, f"p{number}", FAULTY_PART, gateway=gateway, target=target
        )
        if answer.status == 503 and answer.body == b"quarantined":
            return
    raise AssertionError("not quarantined")


async def wait_until_known(cluster) -> None:
    """Waits until all instances know the quarantine."""
    await gateway_cluster.wait_until(
        lambda: all(map(quarantined, cluster.gateways)), 2.0
    )


def quarantined(gateway) -> bool:
    now = asyncio.get_running_loop().time()
    return gateway._state.quarantine.find((FAULTY_PART,), now) is not None


@pytest.mark.parametrize("target", ["/write/1", "/note/1", "/look/1", "/pay/1"])
async def test_crashing_part_is_found_for_all_kinds_of_requests(target):
    async with crashing_endpoints.make_cluster(endpoints=8) as cluster:
        for endpoint in cluster.runners:
            endpoint.default_behaviour = endpoint.crashing_on(
                FAULTY_PART, endpoint.succeed
            )
        await crash_until_quarantined(cluster, target)
        answer = await crashing_endpoints.send(
            cluster, SHARED_PART, target=target
        )
        assert answer.status == 200


async def test_request_under_which_two_endpoints_crashed_is_not_sent_again():
    config = builders.make_operator_config(max_attempts=5)
    async with crashing_endpoints.make_cluster(1, 5, config) as cluster:
        answer = await crashing_endpoints.send(cluster, FAULTY_PART)
        assert not answer.whole
        assert crashing_endpoints.crashed(cluster) == 2


async def test_caller_of_a_quarantined_part_is_told_when_to_come_back():
    async with crashing_endpoints.make_cluster() as cluster:
        await crash_until_quarantined(cluster)
        before = sum(len(each.received) for each in cluster.runners)
        started = asyncio.get_running_loop().time()
        answer = await crashing_endpoints.send(cluster, FAULTY_PART)
        assert asyncio.get_running_loop().time() - started < 0.2
        assert answer.status == 503
        left = float(answer.headers["retry-after"])
        assert left > 0.9 * quarantine.QUARANTINE_SECONDS
        assert left <= quarantine.QUARANTINE_SECONDS
        after = sum(len(each.received) for each in cluster.runners)
        assert after == before


async def test_quarantine_is_known_to_all_instances_and_to_new_ones():
    async with crashing_endpoints.make_cluster() as cluster:
        await crash_until_quarantined(cluster)
        await wait_until_known(cluster)
        late = await cluster.add_gateway("gate-9")
        await gateway_cluster.wait_until(lambda: quarantined(late), 2.0)


async def test_quarantine_outlasts_a_restart_of_all_instances():
    key = xxhash.xxh64_hexdigest(FAULTY_PART.encode())
    async with crashing_endpoints.make_cluster() as cluster:
        await crash_until_quarantined(cluster)
        await gateway_cluster.wait_until(
            lambda: cluster.store.row("cranberryglade-quarantine", key), 2.0
        )
        for gateway in cluster.gateways:
            gateway.close()
        late = await cluster.add_gateway("gate-9")
        await gateway_cluster.wait_until(lambda: quarantined(late), 2.0)


async def test_suspicion_outlasts_the_allocator():
    async with crashing_endpoints.make_cluster() as cluster:
        await crashing_endpoints.send(cluster, FAULTY_PART)
        assert crashing_endpoints.crashed(cluster) == 2
        allocator = next(
            gateway
            for gateway in cluster.gateways
            if gateway._mesh.allocator == gateway._settings.instance
        )
        others = [each for each in cluster.gateways if each is not allocator]
        await gateway_cluster.wait_until(
            lambda: all(
                each._state.quarantine.evidence.suspected((FAULTY_PART,))
                for each in others
            ),
            2.0,
        )
        allocator.close()
        index = cluster.gateways.index(others[0])
        await crashing_endpoints.send(cluster, FAULTY_PART, gateway=index)
        assert crashing_endpoints.crashed(cluster) == 3
        await gateway_cluster.wait_until(
            lambda: any(map(quarantined, others)), 2.0
        )


async def test_operator_lists_and_ends_a_quarantine():
    async with crashing_endpoints.make_cluster() as cluster:
        await crash_until_quarantined(cluster)
        await wait_until_known(cluster)
        (entry,) = json.loads(await cluster.ask_status("GET", "/quarantine"))
        assert entry["parts"] == [FAULTY_PART]
        await cluster.ask_status("DELETE", f"/quarantine/{FAULTY_PART}")
        assert json.loads(await cluster.ask_status("GET", "/quarantine")) == []
        await gateway_cluster.wait_until(
            lambda: not any(map(quarantined, cluster.gateways)), 2.0
        )
        for endpoint in cluster.runners:
            endpoint.default_behaviour = endpoint.succeed
        answer = await crashing_endpoints.send(cluster, FAULTY_PART)
        assert answer.status == 200


def decode_parts(*prefixes: str) -> tuple[str, ...]:
    fields = [messages.Header(b"Host", b"example.test")]
    for prefix in prefixes:
        fields.append(messages.Header(b"x-prompt-prefix", prefix.encode()))
    request = messages.Request(b"POST", b"/", fields, b"", False, True, 0.0)
    return headers.HeaderDialect().decode_request(request).prompt_parts


def test_parts_of_a_prompt_are_read_without_its_own_one():
    assert decode_parts() == ()
    assert decode_parts("a0:800") == ()
    assert decode_parts("a0:800,b1:410,c2:250") == ("a0", "b1")
    assert decode_parts(" A0 : 800 ,a0:1,,:5,c2") == ("a0",)
    assert decode_parts("a0:1,b1:2", "c2:3,d3:4") == ("a0", "b1", "c2")


def test_a_million_parts_are_cut_to_what_fits_into_a_datagram():
    prefix = ",".join(f"{n:x}" * 50 for n in range(100_000))
    parts = decode_parts(prefix)
    assert len(parts) <= 64
    assert max(map(len, parts)) <= 64
