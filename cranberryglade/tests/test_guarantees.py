"""The page about guarantees names tests that exist; losses are caught."""

import pathlib
import re

import pytest

from cranberryglade.soak import deployment
from cranberryglade.soak import guarantees
from cranberryglade.soak import losses
from cranberryglade.soak import observations
from cranberryglade.tests import histories

TESTS = pathlib.Path(__file__).parent
PAGE = TESTS.parents[1] / "docs" / "guarantees.md"
HEADING = "| fault |"


def rows(text, heading):
    after = text[text.index(heading) :].split("\n\n")[0].splitlines()
    return [
        [cell.strip() for cell in line.strip("|").split("|")]
        for line in after[2:]
    ]


def test_every_cell_names_tests_or_says_that_it_is_not_proved():
    text = PAGE.read_text(encoding="utf-8")
    legend = {
        letters
        for row in rows(text, "| letters |")
        for letters in row[0].split(", ")
    }
    for row in rows(text, HEADING):
        assert len(row) == 9, row
        for cell in row[1:]:
            if cell not in ("-", "not proved"):
                without_remarks = re.sub(r" \(.*?\)", "", cell)
                assert set(without_remarks.split(", ")) <= legend, row


def test_every_test_that_is_named_exists():
    named_tests = set(
        re.findall(r"`(test_\w+)`", PAGE.read_text(encoding="utf-8"))
    )
    defined_tests = {
        name
        for path in TESTS.glob("test_*.py")
        for name in re.findall(r"def (test_\w+)", path.read_text())
    }
    assert named_tests - defined_tests == set()


def test_a_history_without_planned_work_has_no_losses():
    history = histories.a_history(histories.a_lost_request())
    assert histories.clauses(history) == set()


PLANNED_WORK = [
    ("stop", {"stops": [histories.a_stop(9.0)]}),
    ("reload", {"reloads": [histories.a_reload(9.0)]}),
    ("configuration", {"changes": [histories.a_change(9.0)]}),
]


@pytest.mark.parametrize(("clause", "work"), PLANNED_WORK)
@pytest.mark.parametrize("status", [0, 200], ids=["no answer", "part"])
def test_a_request_cut_beside_planned_work_is_caught(clause, work, status):
    lost = histories.a_lost_request(status=status)
    assert histories.clauses(histories.a_history(lost, **work)) == {clause}


@pytest.mark.parametrize(("clause", "work"), PLANNED_WORK)
def test_a_request_read_and_not_passed_on_is_caught(clause, work):
    slack = deployment.BOUNDS.answer_seconds
    for waited, caught in ((slack + 0.01, {clause}), (slack - 0.01, set())):
        lost = histories.a_lost_request(written=histories.ENDED - waited)
        history = histories.a_history(lost, arrivals=[], **work)
        assert histories.clauses(history) == caught


@pytest.mark.parametrize(("clause", "work"), PLANNED_WORK)
def test_a_request_that_is_cut_as_soon_as_it_was_passed_on_is_caught(
    clause, work
):
    lost = histories.a_lost_request(written=histories.ENDED - 0.01)
    assert histories.clauses(histories.a_history(lost, **work)) == {clause}


def test_a_late_look_of_the_soak_itself_is_no_loss():
    lost = histories.a_lost_request(written=10.2, lag_seconds=0.2)
    history = histories.a_history(
        lost, arrivals=[], stops=[histories.a_stop(9.0)]
    )
    assert histories.clauses(history) == set()


@pytest.mark.parametrize(("clause", "work"), PLANNED_WORK)
def test_a_refused_request_that_is_cut_is_caught(clause, work):
    arrivals = [histories.an_arrival(fault="refuse")]
    lost = histories.a_lost_request()
    history = histories.a_history(lost, arrivals=arrivals, **work)
    assert histories.clauses(history) == {clause}


@pytest.mark.parametrize(("clause", "work"), PLANNED_WORK)
@pytest.mark.parametrize("fault", ["fall_silent", "hang"])
def test_a_silence_excuses_no_cut(clause, work, fault):
    arrivals = [histories.an_arrival(fault=fault)]
    lost = histories.a_lost_request()
    history = histories.a_history(lost, arrivals=arrivals, **work)
    assert histories.clauses(history) == {clause}


@pytest.mark.parametrize(("clause", "work"), PLANNED_WORK)
@pytest.mark.parametrize("fault", losses.BREAKING_FAULTS)
def test_an_endpoint_that_broke_off_excuses_a_cut(clause, work, fault):
    broken = histories.an_arrival(fault=fault)
    sound = histories.an_arrival(endpoint="i-1", at=10.3)
    refused = histories.an_arrival(endpoint="i-1", at=10.3, fault="pause")
    # With nothing sent yet, a refusal or another attempt is owed.
    for arrivals, status, is_caught in (
        ([broken], 200, False),
        ([sound, broken], 200, False),
        ([broken, refused], 200, False),
        ([sound, refused], 200, True),
        ([broken, sound], 200, fault != losses.UNJOINABLE_FAULT),
        ([broken], 0, True),
        ([sound, broken], 0, True),
        ([broken, refused], 0, True),
        ([broken, sound], 0, True),
    ):
        lost = histories.a_lost_request(status=status)
        history = histories.a_history(lost, arrivals=arrivals, **work)
        assert histories.clauses(history) == ({clause} if is_caught else set())


