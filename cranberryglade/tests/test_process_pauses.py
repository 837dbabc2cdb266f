"""A process that stood still admits nothing before it has asked again."""

import asyncio
import dataclasses

import pytest
import structlog

from cranberryglade.gateway import admission
from cranberryglade.gateway import configuration_age
from cranberryglade.gateway import datagrams
from cranberryglade.gateway import process_pauses
from cranberryglade.platform import store
from cranberryglade.standins import operator_configuration
from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import gateway_cluster
from cranberryglade.tests import stepped_clock

Cluster = gateway_cluster.Cluster
Belief = process_pauses.Belief
PAUSE_SECONDS = 2.0


def make_paused(at=10.0) -> process_pauses.ProcessPauses:
    """Returns what notices a pause that ends at a time."""
    pauses = process_pauses.ProcessPauses()
    pauses.observe(at - PAUSE_SECONDS)
    pauses.observe(at)
    return pauses


def decide(pauses, now, **route):
    config_age = configuration_age.ConfigurationAge(5.0)
    config_age.confirm(now - 1.0)
    config = builders.make_configuration(routes=[builders.make_route(**route)])
    facts = builders.make_facts(key="" if route else "key-1")
    return admission.Admission(config_age, pauses, None).decide(
        facts, config, now
    )


def test_a_process_that_runs_is_not_paused():
    pauses = process_pauses.ProcessPauses()
    for tick in range(100):
        pauses.observe(tick * process_pauses.MAX_TURN_SECONDS)
        assert pauses.admits(tick * process_pauses.MAX_TURN_SECONDS)
        assert pauses.admits_keys()


@pytest.mark.parametrize("route", [{}, {"allow_anonymous": True}])
def test_the_first_request_after_a_pause_is_refused(route):
    pauses = process_pauses.ProcessPauses()
    pauses.observe(10.0)
    # No tick comes between: the request waited in its socket.
    refused = decide(pauses, 10.0 + PAUSE_SECONDS, **route)
    assert refused == admission.Rejected(
        503, "process_paused", admission.RETRY_AFTER_SECONDS
    )


def test_only_answers_to_questions_after_the_pause_count():
    pauses = make_paused()
    for belief in Belief:
        pauses.confirm(belief, 9.99)
    assert not pauses.admits(10.01)
    pauses.confirm(Belief.CONFIGURATION, 10.0)
    assert not pauses.admits(10.01)
    pauses.confirm(Belief.ENDPOINTS, 10.0)
    assert pauses.admits(10.01)
    assert isinstance(decide(pauses, 10.01), admission.Admitted)


def test_without_an_answer_only_keys_are_refused_for_longer():
    pauses = make_paused()
    later = 10.0
    while later < 10.2 + process_pauses.MAX_ASKING_SECONDS:
        pauses.observe(later)
        later += 0.5
    anonymous = decide(pauses, later, allow_anonymous=True)
    assert isinstance(anonymous, admission.Admitted)
    refused = decide(pauses, later)
    assert (refused.status, refused.reason) == (503, "configuration_too_old")


def test_a_second_pause_is_noticed():
    pauses = make_paused()
    for belief in Belief:
        pauses.confirm(belief, 10.0)
    assert not pauses.admits(10.0 + PAUSE_SECONDS)


async def test_a_request_that_waited_during_a_pause_is_not_run(monkeypatch):
    async with Cluster() as cluster:
        caller = await cluster.connect()
        caller.request()
        answer = await asyncio.wait_for(caller.answer(), 1.0)
        assert answer.status == 200
        cluster.store.faults.delay_seconds = 0.2
        stepped_clock.SteppedClock(monkeypatch).step(PAUSE_SECONDS)
        caller.request()
        answer = await asyncio.wait_for(caller.answer(), 1.0)
        assert answer.status == 503
        assert "retry-after" in answer.headers
        assert len(cluster.runners[0].received) == 1
        await asyncio.sleep(0.5)
        caller.request()
        answer = await asyncio.wait_for(caller.answer(), 1.0)
        assert answer.status == 200


