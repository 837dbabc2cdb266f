"""Delegation after a peer or the last endpoint could not serve a request."""

import pytest

from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import policies
from cranberryglade.scheduling import scheduler
from cranberryglade.tests import builders


def reported(name, free_slots):
    digest = messages.TargetDigest(
        "assistant", free_slots, 0, -1, 0.0, (0.0,), rate=8.0
    )
    return messages.PeerReported(builders.peer(name), (digest,))


def delegated(actions):
    return [a.peer.name for a in actions if isinstance(a, messages.Delegate)]


@pytest.fixture
def core():
    built = scheduler.Scheduler(builders.peer())
    built.handle(reported("entry-2", 8), 0.0)
    built.handle(reported("entry-3", 8), 0.0)
    return built


def submit(core, name):
    return core.handle(messages.Submitted(builders.request(name)), 0.0)


@pytest.mark.parametrize("reason", ["no_endpoint", "connection_refused"])
def test_a_peer_that_cannot_serve_is_left_out_until_its_next_digest(
    core, reason
):
    assert delegated(submit(core, "r1")) == ["entry-2"]
    refusal = wire.read_verdict(
        wire.VerdictDocument(verdict="not_run", reason=reason)
    )
    failed = messages.AttemptFailed("r1", 1, refusal)
    assert delegated(core.handle(failed, 0.1)) == ["entry-3"]
    assert delegated(submit(core, "r2")) == ["entry-3"]
    core.handle(reported("entry-2", 8), 0.2)
    assert delegated(submit(core, "r3")) == ["entry-2"]


def test_when_no_peer_can_serve_the_request_is_refused_at_once(core):
    submit(core, "r1")
    refusal = verdicts.NotRun(verdicts.Reason.NO_ENDPOINT, 1.0)
    core.handle(messages.AttemptFailed("r1", 1, refusal), 0.1)
    actions = core.handle(messages.AttemptFailed("r1", 2, refusal), 0.2)
    finished = [a for a in actions if isinstance(a, messages.Finish)]
    assert finished[0].verdict.reason is verdicts.Reason.NO_ENDPOINT
    assert finished[0].verdict.retry_after_seconds is not None


ENDPOINT_EVENTS = [
    messages.EndpointLeaving("engine-3", "i1", "operator"),
    messages.EndpointReachability("engine-3", "i1", False),
    messages.EndpointGone("engine-3"),
]


@pytest.mark.parametrize(
    "event", ENDPOINT_EVENTS, ids=lambda s: type(s).__name__
)
@pytest.mark.parametrize("peers", [0, 1])
def test_last_endpoint_stopping_delegates_or_refuses_waiting_requests(
    event, peers
):
    core = scheduler.Scheduler(builders.peer())
    endpoint = builders.endpoint("engine-3", slots=1)
    core.handle(messages.EndpointJoined(endpoint), 0.0)
    for name in ("r1", "r2", "r3"):
        submit(core, name)
    if peers:
        core.handle(reported("entry-2", 8), 0.0)
    actions = core.handle(event, 0.1)
    refused = [a for a in actions if isinstance(a, messages.Finish)]
    assert delegated(actions) == ["entry-2"] * 2 * peers
    assert len(refused) == 2 * (1 - peers)
    for action in refused:
        assert action.verdict.reason is verdicts.Reason.NO_ENDPOINT
        assert action.verdict.retry_after_seconds is not None


@pytest.mark.parametrize("policy", policies.POLICIES, ids=lambda p: p.name)
def test_every_policy_handles_requests_returned_by_a_peer(policy):
    core = scheduler.Scheduler(builders.peer(), policy)
    core.handle(messages.EndpointJoined(builders.endpoint("engine-3")), 0.0)
    core.handle(reported("entry-2", 8), 0.0)
    core.handle(messages.EndpointLeaving("engine-3", "i1", "operator"), 0.0)
    actions = submit(core, "r1")
    if delegated(actions):
        refusal = verdicts.NotRun(verdicts.Reason.STOPPING, 0.1)
        core.handle(messages.AttemptFailed("r1", 1, refusal), 0.1)
    core.handle(messages.Tick(), 60.0)
    assert core.unfinished == 0