@pytest.mark.parametrize(("clause", "work"), PLANNED_WORK)
def test_a_broken_answer_that_nobody_can_go_on_with_excuses_a_cut(clause, work):
    arrivals = [
        histories.an_arrival(fault="truncate"),
        histories.an_arrival(endpoint="i-1", at=10.3),
    ]
    for status, caught in ((200, set()), (0, {clause})):
        lost = histories.a_lost_request(status=status)
        history = histories.a_history(lost, arrivals=arrivals, **work)
        assert histories.clauses(history) == caught


@pytest.mark.parametrize(("clause", "work"), PLANNED_WORK)
def test_only_an_unplanned_disturbance_of_its_gateway_excuses_a_cut(
    clause, work
):
    lost = histories.a_lost_request()
    for gateway, caught in ((0, set()), (1, {clause})):
        killed = observations.GatewayPeriod(gateway, 7.0, 10.1)
        history = histories.a_history(lost, unplanned=[killed], **work)
        assert histories.clauses(history) == caught
    early = observations.GatewayPeriod(0, 6.0, 9.9)
    history = histories.a_history(lost, unplanned=[early], **work)
    assert histories.clauses(history) == {clause}


@pytest.mark.parametrize(("clause", "work"), PLANNED_WORK)
def test_an_impaired_link_to_its_endpoint_excuses_a_cut_meanwhile(clause, work):
    for endpoint, ended, status, caught in (
        ("i-0", 10.1, 200, set()),
        ("i-0", 9.9, 200, {clause}),
        ("i-1", 10.1, 200, {clause}),
        ("i-0", 10.1, 0, {clause}),
    ):
        lost = histories.a_lost_request(status=status)
        impaired = [observations.EndpointPeriod(endpoint, 9.0, ended)]
        history = histories.a_history(lost, impaired=impaired, **work)
        assert histories.clauses(history) == caught


def test_a_run_without_an_answer_in_a_planned_stop_is_never_excused():
    timeout = deployment.BOUNDS.timeout_seconds
    lost = histories.a_lost_request(ended=histories.SENT + timeout)
    history = histories.a_history(
        lost,
        runs=[observations.Run(lost.id, histories.SENT)],
        stops=[histories.a_stop(9.5)],
    )
    assert histories.clauses(history) == set()
    violations = guarantees.check(history, deployment.BOUNDS)
    assert "stop" in {each.guarantee for each in violations}


@pytest.mark.parametrize(
    ("clause", "work"),
    [
        ("stop", {"stops": [histories.a_stop(9.0)]}),
        ("reload", {"reloads": [histories.a_reload(9.0)]}),
    ],
)
def test_a_request_at_its_timeout_may_be_cut(clause, work):
    timeout = deployment.BOUNDS.timeout_seconds
    for took, caught in ((timeout, set()), (timeout - 0.01, {clause})):
        lost = histories.a_lost_request(ended=histories.SENT + took)
        assert histories.clauses(histories.a_history(lost, **work)) == caught


@pytest.mark.parametrize(("clause", "work"), PLANNED_WORK)
def test_a_caller_that_gave_up_has_lost_nothing(clause, work):
    lost = histories.a_lost_request(abandoned=True)
    assert histories.clauses(histories.a_history(lost, **work)) == set()


def test_a_stop_counts_until_a_second_after_its_grace_time():
    grace = deployment.BOUNDS.grace_seconds
    lost = histories.a_lost_request()
    for begun, gateway, caught in (
        (histories.ENDED - grace - 0.99, 0, {"stop"}),
        (histories.ENDED - grace - 1.01, 0, set()),
        (histories.ENDED + 0.01, 0, set()),
        (9.0, 1, set()),
    ):
        stop = histories.a_stop(begun, gateway)
        history = histories.a_history(lost, stops=[stop])
        assert histories.clauses(history) == caught


def test_an_endpoint_at_work_when_the_grace_time_ends_excuses_a_cut():
    grace = deployment.BOUNDS.grace_seconds
    stop = histories.a_stop(10.0)
    last = 10.0 + grace * (1 - losses.LAST_SHARE_OF_GRACE)
    for sent, at_work_until, caught in (
        (12.99, last + 0.01, set()),
        (12.99, last - 0.01, {"stop"}),
        (13.01, last + 0.01, {"stop"}),
    ):
        lost = histories.a_lost_request(
            sent=sent, written=sent, ended=sent + 1.9
        )
        arrivals = [histories.an_arrival(at=sent, ended=at_work_until)]
        history = histories.a_history(lost, arrivals=arrivals, stops=[stop])
        assert histories.clauses(history) == caught


