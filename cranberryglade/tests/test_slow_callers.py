"""Callers that take their answers slowly while their instance stops."""

import asyncio

import pytest
import structlog

from cranberryglade.gateway import inbound
from cranberryglade.standins import connections
from cranberryglade.tests import gateway_cluster
from cranberryglade.tests import test_gateway_shutdown as shutdowns
from cranberryglade.tests import test_request_ends as ends

short_balancer_time = shutdowns.short_balancer_time

READ_AFTER_SECONDS = 1.0
"""Time after SIGTERM at which a late caller begins to read."""

SIZE = 1_000_000
"""Bytes of an answer that the caller's side cannot hold."""


async def begin_request(cluster, id_, size=SIZE):
    """Sends a request that has its answer soon; returns its caller."""
    (endpoint,) = cluster.runners
    endpoint.script.append(
        shutdowns.answering_after(endpoint, 0.1, bytes(size))
    )
    caller = await ends.connect_with_small_buffer(cluster)
    caller.request(**shutdowns.a_request(id_))
    await gateway_cluster.wait_until(lambda: endpoint.ran)
    return caller


async def test_answer_read_late_is_whole_though_a_request_crosses_the_close():
    config = shutdowns.config_with_long_routes()
    async with shutdowns.stopping_cluster(config=config) as cluster:
        caller = await begin_request(cluster, "r-1")
        stopping = shutdowns.stop(cluster)
        await asyncio.sleep(0.2)
        caller.request(**shutdowns.a_request("r-2"))
        await asyncio.sleep(READ_AFTER_SECONDS - 0.2)
        assert (await caller.answer()).whole
        caller.close()
        assert cluster.runners[0].ran == ["r-1"]
        await asyncio.wait_for(stopping, shutdowns.GRACE_SECONDS)


async def test_answer_of_an_idle_connection_is_whole_though_a_request_follows():
    config = shutdowns.config_with_long_routes()
    async with shutdowns.stopping_cluster(config=config) as cluster:
        caller = await begin_request(cluster, "r-1")
        await asyncio.sleep(0.3)
        stopping = shutdowns.stop(cluster)
        await shutdowns.after_balancer()
        caller.request(**shutdowns.a_request("r-2"))
        await asyncio.sleep(0.2)
        assert (await caller.answer()).whole
        caller.close()
        assert cluster.runners[0].ran == ["r-1"]
        await asyncio.wait_for(stopping, shutdowns.GRACE_SECONDS)


async def test_caller_that_reads_nothing_keeps_no_process_for_longer():
    config = shutdowns.config_with_long_routes()
    async with shutdowns.stopping_cluster(config=config) as cluster:
        caller = await begin_request(cluster, "r-1", 10 * SIZE)
        caller.request(**shutdowns.a_request("r-2"))
        with structlog.testing.capture_logs() as lines:
            await asyncio.wait_for(
                shutdowns.stop(cluster), shutdowns.GRACE_SECONDS
            )
        (stopped,) = [each for each in lines if each["event"] == "stopped"]
        assert (stopped["busy"], stopped["untaken"]) == (0, 1)


async def test_callers_that_took_their_answers_keep_no_process_for_longer():
    # They neither close their side nor send anything.
    config = shutdowns.config_with_long_routes()
    async with shutdowns.stopping_cluster(config=config) as cluster:
        caller = await begin_request(cluster, "r-1", 10)
        stopping = shutdowns.stop(cluster)
        assert (await caller.answer()).whole
        await asyncio.wait_for(stopping, shutdowns.SHUTDOWN_SECONDS - 0.2)


@pytest.mark.parametrize("resets", [False, True])
async def test_callers_that_close_behind_a_request_keep_no_process_for_longer(
    resets,
):
    config = shutdowns.config_with_long_routes()
    async with shutdowns.stopping_cluster(config=config) as cluster:
        caller = await begin_request(cluster, "r-1")
        stopping = shutdowns.stop(cluster)
        await asyncio.sleep(0.2)
        caller.request(**shutdowns.a_request("r-2"))
        await asyncio.sleep(0.1)
        if resets:
            connections.reset(caller.writer)
        else:
            assert (await caller.answer()).whole
            caller.close()
        await asyncio.wait_for(stopping, shutdowns.SHUTDOWN_SECONDS - 0.6)


async def test_caller_that_reads_less_than_the_system_takes_is_not_cut(
    monkeypatch,
):
    monkeypatch.setattr(inbound, "MIN_UNREAD_SECONDS", 0.8)
    config = ends.patient_config(idle_timeout_ms=800)
    async with ends.Cluster(config=config) as cluster:
        caller = await begin_request(cluster, "r-1", ends.ANSWER_BYTES)
        await caller.reader.readuntil(b"\r\n\r\n")
        got = 0
        for _ in range(20):
            got += len(await caller.reader.read(32_768))
            await asyncio.sleep(0.1)
        while data := await caller.reader.read(ends.ANSWER_BYTES - got):
            got += len(data)
        assert got == ends.ANSWER_BYTES
