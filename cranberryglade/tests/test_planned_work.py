"""Several kinds of planned work at once: each request read is answered."""

import asyncio
import dataclasses
import itertools

import pytest
from returns.result import Success

from cranberryglade.gateway import shutdown
from cranberryglade.tests import cut_off_gateways
from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import gateway_cluster
from cranberryglade.tests import planned_work
from cranberryglade.tests import test_configuration_under_requests as changes

Cluster = gateway_cluster.Cluster

BALANCER_SECONDS = 0.3
SHUTDOWN_SECONDS = 2.0
GRACE_SECONDS = SHUTDOWN_SECONDS / (1 - shutdown.END_MARGIN_SHARE)


@pytest.fixture(autouse=True)
def short_balancer_time(monkeypatch):
    monkeypatch.setattr(shutdown, "BALANCER_SECONDS", BALANCER_SECONDS)


def keep_all(config) -> None:
    """Changes nothing but the version."""


SHORTENED_MS = 1500


def shorten_timeouts(config) -> None:
    """Shortens timeouts under requests that still end in time."""
    for route in config["routes"]:
        route["timeout_ms"] = SHORTENED_MS


CHANGES = [
    keep_all,
    shorten_timeouts,
    *(each for each in changes.CHANGES if each != changes.shorten_timeouts),
]
SUCCESSORS = CHANGES[1:] + CHANGES[:1]
OTHERS = CHANGES[3:] + CHANGES[:3]
PAUSES_SECONDS = [1.0, 1.3, 1.6, 1.9]


def start_load(cluster, gateways=1) -> tuple[planned_work.Load, list]:
    """Starts callers on all kinds of routes of each gateway."""
    load = planned_work.Load()
    sending = [
        asyncio.create_task(
            load.send_on(cluster, f"g{gateway}{target}", target, gateway)
        )
        for gateway in range(gateways)
        for target in planned_work.TARGETS
    ]
    return load, sending


async def end_load(load, sending) -> None:
    load.is_over = True
    await asyncio.gather(*sending)


@pytest.mark.parametrize(
    ("first", "second"),
    [
        *zip(CHANGES, SUCCESSORS, strict=True),
        *zip(CHANGES, OTHERS, strict=True),
    ],
)
async def test_a_second_change_during_the_first_loses_no_request(
    monkeypatch, first, second
):
    read = planned_work.record_read_requests(monkeypatch)
    async with Cluster(gateways=2, runners=2) as cluster:
        for endpoint in cluster.runners:
            planned_work.work_for(endpoint)
        load, sending = start_load(cluster, gateways=2)
        await asyncio.sleep(0.1)
        planned_work.write_change(cluster, 2, first)
        await gateway_cluster.wait_until(
            lambda: any(each._state.version >= 2 for each in cluster.gateways)
        )
        planned_work.write_change(cluster, 3, second)
        await planned_work.wait_for_version(cluster, 3)
        planned_work.write_change(cluster, 4, keep_all)
        await planned_work.wait_for_version(cluster, 4)
        await asyncio.sleep(0.2)
        await end_load(load, sending)
        lost = planned_work.find_lost(load.sent, cluster)
        assert not read.intersection(lost)
        # Connections close unasked only after a short idle time.
        if changes.shrink_limits not in (first, second):
            assert not lost
        assert load.statuses[200] > 8


@pytest.mark.parametrize("target", planned_work.TARGETS)
@pytest.mark.parametrize("apply", CHANGES)
@pytest.mark.parametrize("count", [10, 100])
async def test_back_to_back_requests_beside_a_change_are_answered(
    count, apply, target
):
    async with Cluster(runners=2) as cluster:
        for endpoint in cluster.runners:
            planned_work.work_for(endpoint, 0.005)
            endpoint.event_gap_seconds = 0.002
        caller = await cluster.connect()
        ids = [f"r-{number}" for number in range(count)]
        sending = asyncio.create_task(
            planned_work.send_all(caller, ids, target)
        )
        await gateway_cluster.wait_until(
            lambda: len(planned_work.received_ids(cluster)) > 2
        )
        await changes.change(cluster, apply)
        sent = await sending
        # HTTP closes behind a refusal of what cannot be read.
        lost = planned_work.find_lost(
            sent,
            cluster,
            lambda each, _: (
                each.behind_close and planned_work.crossed_close(each, cluster)
            ),
        )
        assert not lost
        if apply is not changes.shrink_limits:
            assert all(each.answer.whole for each in sent)