def test_a_reload_counts_for_requests_sent_until_its_settings_must_apply():
    apply = deployment.BOUNDS.apply_seconds
    lost = histories.a_lost_request()
    for begun, gateway, caught in (
        (histories.SENT - apply + 0.01, 0, {"reload"}),
        (histories.SENT - apply - 0.01, 0, set()),
        (histories.ENDED - 0.01, 0, {"reload"}),
        (histories.ENDED + 0.01, 0, set()),
        (9.0, 1, set()),
    ):
        reload = histories.a_reload(begun, gateway)
        history = histories.a_history(lost, reloads=[reload])
        assert histories.clauses(history) == caught


def test_a_change_counts_from_its_writing_until_a_second_after_its_bound():
    spare = deployment.BOUNDS.apply_seconds + 1.0
    lost = histories.a_lost_request()
    for begun, caught in (
        (histories.ENDED - spare + 0.01, {"configuration"}),
        (histories.ENDED - spare - 0.01, set()),
        (histories.ENDED - 0.01, {"configuration"}),
        (histories.ENDED + 0.01, set()),
    ):
        change = histories.a_change(begun)
        history = histories.a_history(lost, changes=[change])
        assert histories.clauses(history) == caught


def test_a_change_excuses_a_request_that_has_used_most_of_its_time():
    used = losses.CHANGE_TIME_SHARE * deployment.BOUNDS.timeout_seconds
    changes = [histories.a_change(9.0)]
    for took, caught in ((used, set()), (used - 0.01, {"configuration"})):
        lost = histories.a_lost_request(ended=histories.SENT + took)
        history = histories.a_history(lost, changes=changes)
        assert histories.clauses(history) == caught


@pytest.mark.parametrize(
    ("served_elsewhere", "caught"), [(1, set()), (3, {"configuration"})]
)
def test_only_more_than_three_times_the_usual_cuts_count_beside_a_change(
    served_elsewhere, caught
):
    lost = histories.a_lost_request()
    at_another_time = histories.a_lost_request(
        "s-2", sent=20.0, written=20.0, ended=20.5
    )
    others = [
        histories.a_served_request(f"t-{number}", 30.0)
        for number in range(served_elsewhere)
    ]
    changes = [histories.a_change(9.0)]
    arrivals = [histories.an_arrival("s-1"), histories.an_arrival("s-2")]
    history = histories.a_history(
        lost, at_another_time, *others, arrivals=arrivals, changes=changes
    )
    assert histories.clauses(history) == caught


def kept_connection_losses(**changes) -> list[observations.Submission]:
    return [
        histories.a_lost_request(f"s-{number}", **({"kept": True} | changes))
        for number in range(losses.MAX_LOST_ON_KEPT_CONNECTIONS + 1)
    ]


def test_requests_lost_on_kept_connections_are_caught_at_any_time():
    lost = kept_connection_losses()
    history = histories.a_history(*lost)
    assert histories.clauses(history) == {"kept connection"}
    assert histories.clauses(histories.a_history(*lost[1:])) == set()


@pytest.mark.parametrize(
    "changes", [{"kept": False}, {"status": 200}], ids=["new", "part"]
)
def test_only_unanswered_requests_of_kept_connections_count_at_any_time(
    changes,
):
    history = histories.a_history(*kept_connection_losses(**changes))
    assert histories.clauses(history) == set()


@pytest.mark.parametrize(
    ("fault", "caught"),
    [("fall_silent", {"kept connection"}), ("hang", set()), ("reset", set())],
)
def test_only_sound_endpoints_count_on_kept_connections(fault, caught):
    lost = kept_connection_losses()
    arrivals = [histories.an_arrival(each.id, fault=fault) for each in lost]
    history = histories.a_history(*lost, arrivals=arrivals)
    assert histories.clauses(history) == caught


def test_a_request_that_crosses_the_close_of_a_kept_connection_may_be_cut():
    history = histories.a_history(*kept_connection_losses(), arrivals=[])
    assert histories.clauses(history) == set()


@pytest.mark.parametrize("periods", ["unplanned", "disturbed", "stops"])
def test_a_gateway_out_of_touch_may_lose_kept_connections(periods):
    kept = "kept connection"
    for gateway, caught in ((0, False), (1, True)):
        out = {periods: [observations.GatewayPeriod(gateway, 9.0, 11.0)]}
        history = histories.a_history(*kept_connection_losses(), **out)
        assert (kept in histories.clauses(history)) == caught
