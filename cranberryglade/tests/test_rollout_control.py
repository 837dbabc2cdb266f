"""Tests of rollouts with gateways, endpoints and the store; their failures."""

import asyncio
import itertools
import json

import pytest
import structlog

from cranberryglade.platform import store
from cranberryglade.rollouts import control
from cranberryglade.standins import operator_configuration
from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import gateway_cluster

KEY = f"rollout/{operator_configuration.SERVICE}"
PERIOD_SECONDS = 5.0
VERSIONS = ("v1", "v1", "v2", "v2")
CALLERS = 6
NUMBERS = itertools.count()


def make_cluster(**changes):
    fields = {
        "gateways": 2,
        "runners": len(VERSIONS),
        "versions": VERSIONS,
        "exposure_slack": 200.0,
    }
    return gateway_cluster.Cluster(**(fields | changes))


def order(cluster, to="v2", period=PERIOD_SECONDS):
    text = {"service": builders.SERVICE, "to": to, "period_s": period}
    cluster.store.put("op", KEY, json.dumps(text).encode())


def status(cluster) -> dict:
    value = cluster.store.row("status", KEY)
    return json.loads(value) if value else {}


def runners(cluster, version):
    return [e for e in cluster.runners if e.software_version == version]


def count_received(cluster, version) -> int:
    return sum(len(each.received) for each in runners(cluster, version))


async def send(cluster, number=0):
    gateway = number % len(cluster.gateways)
    id_ = f"a-{next(NUMBERS)}"
    return await cluster.send_request(gateway, X_Attempt_Id=id_)


async def call_until(cluster, state, seconds=PERIOD_SECONDS + 1.0):
    """Sends requests until the status row has a state."""
    deadline = asyncio.get_running_loop().time() + seconds

    async def call(number):
        while status(cluster).get("state") != state:
            assert asyncio.get_running_loop().time() < deadline
            await send(cluster, number)

    await asyncio.gather(*(call(number) for number in range(CALLERS)))


async def wait_for_state(cluster, state):
    await gateway_cluster.wait_until(
        lambda: status(cluster).get("state") == state,
        PERIOD_SECONDS + 1.0,
    )


async def wait_for_phase(cluster, phase):
    await gateway_cluster.wait_until(
        lambda: status(cluster).get("phase") == phase,
        PERIOD_SECONDS + 1.0,
    )


def allocating(cluster):
    return next(e for e in cluster.gateways if e._allocator.is_allocating)


async def test_a_bad_version_is_rolled_back_after_few_requests():
    async with make_cluster() as cluster:
        for each in runners(cluster, "v2"):
            each.default_behaviour = each.fail
        order(cluster)
        await wait_for_state(cluster, "running")
        before = count_received(cluster, "v2")
        await call_until(cluster, "rolled_back")
        assert count_received(cluster, "v2") - before <= 50
        before = count_received(cluster, "v2")
        for number in range(8):
            answer = await send(cluster, number)
            assert answer.status == 200
        assert count_received(cluster, "v2") == before


async def test_nothing_runs_at_an_old_endpoint_when_completed_is_written():
    async with make_cluster() as cluster:
        order(cluster)
        await call_until(cluster, "completed")
        held = allocating(cluster)._slots
        old = [each.id for each in runners(cluster, "v1")]
        assert held.requests_at(old) == []
        before = count_received(cluster, "v1")
        for number in range(8):
            assert (await send(cluster, number)).status == 200
        assert count_received(cluster, "v1") == before


async def test_a_version_without_traffic_is_completed_in_its_period():
    async with make_cluster(gateways=1) as cluster:
        order(cluster, period=2.0)
        await wait_for_state(cluster, "completed")


async def test_an_order_for_an_absent_version_leaves_the_traffic():
    async with make_cluster(gateways=1) as cluster:
        with structlog.testing.capture_logs() as lines:
            order(cluster, to="v9", period=2.0)
            await call_until(cluster, "rolled_back")
        assert any(x["event"] == "rollout.version_absent" for x in lines)
        assert (await send(cluster)).status == 200


@pytest.mark.parametrize("text", [b"{", b'{"to":"v2"}', b'{"to":1}'])
async def test_an_unreadable_order_is_logged_and_ignored(text):
    async with make_cluster(gateways=1) as cluster:
        with structlog.testing.capture_logs() as lines:
            cluster.store.put("op", KEY, text)
            await gateway_cluster.wait_until(
                lambda: any(x["event"] == "rollout.unreadable" for x in lines)
            )
        assert not cluster.gateways[0]._versions.orders
        assert (await send(cluster)).status == 200
        assert not status(cluster)


