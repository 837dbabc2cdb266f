"""Endpoint states and ownership under stale and contradictory reports."""

import dataclasses

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from cranberryglade.scheduling import messages
from cranberryglade.scheduling import ownership
from cranberryglade.scheduling import scheduler
from cranberryglade.tests import builders
from cranberryglade.tests import properties

NAMES = ("engine-1", "engine-2")
PROCESSES = [(name, f"i{n}") for name in NAMES for n in range(3)]


def listed(name="engine-1", incarnation="i1"):
    endpoint = builders.endpoint(name, incarnation=incarnation, slots=99)
    return messages.EndpointJoined(endpoint)


def leaving(incarnation="i1", sign="peer", name="engine-1"):
    return messages.EndpointLeaving(name, incarnation, sign)


def reachable(answers, incarnation="i1"):
    return messages.EndpointReachability("engine-1", incarnation, answers)


GONE = messages.EndpointGone("engine-1")


@pytest.mark.parametrize(
    ("events", "serving"),
    [
        ([listed()], "i1"),
        ([listed(), leaving(), listed()], None),
        ([leaving(), listed()], None),
        ([listed(), leaving(""), listed()], None),
        ([listed(), leaving(), reachable(True)], None),
        ([listed(), leaving(), reachable(False), reachable(True)], None),
        ([listed(), leaving(), GONE, listed()], None),
        ([listed(), leaving(), listed("engine-1", "i2")], "i2"),
        ([listed(), listed("engine-1", "i2"), leaving("i1")], "i2"),
        ([listed(), listed("engine-1", "i2"), listed()], "i2"),
        ([listed(), reachable(False)], None),
        ([listed(), reachable(False), listed()], None),
        ([listed(), reachable(False), reachable(True)], "i1"),
        ([listed(), reachable(False, "i0")], "i1"),
    ],
)
def test_serving_process_after_a_sequence_of_events(events, serving):
    core = scheduler.Scheduler(builders.peer())
    for event in events:
        core.handle(event, 0.0)
    members = core.all_pools()[0].serving if core.all_pools() else []
    found = [member.endpoint.incarnation for member in members]
    assert found == ([serving] if serving else [])


def test_work_in_flight_at_a_leaving_endpoint_is_left_alone():
    core = scheduler.Scheduler(builders.peer())
    core.handle(listed(), 0.0)
    core.handle(messages.Submitted(builders.request()), 0.0)
    after = core.handle(leaving(), 0.1)
    assert all(isinstance(action, messages.Fact) for action in after)
    assert core.unfinished == 1
    answered = core.handle(messages.Answered("r1", 1, 20), 1.0)
    assert any(isinstance(action, messages.Finish) for action in answered)


processes = st.sampled_from(PROCESSES)
steps = st.lists(
    st.tuples(
        st.sampled_from(["listed", "leaving", "reachable", "gone", "request"]),
        processes,
        st.booleans(),
    ),
    max_size=40,
)


def run(history, clear_departures=False):
    core = scheduler.Scheduler(builders.peer())
    check = properties.LeavingCheck()
    now = 0.0
    for number, (kind, (name, incarnation), flag) in enumerate(history):
        now += 2 * properties.LEAVING_SECONDS
        match kind:
            case "listed":
                event = listed(name, incarnation)
            case "leaving":
                event = leaving(incarnation, "test", name)
                check.sign(name, incarnation, now)
            case "reachable":
                event = messages.EndpointReachability(name, incarnation, flag)
            case "gone":
                event = messages.EndpointGone(name)
            case "request":
                far = now + 30.0
                event = messages.Submitted(
                    builders.request(
                        f"r{number}", deadline=far, first_token_deadline=far
                    )
                )
        if clear_departures:
            core._fleet._departures._records.clear()
        for action in core.handle(event, now):
            if isinstance(action, messages.Dispatch):
                endpoint = action.endpoint
                check.dispatched(endpoint.name, endpoint.incarnation, now)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(steps)
def test_no_event_order_dispatches_to_a_leaving_process(history):
    run(history)


def test_check_detects_lost_departure_records():
    process = ("engine-1", "i1")
    history = [(kind, process, False) for kind in ("listed", "leaving", "gone")]
    history += [("listed", process, False), ("request", process, False)]
    run(history)
    with pytest.raises(properties.Violation):
        run(history, clear_departures=True)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(st.tuples(st.booleans(), st.integers(0, 9)), max_size=30),
)
def test_incremental_owners_equal_recomputed_owners(changes):
    names = {"entry-0"}
    owners = ownership.Owners("entry-0")
    endpoints = [f"engine-{n}" for n in range(20)]
    for endpoint in endpoints:
        owners.add_endpoint(endpoint)
    for joins, number in changes:
        name = f"entry-{number + 1}"
        before = {e: owners.owner(e) for e in endpoints}
        if joins:
            names.add(name)
            moved = owners.add_instance(name)
        else:
            names.discard(name)
            moved = owners.remove_instance(name)
        after = {e: owners.owner(e) for e in endpoints}
        assert after == {e: ownership.owner(e, names) for e in endpoints}
        changed = {e for e in endpoints if before[e] != after[e]}
        assert changed == set(moved)


def test_a_peer_takes_over_and_gives_back_endpoints():
    core = scheduler.Scheduler(builders.peer("entry-1"))
    for number in range(20):
        core.handle(listed(f"engine-{number}"), 0.0)
    other = builders.peer("entry-2")
    core.handle(messages.PeerReported(other, ()), 0.0)
    shared = len(core.all_pools()[0].serving)
    foreign = dataclasses.replace(other, name="x", failure_domain="wien-b")
    core.handle(messages.PeerReported(foreign, ()), 0.0)
    assert 0 < shared < 20
    assert len(core.all_pools()[0].serving) == shared
    stopping = messages.PeerReported(other, (), owner=False)
    core.handle(stopping, 0.0)
    assert len(core.all_pools()[0].serving) == 20
    core.handle(messages.PeerReported(other, ()), 0.0)
    assert len(core.all_pools()[0].serving) == shared
    core.handle(messages.PeerGone("entry-2"), 0.0)
    assert len(core.all_pools()[0].serving) == 20
