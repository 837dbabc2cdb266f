"""Reports of endpoints: departures, timeouts and cache events with gaps."""

import asyncio
import socket

import pytest

from cranberryglade import reports
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import pools
from cranberryglade.scheduling import scheduler
from cranberryglade.tests import builders

ENDPOINT = builders.endpoint(address="127.0.0.1:1")


class FakeMembership:
    """Records announced departures; `listed` is the platform's list."""

    def __init__(self):
        self.listed = {"engine-1"}
        self.announced = []

    def is_listed(self, name):
        return name in self.listed

    def announce_departure(self, departure):
        self.announced.append(departure)


class ScriptedReports(reports.ReportReader):
    """Yields lines from a script; None is a line that cannot be read."""

    script = ()

    async def _lines(self, endpoint):
        for line in self.script:
            await asyncio.sleep(0)
            yield line


@pytest.fixture
async def followed():
    core = scheduler.Scheduler(builders.peer())
    core.handle(messages.EndpointJoined(ENDPOINT), 0.0)
    members = FakeMembership()
    endpoint_reports = ScriptedReports(core, members)
    events = []
    endpoint_reports.events.subscribe(events.append)
    yield endpoint_reports, members, events
    await endpoint_reports.close()


async def follow(endpoint_reports, script, seconds=0.5):
    endpoint_reports.script = script
    task = asyncio.create_task(endpoint_reports._follow(ENDPOINT))
    await asyncio.sleep(seconds)
    task.cancel()


def line(sequence, **fields):
    return reports.EventLine(sequence=sequence, **fields)


def cache_event(held, prefix="p"):
    return messages.CacheReported("engine-1", prefix, held)


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("script", "expected"),
    [
        ([line(1, held=["p"]), line(2, dropped=["p"])], [True, False]),
        ([line(1, held=["p"]), line(3)], [True, False]),
        ([line(1, held=["p"]), line(2)], [True]),
        ([line(1, held=["p"]), line(4, held=["p"])], [True, False, True]),
    ],
)
async def test_gap_in_cache_events_clears_the_prefixes(
    followed, script, expected
):
    endpoint_reports, _, events = followed
    await follow(endpoint_reports, script)
    cache_events = [e for e in events if isinstance(e, messages.CacheReported)]
    assert cache_events == [cache_event(held) for held in expected]


@pytest.mark.looptime
async def test_new_stream_clears_the_prefixes_of_the_previous_one(followed):
    endpoint_reports, _, events = followed
    await follow(
        endpoint_reports, [line(1, held=["p"])], reports.RETRY_SECONDS * 1.5
    )
    cache_events = [e for e in events if isinstance(e, messages.CacheReported)]
    assert cache_events == [
        cache_event(True),
        cache_event(False),
        cache_event(True),
    ]


@pytest.mark.looptime
async def test_reported_departure_is_announced(followed):
    endpoint_reports, members, _ = followed
    await follow(endpoint_reports, [line(1, state="leaving")])
    assert members.announced == [
        messages.EndpointLeaving("engine-1", "i1", "own report")
    ]


@pytest.mark.looptime
async def test_another_process_at_the_address_is_not_the_endpoint(followed):
    endpoint_reports, members, events = followed
    script = [line(1, incarnation="i2", state="leaving", running=3)]
    await follow(endpoint_reports, script)
    assert events == [messages.EndpointReachability("engine-1", "i1", False)]
    assert members.announced == []


@pytest.mark.looptime
@pytest.mark.parametrize("listed", [True, False])
async def test_unreachable_endpoint_is_removed_only_if_it_is_not_listed(
    followed, listed
):
    endpoint_reports, members, events = followed
    if not listed:
        members.listed.clear()
    await follow(endpoint_reports, [], reports.REPORT_TIMEOUT_SECONDS - 0.5)
    assert events == []
    await follow(endpoint_reports, [], reports.REPORT_TIMEOUT_SECONDS + 2.0)
    assert events[0] == messages.EndpointReachability("engine-1", "i1", False)
    assert (messages.EndpointGone("engine-1") in events) == (not listed)


@pytest.mark.looptime
async def test_an_endpoint_that_is_not_listed_stays_while_it_answers(followed):
    endpoint_reports, members, events = followed
    members.listed.clear()
    await follow(endpoint_reports, [None], reports.REPORT_TIMEOUT_SECONDS * 3)
    assert events == []


@pytest.mark.parametrize(
    ("owned", "listed", "is_followed"),
    [
        (True, True, True),
        (False, True, False),
        (False, False, True),
    ],
)
async def test_only_owned_and_unlisted_endpoints_are_followed(
    followed, owned, listed, is_followed
):
    endpoint_reports, members, _ = followed
    if not listed:
        members.listed.clear()
    if not owned:
        for number in range(9):
            peer = builders.peer(f"other-{number}")
            endpoint_reports._core.handle(messages.PeerReported(peer, ()), 0.0)
        assert not endpoint_reports._core.owns("engine-1")
    member = pools.EndpointState(ENDPOINT)
    assert endpoint_reports._should_follow(member) == is_followed


async def test_an_endpoint_that_refuses_connections_gets_no_work_at_once():
    with socket.create_server(("127.0.0.1", 0)) as closed:
        address = f"127.0.0.1:{closed.getsockname()[1]}"
    endpoint_reports = reports.ReportReader(
        scheduler.Scheduler(builders.peer()), None
    )
    events = []
    endpoint_reports.events.subscribe(events.append)
    task = asyncio.create_task(
        endpoint_reports._follow(builders.endpoint(address=address))
    )
    async with asyncio.timeout(reports.REPORT_TIMEOUT_SECONDS / 2):
        while not events:
            await asyncio.sleep(0.01)
    task.cancel()
    await endpoint_reports.close()
    assert events == [messages.EndpointReachability("engine-1", "i1", False)]
