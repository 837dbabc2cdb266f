"""Long-lived tasks that fail are started again, and none just stops."""

import asyncio

import pytest
import structlog

from cranberryglade import supervision
from cranberryglade.gateway import store_watch
from cranberryglade.standins import endpoint_standin
from cranberryglade.tests import gateway_cluster

Cluster = gateway_cluster.Cluster
MOST = 1 + supervision.PAUSE_SPREAD


class Runs:
    """A task that fails at the given times after each of its starts."""

    def __init__(self, *failures_after: float):
        self.starts = []
        self._failures_after = list(failures_after)

    async def run(self) -> None:
        self.starts.append(asyncio.get_running_loop().time())
        if not self._failures_after:
            return
        await asyncio.sleep(self._failures_after.pop(0))
        raise ValueError("a" * 10)


@pytest.mark.looptime
async def test_a_task_that_fails_is_started_again():
    runs = Runs(0.0, 0.0)
    supervisor = supervision.Supervisor()
    supervisor.start("reader", runs.run)
    with structlog.testing.capture_logs() as lines:
        await asyncio.sleep(2.0)
    assert len(runs.starts) == 3
    assert [line["event"] for line in lines] == ["task.failed"] * 2
    assert {line["task"] for line in lines} == {"reader"}
    assert supervisor.failures == 2


@pytest.mark.looptime
async def test_a_task_that_always_fails_is_started_at_a_bounded_rate():
    runs = Runs(*[0.0] * 10_000)
    supervisor = supervision.Supervisor()
    supervisor.start("reader", runs.run)
    with structlog.testing.capture_logs() as lines:
        await asyncio.sleep(600.0)
    shortest = supervision.MAX_PAUSE_SECONDS * (1 - supervision.PAUSE_SPREAD)
    longest = supervision.MAX_PAUSE_SECONDS * MOST
    assert 600 / longest < len(runs.starts) < 10 + 600 / shortest
    assert len(lines) == supervisor.failures == len(runs.starts)
    supervisor.cancel()
    await supervisor.wait_until_ended()
    assert len(asyncio.all_tasks()) == 1


@pytest.mark.looptime
async def test_a_task_that_ran_for_long_is_started_again_soon():
    runs = Runs(*[0.0] * 8, supervision.SOUND_SECONDS)
    supervisor = supervision.Supervisor()
    supervisor.start("reader", runs.run)
    await asyncio.sleep(100.0)
    last = runs.starts[-1] - runs.starts[-2] - supervision.SOUND_SECONDS
    assert last <= supervision.FIRST_PAUSE_SECONDS * MOST


@pytest.mark.looptime
async def test_a_task_that_has_nothing_left_to_do_ends():
    runs = Runs()
    supervisor = supervision.Supervisor()
    supervisor.start("reader", runs.run)
    await asyncio.sleep(60.0)
    assert len(runs.starts) == 1
    assert supervisor.failures == 0


async def test_a_watch_that_failed_by_an_error_is_followed_again(monkeypatch):
    async with Cluster(gateways=2) as cluster:
        (failing, other) = cluster.gateways

        def fail(self, row):
            if self is failing._store_watcher and failing._supervisor.failures:
                monkeypatch.undo()
            elif self is failing._store_watcher:
                raise KeyError("not foreseen")
            return original(self, row)

        original = store_watch.StoreWatcher.apply_endpoint
        monkeypatch.setattr(store_watch.StoreWatcher, "apply_endpoint", fail)
        await cluster.add_runner(endpoint_standin.EndpointStandin("i-added"))
        await gateway_cluster.wait_until(lambda: failing._supervisor.failures)
        await cluster.wait_for_endpoints(lambda listed: "i-added" in listed)
        assert not other._supervisor.failures
        page = (await cluster.ask_status("GET", "/metrics")).decode()
        assert "task_failed" in page


async def test_a_closed_socket_is_opened_again():
    async with Cluster(gateways=2) as cluster:
        mesh = cluster.gateways[0]._mesh
        mesh._transport.abort()
        now = asyncio.get_running_loop().time()
        await gateway_cluster.wait_until(
            lambda: not mesh._transport.is_closing()
        )
        await gateway_cluster.wait_until(
            lambda: all(
                member.answered_at > now + 0.1 for member in mesh.members.all
            )
        )
