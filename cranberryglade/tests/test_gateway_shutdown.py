"""What becomes of requests that reach a gateway while it shuts down."""

import asyncio
import itertools
import time

import pytest
import structlog

from cranberryglade.gateway import shutdown
from cranberryglade.standins import operator_configuration
from cranberryglade.tests import gateway_cluster

Cluster = gateway_cluster.Cluster

BALANCER_SECONDS = 0.3
SHUTDOWN_SECONDS = 1.3
GRACE_SECONDS = SHUTDOWN_SECONDS / (1 - shutdown.END_MARGIN_SHARE)
LONG_MS = 60_000
"""Timeout of a request that cannot end before the shutdown does."""


@pytest.fixture(autouse=True)
def short_balancer_time(monkeypatch):
    monkeypatch.setattr(shutdown, "BALANCER_SECONDS", BALANCER_SECONDS)


def stopping_cluster(**changes) -> Cluster:
    return Cluster(grace_seconds=GRACE_SECONDS, **changes)


def stop(cluster) -> asyncio.Task:
    """Sends the first gateway what SIGTERM sends; returns its shutdown."""
    (gateway,) = cluster.gateways
    gateway.stop()
    return asyncio.create_task(gateway.drain())


def stand_still(seconds: float) -> None:
    """Lets the process run nothing for a time, as if it were frozen."""
    time.sleep(seconds)


def answering_after(endpoint, seconds, body=b"late"):
    """Returns a behaviour that runs a request and answers after a time."""

    async def behave(received, reader, writer):
        endpoint.ran.append(received.request_id)
        await asyncio.sleep(seconds)
        writer.write(endpoint.answer(received, body))
        await writer.drain()

    return behave


async def after_balancer() -> None:
    await asyncio.sleep(BALANCER_SECONDS + 0.1)


def a_request(id_, timeout_ms=LONG_MS, **fields) -> dict:
    return {
        "X_Attempt_Id": id_,
        "X_Deadline_Ms": str(timeout_ms),
        "target": "/look/1",
    } | fields


def config_with_long_routes() -> dict:
    kinds = {
        "look": "idempotent",
        "pay": "non_idempotent",
        "note": "streaming",
    }
    times = {"timeout_ms": LONG_MS, "target_latency_ms": LONG_MS}
    return operator_configuration.a_config(
        routes=[
            operator_configuration.a_route(name, kind, **times)
            for name, kind in kinds.items()
        ]
    )


async def test_no_request_is_taken_and_dropped_behind_a_stream():
    async with stopping_cluster(config=config_with_long_routes()) as cluster:
        (endpoint,) = cluster.runners
        endpoint.event_gap_seconds = SHUTDOWN_SECONDS / 4
        endpoint.default_behaviour = endpoint.events(1, 4)
        caller = await cluster.connect()
        caller.request(**a_request("s-1", target="/note/1"))
        await gateway_cluster.wait_until(lambda: endpoint.ran)
        stopping = stop(cluster)
        assert (await caller.answer()).whole
        caller.request(**a_request("s-2", target="/note/2"))
        late = await caller.answer()
        assert late.status in (0, 503)
        assert endpoint.ran == ["s-1"]
        await asyncio.wait_for(stopping, GRACE_SECONDS)


@pytest.mark.parametrize(("timeout_ms", "status"), [(LONG_MS, 503), (300, 200)])
async def test_a_late_request_is_accepted_only_if_it_can_end(
    timeout_ms, status
):
    async with stopping_cluster(config=config_with_long_routes()) as cluster:
        caller = await cluster.connect()
        # A request that is being read keeps the connection open.
        fields = a_request("r-1", timeout_ms, method="POST")
        caller.request(**fields, Transfer_Encoding="chunked")
        caller.send(b"4\r\nsome\r\n")
        stopping = stop(cluster)
        await after_balancer()
        caller.send(b"0\r\n\r\n")
        answer = await caller.answer()
        assert answer.status == status
        assert answer.headers["connection"] == "close"
        assert len(cluster.runners[0].ran) == (status == 200)
        if status == 503:
            assert "retry-after" in answer.headers
        await asyncio.wait_for(stopping, GRACE_SECONDS)