@pytest.mark.parametrize("target", planned_work.TARGETS)
@pytest.mark.parametrize("apply", CHANGES)
async def test_a_reload_and_a_change_in_the_drain_lose_no_request(
    apply, target
):
    async with Cluster(runners=2, grace_seconds=GRACE_SECONDS) as cluster:
        for endpoint in cluster.runners:
            planned_work.work_for(endpoint, 0.4)
            endpoint.event_gap_seconds = 0.13
        (gateway,) = cluster.gateways
        waiting = [await cluster.connect() for _ in range(12)]
        answers = [
            asyncio.create_task(
                planned_work.send_all(caller, [f"r-{number}"], target)
            )
            for number, caller in enumerate(waiting)
        ]
        await gateway_cluster.wait_until(
            lambda: len(planned_work.received_ids(cluster)) > 4
        )
        gateway.stop()
        stopping = asyncio.create_task(gateway.drain())
        cluster.reload_result = Success(
            dataclasses.replace(
                cluster.settings[0], grace_seconds=0.1, retry_slack=0.0
            )
        )
        gateway._reload()
        await changes.change(cluster, apply)
        await asyncio.sleep(BALANCER_SECONDS)
        gateway._reload()
        sent = [each for done in answers for each in await done]
        await asyncio.wait_for(stopping, GRACE_SECONDS)
        assert not planned_work.find_lost(sent, cluster)


@pytest.mark.parametrize("apply", CHANGES)
async def test_a_half_read_request_is_answered_beside_a_change_in_the_drain(
    apply,
):
    async with Cluster(grace_seconds=GRACE_SECONDS) as cluster:
        (gateway,) = cluster.gateways
        caller = await cluster.connect()
        caller.request(method="POST", Transfer_Encoding="chunked")
        caller.send(b"4\r\nsome\r\n")
        await gateway_cluster.wait_until(
            lambda: gateway._caller_listener.busy == 1
        )
        gateway.stop()
        stopping = asyncio.create_task(gateway.drain())
        await changes.change(cluster, apply)
        gateway._reload()
        await asyncio.sleep(BALANCER_SECONDS)
        caller.send(b"4\r\nmore\r\n0\r\n\r\n")
        assert (await caller.answer()).whole
        await asyncio.wait_for(stopping, GRACE_SECONDS)


@pytest.mark.parametrize("target", planned_work.TARGETS)
@pytest.mark.parametrize("apply", CHANGES)
async def test_a_change_under_a_tunnel_loses_no_request(apply, target):
    async with Cluster(gateways=2, runners=2) as cluster:
        for endpoint in cluster.runners:
            planned_work.work_for(endpoint, 0.4)
            endpoint.event_gap_seconds = 0.15
        cut_off_gateways.cut_off(
            cluster.gateways[0], cut_off_gateways.Cut.REFUSED
        )
        caller = await cluster.connect()
        sending = asyncio.create_task(
            planned_work.send_all(caller, ["r-1"], target)
        )
        await gateway_cluster.wait_until(
            lambda: planned_work.received_ids(cluster)
        )
        planned_work.write_change(cluster, 2, apply)
        await planned_work.wait_for_version(cluster, 2)
        (only,) = await sending
        assert (only.answer.status, only.answer.whole) == (200, True)


@pytest.mark.parametrize("target", planned_work.TARGETS)
async def test_a_stop_of_the_instance_under_a_tunnel_loses_no_request(target):
    async with Cluster(
        gateways=2, runners=2, grace_seconds=GRACE_SECONDS
    ) as cluster:
        for endpoint in cluster.runners:
            planned_work.work_for(endpoint, 0.6)
            endpoint.event_gap_seconds = 0.2
        first, second = cluster.gateways
        cut_off_gateways.cut_off(first, cut_off_gateways.Cut.REFUSED)
        caller = await cluster.connect()
        sending = asyncio.create_task(
            planned_work.send_all(caller, ["r-1"], target)
        )
        await gateway_cluster.wait_until(
            lambda: planned_work.received_ids(cluster)
        )
        second.stop()
        stopping = asyncio.create_task(second.drain())
        planned_work.write_change(cluster, 2, keep_all)
        (only,) = await sending
        assert (only.answer.status, only.answer.whole) == (200, True)
        await asyncio.wait_for(stopping, GRACE_SECONDS)


SLOTS = 4


@pytest.mark.parametrize("target", ["/look/1", "/write/1"])
@pytest.mark.parametrize(
    ("apply", "pause_seconds"),
    zip(CHANGES, itertools.cycle(PAUSES_SECONDS), strict=False),
)
async def test_pauses_beside_a_change_with_full_slots_lose_no_request(
    apply, pause_seconds, target
):
    config = builders.make_short_gap_config()
    async with Cluster(runners=2, config=config) as cluster:
        for endpoint in cluster.runners:
            planned_work.pause_once_each(endpoint, pause_seconds)
        count = SLOTS * len(cluster.runners) + 2
        waiting = [await cluster.connect() for _ in range(count)]
        answers = [
            asyncio.create_task(
                planned_work.send_all(caller, [f"r-{number}"], target)
            )
            for number, caller in enumerate(waiting)
        ]
        await gateway_cluster.wait_until(
            lambda: len(planned_work.received_ids(cluster)) >= count - 2
        )
        await changes.change(cluster, apply)
        sent = [each for done in answers for each in await done]
        assert not planned_work.find_lost(sent, cluster)