async def test_nothing_is_promoted_while_the_store_is_down():
    async with make_cluster(gateways=1) as cluster:
        order(cluster, period=3.0)
        await wait_for_state(cluster, "running")
        cluster.store.faults.refuse = True
        await asyncio.sleep(3.2)
        gateway = allocating(cluster)
        barred = gateway._versions.barred(builders.SERVICE)
        assert barred.all_requests == {"v2"}
        cluster.store.clear_faults()
        await wait_for_state(cluster, "completed")


async def test_a_bad_version_gets_nothing_while_the_store_is_down():
    async with make_cluster(gateways=1) as cluster:
        order(cluster)
        await wait_for_state(cluster, "running")
        for each in runners(cluster, "v2"):
            each.default_behaviour = each.fail
        cluster.store.faults.refuse = True
        versions = allocating(cluster)._versions
        conducted = versions.rollouts[builders.SERVICE]
        while not conducted.rejection:
            await send(cluster)
        before = count_received(cluster, "v2")
        for _ in range(8):
            await send(cluster)
        assert count_received(cluster, "v2") == before
        cluster.store.clear_faults()
        await wait_for_state(cluster, "rolled_back")


async def test_a_second_order_rolls_the_first_version_back():
    async with make_cluster(
        gateways=1, runners=3, versions=("v1", "v2", "v3")
    ) as cluster:
        with structlog.testing.capture_logs() as lines:
            order(cluster)
            await wait_for_state(cluster, "running")
            order(cluster, to="v3", period=2.0)
            await wait_for_state(cluster, "completed")
        events = [x["event"] for x in lines]
        assert status(cluster)["to"] == "v3"
        assert events.index("rollout.rolled_back") < events.index(
            "rollout.completed"
        )


async def test_a_withdrawn_order_is_rolled_back():
    async with make_cluster(gateways=1) as cluster:
        order(cluster)
        await wait_for_state(cluster, "running")
        cluster.store.remove("op", KEY)
        await wait_for_state(cluster, "rolled_back")


async def test_a_second_allocator_counts_the_grants_of_the_first():
    async with make_cluster() as cluster:
        order(cluster, period=20.0)
        await wait_for_state(cluster, "running")
        await gateway_cluster.wait_until(lambda: status(cluster)["reserved"])
        first = allocating(cluster)
        second = next(e for e in cluster.gateways if e is not first)
        second._rollouts._is_allocating = lambda: True
        await gateway_cluster.wait_until(lambda: second._versions.rollouts)
        taken_over = second._versions.rollouts[builders.SERVICE]
        assert taken_over.reserved >= 40
        unused = [
            each._versions.rollouts[builders.SERVICE]._budget.unused
            for each in (first, second)
            if each._versions.rollouts
        ]
        assert sum(unused) <= status(cluster)["reserved"]


async def test_a_predecessor_that_wakes_does_not_write_over_its_successor():
    async with make_cluster(gateways=1) as cluster:
        order(cluster, period=20.0)
        await wait_for_state(cluster, "running")
        await gateway_cluster.wait_until(lambda: status(cluster)["reserved"])
        ended = status(cluster) | {"state": "rolled_back"}
        conducted = allocating(cluster)._versions.rollouts[builders.SERVICE]
        conducted._budget._unused = 0
        cluster.store.put("status", KEY, json.dumps(ended).encode())
        await gateway_cluster.wait_until(
            lambda: not allocating(cluster)._versions.rollouts
        )
        assert status(cluster) == ended


async def test_a_successor_goes_on_from_the_rows():
    async with make_cluster() as cluster:
        order(cluster)
        await wait_for_state(cluster, "running")
        allocating(cluster).close()
        with structlog.testing.capture_logs() as lines:
            await wait_for_state(cluster, "completed")
        assert any(x["event"] == "rollout.taken_over" for x in lines)


async def test_statuses_are_read_only_where_there_are_rollouts(monkeypatch):
    """Each call of the store is paid for, by all deployments."""
    tables = []
    fetch_rows = store.StoreClient._fetch_rows

    async def record(self, path, query, timeout):
        tables.append(query["table"])
        return await fetch_rows(self, path, query, timeout)

    monkeypatch.setattr(store.StoreClient, "_fetch_rows", record)
    async with gateway_cluster.Cluster(gateways=3) as cluster:
        await asyncio.sleep(3 * control.STEP_SECONDS)
        assert "status" not in tables
        order(cluster, "v1")
        await asyncio.sleep(3 * control.STEP_SECONDS)
        assert tables.count("status") >= 3