async def test_a_request_without_a_slot_is_refused_when_the_shutdown_ends():
    async with stopping_cluster(config=config_with_long_routes()) as cluster:
        (endpoint,) = cluster.runners
        endpoint.default_behaviour = endpoint.hang
        waiting = [await cluster.connect() for _ in range(6)]
        for number, caller in enumerate(waiting):
            caller.request(**a_request(f"w-{number}"))
        await gateway_cluster.wait_until(lambda: len(endpoint.ran) == 4)
        stopping = stop(cluster)
        answers = [await each.answer() for each in waiting]
        await asyncio.wait_for(stopping, GRACE_SECONDS)
        assert len(endpoint.ran) == 4
        statuses = sorted(answer.status for answer in answers)
        assert statuses == [502, 502, 502, 502, 503, 503]


async def test_pipelined_requests_are_answered_after_sigterm():
    async with stopping_cluster(config=config_with_long_routes()) as cluster:
        (endpoint,) = cluster.runners

        endpoint.script.append(answering_after(endpoint, 0.2))
        caller = await cluster.connect()
        for number in range(3):
            caller.request(**a_request(f"p-{number}"))
        await gateway_cluster.wait_until(lambda: endpoint.received)
        stopping = stop(cluster)
        answers = [await caller.answer() for _ in range(3)]
        assert [answer.status for answer in answers] == [200, 200, 200]
        assert ["connection" in answer.headers for answer in answers] == [
            False,
            False,
            True,
        ]
        await asyncio.wait_for(stopping, GRACE_SECONDS)


async def test_the_log_names_requests_that_the_shutdown_ends():
    with structlog.testing.capture_logs() as lines:
        async with stopping_cluster(
            config=config_with_long_routes()
        ) as cluster:
            (endpoint,) = cluster.runners
            endpoint.default_behaviour = endpoint.hang
            caller = await cluster.connect()
            caller.request(**a_request("r-1"))
            await gateway_cluster.wait_until(lambda: endpoint.ran)
            await asyncio.wait_for(stop(cluster), GRACE_SECONDS)
    (end,) = [line for line in lines if line["event"] == "request.ended"]
    assert end["reason"] == "stopping"
    assert end["stopping_ms"] >= SHUTDOWN_SECONDS * 1000


async def test_a_deadline_at_the_end_of_the_shutdown_ends_nothing_else():
    # Both are over in the same turn of the loop, as the process stood still.
    async with stopping_cluster(config=config_with_long_routes()) as cluster:
        (endpoint,) = cluster.runners
        endpoint.default_behaviour = endpoint.hang
        callers = [await cluster.connect() for _ in range(2)]
        for caller, timeout_ms in zip(callers, (LONG_MS, 1000), strict=True):
            caller.request(**a_request(f"r-{timeout_ms}", timeout_ms))
        await gateway_cluster.wait_until(lambda: len(endpoint.ran) == 2)
        stopping = stop(cluster)
        await asyncio.sleep(0.6)
        stand_still(SHUTDOWN_SECONDS - 0.3)
        await asyncio.wait_for(stopping, GRACE_SECONDS)
        answers = [await caller.answer() for caller in callers]
        assert [answer.status for answer in answers] == [502, 502]


async def test_a_half_read_request_behind_another_is_answered_after_sigterm():
    async with stopping_cluster(config=config_with_long_routes()) as cluster:
        (endpoint,) = cluster.runners
        endpoint.script.append(answering_after(endpoint, 0.2))
        caller = await cluster.connect()
        caller.request(**a_request("r-1"))
        await gateway_cluster.wait_until(lambda: endpoint.received)
        fields = a_request("r-2", 300, method="POST")
        caller.request(**fields, Transfer_Encoding="chunked")
        caller.send(b"4\r\nsome\r\n")
        await asyncio.sleep(0.05)
        stop(cluster)
        assert (await caller.answer()).status == 200
        caller.send(b"0\r\n\r\n")
        answer = await caller.answer()
        assert answer.status == 200
        assert answer.headers["connection"] == "close"


async def test_a_long_answer_is_whole_when_a_request_crosses_its_close():
    body = bytes(4_000_000)
    async with stopping_cluster(config=config_with_long_routes()) as cluster:
        (endpoint,) = cluster.runners
        endpoint.script.append(answering_after(endpoint, 0.2, body))
        caller = await cluster.connect()
        caller.request(**a_request("r-1"))
        await gateway_cluster.wait_until(lambda: endpoint.ran)
        stop(cluster)
        await asyncio.sleep(0.5)
        caller.request(**a_request("r-2"))
        await asyncio.sleep(0.1)
        answer = await caller.answer()
        assert answer.whole
        assert answer.body == body
        assert endpoint.ran == ["r-1"]