async def test_requests_before_the_first_configuration_are_refused_whole():
    async with Cluster(config={}) as cluster:
        planned_work.work_for(cluster.runners[0])
        sent = []
        for target in planned_work.TARGETS:
            caller = await cluster.connect()
            ids = [f"{target}-{number}" for number in range(10)]
            sent += await planned_work.send_all(caller, ids, target)
        assert not planned_work.find_lost(sent, cluster)
        assert {each.answer.status for each in sent} == {503}
        load, sending = start_load(cluster)
        await asyncio.sleep(0.1)
        planned_work.write_change(cluster, 1, keep_all)
        await planned_work.wait_for_version(cluster, 1)
        await gateway_cluster.wait_until(lambda: load.statuses[200] > 3)
        await end_load(load, sending)
        assert not planned_work.find_lost(load.sent, cluster)


@pytest.mark.parametrize("turns", range(6))
async def test_a_connection_accepted_as_the_listener_closes_is_not_left_silent(
    monkeypatch, turns
):
    monkeypatch.setattr(shutdown, "BALANCER_SECONDS", 0.0)
    async with Cluster(grace_seconds=GRACE_SECONDS) as cluster:
        (gateway,) = cluster.gateways
        gateway.stop()
        connection = planned_work.connect_at_once(cluster)
        for _ in range(turns):
            await asyncio.sleep(0)
        stopping = asyncio.create_task(gateway.drain())
        answer = await asyncio.wait_for(planned_work.read_some(connection), 1.0)
        # One that was not accepted yet is reset, and the caller tries again.
        assert answer is None or answer.startswith(
            (b"HTTP/1.1 200", b"HTTP/1.1 503")
        )
        await asyncio.wait_for(stopping, GRACE_SECONDS)


@pytest.mark.parametrize("target", planned_work.TARGETS)
@pytest.mark.parametrize("apply", [keep_all, changes.shrink_limits])
@pytest.mark.parametrize("count", [10, 100])
async def test_back_to_back_requests_read_beside_a_stop_are_answered(
    monkeypatch, count, apply, target
):
    read = planned_work.record_read_requests(monkeypatch)
    async with Cluster(runners=2, grace_seconds=GRACE_SECONDS) as cluster:
        for endpoint in cluster.runners:
            planned_work.work_for(endpoint, 0.005)
            endpoint.event_gap_seconds = 0.002
        (gateway,) = cluster.gateways
        caller = await cluster.connect()
        ids = [f"r-{number}" for number in range(count)]
        sending = asyncio.create_task(
            planned_work.send_all(caller, ids, target)
        )
        await gateway_cluster.wait_until(
            lambda: len(planned_work.received_ids(cluster)) > 2
        )
        gateway.stop()
        stopping = asyncio.create_task(gateway.drain())
        await changes.change(cluster, apply)
        lost = planned_work.find_lost(
            await sending, cluster, lambda each, _: each.id not in read
        )
        assert not lost
        assert len(read) >= 10
        await asyncio.wait_for(stopping, GRACE_SECONDS)


@pytest.mark.parametrize("count", [1, 10])
async def test_no_request_is_read_and_dropped_behind_an_answer_that_closes(
    monkeypatch, count
):
    read = planned_work.record_read_requests(monkeypatch)
    async with Cluster(grace_seconds=GRACE_SECONDS) as cluster:
        (endpoint,) = cluster.runners
        planned_work.work_for(endpoint, 0.005)
        endpoint.event_gap_seconds = 0.2
        (gateway,) = cluster.gateways
        gateway.stop()
        stopping = asyncio.create_task(gateway.drain())
        caller = await cluster.connect()
        caller.request(target="/note/1", X_Attempt_Id="s-0")
        await gateway_cluster.wait_until(lambda: endpoint.ran)
        ids = [f"r-{number}" for number in range(count)]
        stream = asyncio.create_task(caller.answer())
        await asyncio.sleep(0.1)
        sent = await planned_work.send_all(caller, ids, behind=stream)
        lost = planned_work.find_lost(
            sent, cluster, lambda each, _: each.id not in read
        )
        assert not lost
        await asyncio.wait_for(stopping, GRACE_SECONDS)


async def test_a_connection_that_waits_to_be_accepted_is_answered(monkeypatch):
    monkeypatch.setattr(shutdown, "BALANCER_SECONDS", 0.0)
    async with Cluster(grace_seconds=GRACE_SECONDS) as cluster:
        (gateway,) = cluster.gateways
        gateway.stop()
        connection = planned_work.connect_at_once(cluster)
        stopping = asyncio.create_task(gateway.drain())
        answer = await asyncio.wait_for(planned_work.read_some(connection), 1.0)
        assert answer is not None
        assert answer.startswith((b"HTTP/1.1 200", b"HTTP/1.1 503"))
        # The process ends with the drain.
        assert not stopping.done()
        await asyncio.wait_for(stopping, GRACE_SECONDS)
