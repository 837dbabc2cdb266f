"""Documents that a daemon cannot read cost nothing but themselves."""

import asyncio
import json
import zlib

import hypothesis
from hypothesis import strategies
import msgspec
import pytest
from returns.result import Failure
from returns.result import Success

from cranberryglade import explanations
from cranberryglade import gossip_encoding
from cranberryglade import operators
from cranberryglade import orders
from cranberryglade import reports
from cranberryglade import revisions
from cranberryglade import snapshots
from cranberryglade import tables
from cranberryglade import tickets
from cranberryglade import wire
from cranberryglade.gateway import ports
from cranberryglade.scheduling import answers
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import scheduler
from cranberryglade.tests import builders
from cranberryglade.tests import odd_values
from cranberryglade.tests import test_reports

KINDS = [
    *(wire.RequestDocument, wire.DelegatedRequest, wire.VerdictDocument),
    *(wire.LookupDocument, wire.InstanceDocument, wire.TicketsRequest),
    *(reports.EventLine, reports.LoadDocument, orders.LeaseRow),
    *(operators.DrainRequest, operators.OrderRequest, snapshots.Snapshot),
    *(revisions.Update, revisions.Head, revisions.Revision),
    *(explanations.ExplanationRequest, tables.NumberedRow),
]
INSTANCE = {
    "name": "engine-1",
    "role": "engine",
    "incarnation": "i1",
    "address": "127.0.0.1:9",
    "failure_domain": "north",
}
ODD_INSTANCES = [
    odd_values.NESTED,
    b"\xff",
    *(
        json.dumps(INSTANCE | changes).encode()
        for changes in (
            {"slots": odd_values.LARGE},
            {"address": "127.0.0.1:70000"},
            {"address": 5},
            {"state": None},
        )
    ),
]


class ListedRows:
    """A store whose list of instances has the given rows."""

    def __init__(self, values):
        self._rows = [
            ports.Row(f"row-{number}", ports.Version(0, 1), value)
            for number, value in enumerate(values)
        ]

    async def read_table(self, table):
        return Success(ports.Rows(ports.Version(0, 1), self._rows))


async def test_an_instance_that_cannot_be_read_hides_no_other():
    sound = json.dumps(INSTANCE).encode()
    store = ListedRows([*ODD_INSTANCES, sound])
    match await tables.Tables(store).instances(""):
        case Success(listing):
            assert [each.name for each in listing.instances] == ["engine-1"]
        case Failure(error):
            pytest.fail(str(error))


@odd_values.SETTINGS
@hypothesis.given(
    data=odd_values.documents_of(KINDS), kind=strategies.sampled_from(KINDS)
)
@hypothesis.example(data=odd_values.NESTED, kind=wire.RequestDocument)
def test_any_document_is_decoded_or_refused(data, kind):
    assert isinstance(wire.decode(data, kind), (Success, Failure))
    assert snapshots._decode(odd_values.NESTED, "home") is None
    if kind is snapshots.Snapshot:
        assert snapshots._decode(data, "home") is None or b"home" in data


@odd_values.SETTINGS
@hypothesis.given(values=strategies.lists(odd_values.VALUES, max_size=6))
def test_any_gossip_is_decoded_and_passed_on_or_refused(values):
    whole = ["a", "i", "a:1", "north", 1, 1, 0, [["t", 1, 1, 1, 0.5]], True]
    for data in (
        json.dumps(values).encode(),
        json.dumps([whole, [whole[: len(values)] + values]]).encode(),
        json.dumps([whole, [], [], [], [["e", "i", *values, []]]]).encode(),
        json.dumps([whole, [], [], [], [], [[["p"], *values]]]).encode(),
        odd_values.NESTED,
    ):
        match gossip_encoding.decode(zlib.compress(data)):
            case Success(message):
                assert gossip_encoding.encode(message)
            case Failure(problem):
                assert isinstance(problem, str)


@pytest.mark.parametrize("digits", ["9" * 5000, "\u0663", "\u00b2", "-1"])
def test_an_id_with_an_odd_number_is_no_id(digits):
    issuer = tickets.TicketIssuer("north", "entry-1", "i1", b"key")
    assert issuer.parse(f"north.entry-1.i1.{digits}.check") is None
    split = messages.split_request_id(f"north.entry-1.i1.{digits}.check")
    assert split == ("", 0)


def test_an_end_marker_that_is_nested_too_deep_breaks_the_answer():
    checker = answers.AnswerCheck("r-1")
    event = b"event: end\ndata: " + odd_values.NESTED + b"\n\n"
    with pytest.raises(answers.BrokenAnswerError):
        checker.feed(event)


@pytest.mark.looptime
async def test_an_endpoint_is_followed_after_a_report_nobody_foresaw():
    core = scheduler.Scheduler(builders.peer())
    core.handle(messages.EndpointJoined(test_reports.ENDPOINT), 0.0)
    members = test_reports.FakeMembership()
    reader = test_reports.ScriptedReports(core, members)
    reader.script = [test_reports.line(1, age_ms=10**400)]
    reader._should_follow = lambda member: True
    running = asyncio.create_task(reader.run())
    await asyncio.sleep(3.0)
    events = []
    reader.events.subscribe(events.append)
    reader.script = [test_reports.line(2, running=3)]
    await asyncio.sleep(5.0)
    running.cancel()
    await reader.close()
    assert any(isinstance(each, messages.LoadReported) for each in events)


@pytest.mark.parametrize("age", [10**30, 10**400])
def test_a_number_beyond_64_bits_makes_a_report_unreadable(age):
    data = msgspec.json.encode({"sequence": 1, "age_ms": age})
    assert isinstance(wire.decode(data, reports.EventLine), Failure)