async def test_a_shutdown_ends_before_sigkill_also_if_sigterm_came_in_a_pause():
    async with stopping_cluster(config=config_with_long_routes()) as cluster:
        (gateway,) = cluster.gateways
        await asyncio.sleep(0.2)
        loop = asyncio.get_running_loop()
        sent = loop.time()
        loop.call_soon(gateway.stop)
        stand_still(1.5)
        await asyncio.sleep(0.1)
        shut_down = gateway._state.shutdown
        left = shut_down.seconds_left(loop.time())
        assert loop.time() + left <= sent + SHUTDOWN_SECONDS


async def send_until_refused(cluster, ids, work_seconds) -> dict[str, int]:
    """Sends requests that may run once, until the process takes no more.

    Returns:
        The status of each answer by request id; 0 if there was none.
    """
    statuses = {}
    while True:
        try:
            caller = await cluster.connect()
        except OSError:
            return statuses
        while True:
            id_ = f"once-{next(ids)}"
            caller.request(
                **a_request(id_, 900, target="/pay/1", method="POST")
            )
            answer = await caller.answer()
            statuses[id_] = answer.status
            if answer.headers.get("connection") == "close" or not answer.status:
                break
            await asyncio.sleep(work_seconds / 4)


async def test_a_stop_in_calm_cuts_no_request_that_was_passed_on():
    # Callers send on kept and on new connections until the process has ended.
    async with stopping_cluster(
        config=config_with_long_routes(), runners=4
    ) as cluster:
        ids = itertools.count()
        work_seconds = [0.01, 0.05, 0.2, 0.4]
        for endpoint, seconds in zip(
            cluster.runners, work_seconds, strict=True
        ):
            endpoint.default_behaviour = answering_after(endpoint, seconds)
        sending = [
            asyncio.create_task(send_until_refused(cluster, ids, seconds))
            for seconds in work_seconds * 3
        ]
        await asyncio.sleep(0.3)
        await asyncio.wait_for(stop(cluster), GRACE_SECONDS)
        statuses = {}
        for each in await asyncio.gather(*sending):
            statuses |= each
        ran = {id_ for each in cluster.runners for id_ in each.ran}
        assert len(ran) > 20
        assert {id_ for id_, status in statuses.items() if status == 200} == ran
        assert set(statuses.values()) <= {0, 200, 503}


async def test_a_second_sigterm_changes_no_time_of_the_shutdown():
    async with stopping_cluster(config=config_with_long_routes()) as cluster:
        (gateway,) = cluster.gateways
        (endpoint,) = cluster.runners
        endpoint.script.append(answering_after(endpoint, 0.6))
        caller = await cluster.connect()
        caller.request(**a_request("r-1"))
        await gateway_cluster.wait_until(lambda: endpoint.ran)
        stopping = stop(cluster)
        left = gateway._state.shutdown.seconds_left
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + left(loop.time())
        await asyncio.sleep(0.2)
        gateway.stop()
        assert loop.time() + left(loop.time()) == pytest.approx(ends_at)
        assert (await caller.answer()).status == 200
        await asyncio.wait_for(stopping, GRACE_SECONDS)


async def test_a_stop_while_the_store_is_away_answers_what_was_taken():
    async with stopping_cluster(config=config_with_long_routes()) as cluster:
        (endpoint,) = cluster.runners
        endpoint.default_behaviour = answering_after(endpoint, 0.4)
        caller = await cluster.connect()
        caller.request(**a_request("r-1", target="/pay/1", method="POST"))
        await gateway_cluster.wait_until(lambda: endpoint.ran)
        cluster.store.faults.hang = True
        started = asyncio.get_running_loop().time()
        await asyncio.wait_for(stop(cluster), GRACE_SECONDS)
        assert asyncio.get_running_loop().time() - started < SHUTDOWN_SECONDS
        assert (await caller.answer()).status == 200


@pytest.mark.parametrize("grace_seconds", [0.5, 2.0, 4.0, 8.0, 60.0])
def test_a_shutdown_lasts_until_the_last_sixth_of_the_grace_time(grace_seconds):
    # Only there may a request be cut that an endpoint still works on.
    schedule = shutdown.Shutdown().begin(100.0, grace_seconds)
    assert schedule.ends_at >= 100.0 + grace_seconds * 5 / 6 - 1e-9
    dropped_at = schedule.ends_at + schedule.flush_seconds
    assert schedule.ends_at < dropped_at < 100.0 + grace_seconds