async def test_after_a_pause_the_store_is_asked_once_for_each_table(
    monkeypatch,
):
    async with Cluster() as cluster:
        # Reads at the start are over.
        await asyncio.sleep(1.2)
        before = cluster.store.counts.copy()
        with structlog.testing.capture_logs() as lines:
            stepped_clock.SteppedClock(monkeypatch).step(PAUSE_SECONDS)
            await asyncio.sleep(0.3)
        asked = [
            line["belief"]
            for line in lines
            if line["event"] == "process.asked_again"
        ]
        assert sorted(asked) == ["configuration", "endpoints"]
        assert [line["event"] for line in lines].count("process.paused") == 1
        # A read and the next long poll of each, and perhaps the probe's read.
        assert (cluster.store.counts - before).total() <= 2 * 2 + 1


async def test_an_endpoint_that_left_during_a_pause_gets_nothing(monkeypatch):
    async with Cluster(runners=2) as cluster:
        leaving, other = cluster.runners
        (gateway,) = cluster.gateways
        cluster.store.faults.mute_feeds = True
        cluster.register_runner(leaving, state="draining", sequence=2)
        stepped_clock.SteppedClock(monkeypatch).step(PAUSE_SECONDS)
        for _ in range(10):
            await cluster.send_request()
            await asyncio.sleep(0.03)
        assert not leaving.received
        assert other.received
        assert gateway._state.endpoints[leaving.id].leaving


async def test_a_peer_in_touch_confirms_what_the_store_cannot(monkeypatch):
    async with Cluster(gateways=2) as cluster:
        woken = cluster.gateways[1]
        woken._store_watcher._store = store.StoreClient("127.0.0.1:1")
        woken._store_watcher.ask_again()
        await asyncio.sleep(0.2)
        now = asyncio.get_running_loop().time()
        pauses = woken._state.process_pauses
        pauses._last_turn = now - PAUSE_SECONDS
        pauses.observe(now)
        assert (await cluster.send_request(1)).status == 503
        await gateway_cluster.wait_until(lambda: not pauses._unconfirmed, 0.8)
        assert (await cluster.send_request(1)).status == 200


async def test_an_answer_of_a_peer_to_a_question_before_the_pause_is_ignored():
    async with Cluster(gateways=2) as cluster:
        woken, other = (gateway._mesh for gateway in cluster.gateways)
        member = woken.members.get("gate-1")
        woken.ping(member)
        old = datagrams.Pong(
            "gate-1", other.incarnation, woken._sequence, other._status(), None
        )
        woken.ask_again()
        before = member.answered_at
        woken._receive_pong(old)
        assert member.answered_at == before


@dataclasses.dataclass(slots=True, frozen=True)
class Received:
    """Datagrams that a gateway passed on, by their types."""

    kinds: list[type]


async def test_dated_datagrams_that_waited_during_a_pause_are_discarded(
    monkeypatch,
):
    async with Cluster() as cluster:
        (gateway,) = cluster.gateways
        received = Received([])
        gateway._mesh._on_message = lambda _, message: received.kinds.append(
            type(message)
        )
        grant = datagrams.encode(datagrams.Grant("r-1", "i-0"))
        release = datagrams.encode(datagrams.Release("r-1", "served"))
        address = ("127.0.0.1", 1)
        gateway._mesh.datagram_received(grant, address)
        stepped_clock.SteppedClock(monkeypatch).step(PAUSE_SECONDS)
        gateway._mesh.datagram_received(grant, address)
        gateway._mesh.datagram_received(release, address)
        await asyncio.sleep(0.05)
        gateway._mesh.datagram_received(grant, address)
        assert received.kinds == [
            datagrams.Grant,
            datagrams.Release,
            datagrams.Grant,
        ]


async def test_a_key_taken_away_during_a_pause_is_refused(monkeypatch):
    async with Cluster() as cluster:
        tenants = operator_configuration.a_config()["tenants"]
        tenants[0]["api_keys"] = ["key-2"]
        cluster.store.faults.mute_feeds = True
        taken = operator_configuration.a_config(2, tenants=tenants)
        cluster.configure(taken)
        stepped_clock.SteppedClock(monkeypatch).step(PAUSE_SECONDS)
        statuses = []
        for _ in range(6):
            statuses.append((await cluster.send_request()).status)
            await asyncio.sleep(0.05)
        assert set(statuses) == {503, 401}
        assert not cluster.runners[0].received
