"""What endpoints report: signs of leaving, silence, cache events with gaps."""

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
    """Collects announcements; `listed` is what the list shows."""

    def __init__(self):
        self.listed = {"engine-1"}
        self.announced = []

    def is_listed(self, name):
        return name in self.listed

    def announce(self, sign):
        self.announced.append(sign)


class ScriptedReports(reports.Reports):
    """Reads lines from a script; None is a line without content."""

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
    found = ScriptedReports(core, members)
    events = []
    found.stream.subscribe(events.append)
    yield found, members, events
    await found.close()


async def follow(found, script, seconds=0.5):
    found.script = script
    task = asyncio.create_task(found._follow(ENDPOINT))
    await asyncio.sleep(seconds)
    task.cancel()


def line(sequence, **fields):
    return reports.EventLine(sequence=sequence, **fields)


def cached(held, prefix="p"):
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
async def test_a_gap_in_cache_events_only_forgets(followed, script, expected):
    found, _, events = followed
    await follow(found, script)
    told = [e for e in events if isinstance(e, messages.CacheReported)]
    assert told == [cached(held) for held in expected]


@pytest.mark.looptime
async def test_a_new_stream_forgets_what_the_former_one_said(followed):
    found, _, events = followed
    await follow(found, [line(1, held=["p"])], reports.RETRY_SECONDS * 1.5)
    told = [e for e in events if isinstance(e, messages.CacheReported)]
    assert told == [cached(True), cached(False), cached(True)]


@pytest.mark.looptime
async def test_a_sign_of_leaving_is_announced(followed):
    found, members, _ = followed
    await follow(found, [line(1, state="leaving")])
    assert members.announced == [
        messages.EndpointLeaving("engine-1", "i1", "own report")
    ]


@pytest.mark.looptime
async def test_another_process_at_the_address_is_not_the_endpoint(followed):
    found, members, events = followed
    script = [line(1, incarnation="i2", state="leaving", running=3)]
    await follow(found, script)
    assert events == [messages.EndpointHeard("engine-1", "i1", False)]
    assert members.announced == []


@pytest.mark.looptime
@pytest.mark.parametrize("listed", [True, False])
async def test_a_silent_endpoint_is_gone_only_if_it_is_not_listed(
    followed, listed
):
    found, members, events = followed
    if not listed:
        members.listed.clear()
    await follow(found, [], reports.SILENT_SECONDS - 0.5)
    assert events == []
    await follow(found, [], reports.SILENT_SECONDS + 2.0)
    assert events[0] == messages.EndpointHeard("engine-1", "i1", False)
    assert (messages.EndpointGone("engine-1") in events) == (not listed)


@pytest.mark.looptime
async def test_an_endpoint_that_is_not_listed_stays_while_it_answers(followed):
    found, members, events = followed
    members.listed.clear()
    await follow(found, [None], reports.SILENT_SECONDS * 3)
    assert events == []


@pytest.mark.parametrize(
    ("owned", "listed", "wanted"),
    [
        (True, True, True),
        (False, True, False),
        (False, False, True),
    ],
)
async def test_only_own_and_vanished_endpoints_are_followed(
    followed, owned, listed, wanted
):
    found, members, _ = followed
    if not listed:
        members.listed.clear()
    if not owned:
        for number in range(9):
            peer = builders.peer(f"other-{number}")
            found._core.handle(messages.PeerReported(peer, ()), 0.0)
        assert not found._core.owns("engine-1")
    member = pools.Member(ENDPOINT)
    assert found._is_wanted(member) == wanted


async def test_an_endpoint_that_refuses_connections_gets_no_work_at_once():
    with socket.create_server(("127.0.0.1", 0)) as closed:
        address = f"127.0.0.1:{closed.getsockname()[1]}"
    found = reports.Reports(scheduler.Scheduler(builders.peer()), None)
    events = []
    found.stream.subscribe(events.append)
    task = asyncio.create_task(
        found._follow(builders.endpoint(address=address))
    )
    async with asyncio.timeout(reports.SILENT_SECONDS / 2):
        while not events:
            await asyncio.sleep(0.01)
    task.cancel()
    await found.close()
    assert events == [messages.EndpointHeard("engine-1", "i1", False)]
