"""Verdicts retained by the home, claims of keys, retries and stops."""

import pytest

from cranberryglade import verdicts
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import request_records
from cranberryglade.scheduling import scheduler
from cranberryglade.tests import builders

HOME = "wien-a.entry-1.entry-1-i1"
RETENTION_PASSED = verdicts.MayHaveRun(verdicts.Reason.RETENTION_PASSED)


def make_scheduler(**changes):
    core = scheduler.Scheduler(builders.peer())
    core.handle(messages.EndpointJoined(builders.endpoint(**changes)), 0.0)
    return core


def of_type(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def run_to_answer(core, request, now=0.0):
    core.handle(messages.Submitted(request), now)
    core.handle(messages.Answered(request.request_id, 1, 20), now)


def ticket(sequence):
    return f"{HOME}.{sequence}.5167"


def test_evicted_request_never_runs_again(monkeypatch):
    monkeypatch.setattr(request_records, "KEPT_TOMBSTONES", 2)
    core = make_scheduler()
    for sequence in (5, 6, 7):
        run_to_answer(core, builders.request(ticket(sequence)))
    for sequence in (5, 3):
        again = builders.request(ticket(sequence))
        actions = core.handle(messages.Submitted(again), 1.0)
        assert not of_type(actions, messages.Dispatch)
        assert actions == [
            messages.AttachCaller(ticket(sequence), RETENTION_PASSED)
        ]
    fresh = builders.request(ticket(8))
    actions = core.handle(messages.Submitted(fresh), 1.0)
    assert of_type(actions, messages.Dispatch)


def test_tombstones_are_bounded_by_bytes_and_age(monkeypatch):
    monkeypatch.setattr(request_records, "KEPT_TOMBSTONE_BYTES", 1000)
    kept = request_records.RequestRecords()
    for sequence in range(1, 6):
        request = builders.request(ticket(sequence), key="k" * 100)
        kept.add(request, "waiting")
        kept.close(request.request_id, verdicts.Ran(), 0.0)
    assert kept.evicted == 3
    assert kept.floor(HOME) == 3
    assert kept.find(builders.request("r1", key="k" * 100))
    late = builders.request(ticket(9))
    kept.add(late, "waiting")
    kept.close(
        ticket(9), verdicts.Ran(), 2 * request_records.KEPT_TOMBSTONE_SECONDS
    )
    assert kept.evicted == 5
    assert kept.find(builders.request("r1", key="k" * 100)) is None


ANSWER_LOST = verdicts.MayHaveRun(verdicts.Reason.ANSWER_LOST)
REFUSED = verdicts.NotRun(verdicts.Reason.ENDPOINT_REFUSED)


def submit(core, request_id="r1", now=0.0, **changes):
    request = builders.request(request_id, **changes)
    return core.handle(messages.Submitted(request), now)


def final_verdict(actions):
    found = of_type(actions, messages.Finish)
    return found[0].verdict if found else None


@pytest.mark.parametrize(
    ("streamed", "delivered", "repeated"),
    [
        (False, False, True),
        (False, True, True),
        (True, False, True),
        (True, True, False),
    ],
)
def test_no_retry_after_the_caller_may_have_read_a_token(
    streamed, delivered, repeated
):
    core = make_scheduler()
    submit(core, idempotent=True, streamed=streamed)
    if delivered:
        core.handle(messages.FirstToken("r1", 1), 0.1)
    actions = core.handle(messages.AttemptFailed("r1", 1, ANSWER_LOST), 0.2)
    assert bool(of_type(actions, messages.Dispatch)) == repeated
    assert final_verdict(actions) == (None if repeated else ANSWER_LOST)


def test_late_streaming_caller_prevents_a_retry():
    core = make_scheduler()
    submit(core, idempotent=True)
    core.handle(messages.FirstToken("r1", 1), 0.1)
    submit(core, idempotent=True, streamed=True)
    actions = core.handle(messages.AttemptFailed("r1", 1, ANSWER_LOST), 0.2)
    assert final_verdict(actions) == ANSWER_LOST


@pytest.mark.parametrize(
    ("attempt_verdicts", "verdict"),
    [
        ([ANSWER_LOST, REFUSED, REFUSED, REFUSED], ANSWER_LOST),
        ([REFUSED, ANSWER_LOST, REFUSED, REFUSED], ANSWER_LOST),
        ([REFUSED] * 4, REFUSED),
    ],
)
def test_verdict_not_run_requires_that_no_attempt_may_have_run(
    attempt_verdicts, verdict
):
    core = make_scheduler()
    submit(core, idempotent=True)
    for attempt, item in enumerate(attempt_verdicts, 1):
        failed = messages.AttemptFailed("r1", attempt, item)
        actions = core.handle(failed, 0.1)
    assert final_verdict(actions) == verdict


@pytest.mark.parametrize(
    ("event", "now"),
    [
        (messages.Tick(), 60.0),
        (messages.Cancelled("r1"), 0.3),
        (messages.StopRequested(), 0.3),
        (messages.CutRequested(), 0.3),
    ],
)
def test_waiting_after_a_lost_attempt_does_not_end_in_not_run(event, now):
    core = make_scheduler()
    submit(core, idempotent=True)
    core.handle(messages.EndpointLeaving("engine-1", "i1", "test"), 0.1)
    core.handle(messages.AttemptFailed("r1", 1, ANSWER_LOST), 0.2)
    assert final_verdict(core.handle(event, now)) == ANSWER_LOST


@pytest.mark.parametrize(
    ("reason", "idempotent", "repeated"),
    [
        (verdicts.Reason.CONNECTION_REFUSED, False, True),
        (verdicts.Reason.ENDPOINT_REFUSED, False, False),
        (verdicts.Reason.ENDPOINT_REFUSED, True, True),
    ],
)
def test_only_idempotent_requests_are_retried_after_being_sent(
    reason, idempotent, repeated
):
    core = make_scheduler()
    submit(core, idempotent=idempotent)
    failed = messages.AttemptFailed("r1", 1, verdicts.NotRun(reason))
    actions = core.handle(failed, 0.1)
    assert bool(of_type(actions, messages.Dispatch)) == repeated
    assert (final_verdict(actions) is None) == repeated


def test_refusal_after_the_first_token_counts_as_lost_answer():
    core = make_scheduler()
    submit(core)
    core.handle(messages.FirstToken("r1", 1), 0.1)
    actions = core.handle(messages.AttemptFailed("r1", 1, REFUSED), 0.2)
    assert final_verdict(actions) == ANSWER_LOST


OUTCOME = messages.ClaimOutcome


def settle_claim(core, request_id, outcome, holder="", version=0, now=0.1):
    event = messages.ClaimSettled(request_id, outcome, holder, version)
    return core.handle(event, now)


def test_a_key_whose_holder_was_refused_can_be_used_again():
    core = make_scheduler()
    first, second = ticket(1), ticket(2)
    submit(core, first, key="k")
    core.handle(messages.EndpointLeaving("engine-1", "i1", "test"), 0.0)
    refused = final_verdict(settle_claim(core, first, OUTCOME.WON))
    assert refused.reason is verdicts.Reason.NO_ENDPOINT
    submit(core, second, key="k")
    actions = settle_claim(core, second, OUTCOME.LOST, first, 1)
    claimed = of_type(actions, messages.Claim)
    assert [claim.expected_version for claim in claimed] == [1]


@pytest.mark.parametrize(
    ("answer", "claims_again"),
    [
        (verdicts.NotRun(verdicts.Reason.SHED), True),
        (verdicts.NotRun(verdicts.Reason.KEY_REUSED), False),
        (verdicts.MayHaveRun(verdicts.Reason.HOME_UNREACHABLE), False),
    ],
)
def test_a_key_held_elsewhere_follows_its_holder(answer, claims_again):
    core = make_scheduler()
    holder = "wien-b.entry-9.beef.4.5167"
    submit(core, key="k")
    actions = settle_claim(core, "r1", OUTCOME.LOST, holder, 3)
    assert of_type(actions, messages.Relay)[0].holder == holder
    actions = core.handle(messages.AttemptFailed("r1", 1, answer), 0.2)
    claimed = of_type(actions, messages.Claim)
    assert [claim.expected_version for claim in claimed] == [3] * claims_again
    assert final_verdict(actions) == (None if claims_again else answer)
    assert not of_type(actions, messages.Dispatch)


def test_key_held_elsewhere_is_relayed_again_after_a_partition():
    core = make_scheduler()
    holder = "wien-b.entry-9.beef.4.5167"
    submit(core, key="k")
    settle_claim(core, "r1", OUTCOME.LOST, holder, 1)
    gone = verdicts.MayHaveRun(verdicts.Reason.HOME_UNREACHABLE)
    core.handle(messages.AttemptFailed("r1", 1, gone), 0.2)
    submit(core, "r2", key="k")
    actions = settle_claim(core, "r2", OUTCOME.LOST, holder, 1)
    assert of_type(actions, messages.Relay)


def test_key_held_by_an_evicted_request_may_have_run(monkeypatch):
    monkeypatch.setattr(request_records, "KEPT_TOMBSTONES", 1)
    core = make_scheduler()
    for sequence in (1, 2):
        run_to_answer(core, builders.request(ticket(sequence)))
    submit(core, ticket(3), key="k")
    actions = settle_claim(core, ticket(3), OUTCOME.LOST, ticket(1), 1)
    assert final_verdict(actions) == RETENTION_PASSED


def test_another_request_under_a_known_id_or_key_is_refused():
    core = make_scheduler()
    submit(core, key="k", fingerprint="f1")
    settle_claim(core, "r1", OUTCOME.WON)
    for request_id, key in (("r1", ""), ("r2", "k")):
        actions = submit(core, request_id, key=key, fingerprint="f2")
        refused = verdicts.NotRun(verdicts.Reason.KEY_REUSED)
        assert actions == [messages.Reject("r1", refused)]


@pytest.mark.parametrize("outcome", [OUTCOME.WON, OUTCOME.UNAVAILABLE])
def test_a_claim_that_is_settled_after_the_request_ended(outcome):
    core = make_scheduler()
    submit(core, key="k")
    verdict = final_verdict(core.handle(messages.Cancelled("r1"), 0.1))
    assert verdict == verdicts.NotRun(verdicts.Reason.CANCELLED)
    assert settle_claim(core, "r1", outcome) == []


def test_a_running_request_that_is_cancelled_may_have_run():
    core = make_scheduler()
    submit(core)
    actions = core.handle(messages.Cancelled("r1"), 0.1)
    assert final_verdict(actions) == verdicts.MayHaveRun(
        verdicts.Reason.CANCELLED
    )
    stopped = of_type(actions, messages.CancelAttempt)
    assert stopped == [messages.CancelAttempt("r1", 1, builders.endpoint())]
    assert not core.handle(messages.Answered("r1", 1, 9), 0.2)


def test_stop_delegates_waiting_requests_and_remains_their_home():
    core = make_scheduler(slots=1)
    submit(core, "running")
    submit(core, "waiting")
    digest = messages.TargetDigest("assistant", 3, 0, -1, 0.0)
    peer = builders.peer("entry-2")
    core.handle(messages.PeerReported(peer, (digest,)), 0.1)
    core.handle(messages.EndpointJoined(builders.endpoint(slots=1)), 0.1)
    actions = core.handle(messages.StopRequested(), 0.2)
    assert of_type(actions, messages.Delegate) == [
        messages.Delegate("waiting", 1, peer)
    ]
    assert core.unfinished == 2
    actions = core.handle(messages.Answered("waiting", 1, 20), 0.3)
    assert final_verdict(actions) == verdicts.Ran()


def test_stop_refuses_requests_that_no_peer_can_serve():
    core = make_scheduler(slots=1)
    submit(core, "running")
    submit(core, "waiting")
    actions = core.handle(messages.StopRequested(), 0.2)
    assert of_type(actions, messages.Finish) == [
        messages.Finish(
            "waiting",
            verdicts.NotRun(
                verdicts.Reason.STOPPING, scheduler.STOPPING_RETRY_SECONDS
            ),
        )
    ]
    actions = submit(core, "new")
    assert final_verdict(actions).reason is verdicts.Reason.STOPPING
    assert core.digests() == ()
