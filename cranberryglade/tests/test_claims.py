"""What the home remembers, and what it does once it has forgotten."""

from cranberryglade import verdicts
from cranberryglade.scheduling import claims
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import scheduler
from cranberryglade.tests import builders

HOME = "wien-a.entry-1.entry-1-i1"
FORGOTTEN = verdicts.MayHaveRun(verdicts.Reason.RETENTION_PASSED)


def started(**changes):
    core = scheduler.Scheduler(builders.peer())
    core.handle(messages.EndpointJoined(builders.endpoint(**changes)), 0.0)
    return core


def of_type(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def serve(core, request, now=0.0):
    core.handle(messages.Submitted(request), now)
    core.handle(messages.Answered(request.request_id, 1, 20), now)


def ticket(sequence):
    return f"{HOME}.{sequence}.5167"


def test_a_forgotten_request_never_runs_again(monkeypatch):
    monkeypatch.setattr(claims, "KEPT_TOMBSTONES", 2)
    core = started()
    for sequence in (5, 6, 7):
        serve(core, builders.request(ticket(sequence)))
    for sequence in (5, 3):
        again = builders.request(ticket(sequence))
        actions = core.handle(messages.Submitted(again), 1.0)
        assert not of_type(actions, messages.Dispatch)
        assert actions == [messages.Join(ticket(sequence), FORGOTTEN)]
    fresh = builders.request(ticket(8))
    actions = core.handle(messages.Submitted(fresh), 1.0)
    assert of_type(actions, messages.Dispatch)


def test_tombstones_are_bounded_by_bytes_and_age(monkeypatch):
    monkeypatch.setattr(claims, "KEPT_TOMBSTONE_BYTES", 1000)
    kept = claims.Claims()
    for sequence in range(1, 6):
        request = builders.request(ticket(sequence), key="k" * 100)
        kept.open(request, "waiting")
        kept.close(request.request_id, verdicts.Ran(), 0.0)
    assert kept.dropped == 3
    assert kept.floor(HOME) == 3
    assert kept.find(builders.request("r1", key="k" * 100))
    late = builders.request(ticket(9))
    kept.open(late, "waiting")
    kept.close(ticket(9), verdicts.Ran(), 2 * claims.KEPT_TOMBSTONE_SECONDS)
    assert kept.dropped == 5
    assert kept.find(builders.request("r1", key="k" * 100)) is None
