"""Properties that hold under any order of events and faults."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from cranberryglade import verdicts
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import request_records
from cranberryglade.scheduling import request_table
from cranberryglade.scheduling import scheduler
from cranberryglade.tests import ledgers
from cranberryglade.tests import scheduler_cluster

NUMBER = strategies.integers(0, 63)
FLAG = strategies.booleans()
KEY = strategies.sampled_from(["k1", "k1", "k2", "", ""])
RARELY = strategies.sampled_from([False, False, False, True])
SECONDS = strategies.sampled_from([0.1, 0.1, 0.1, 5.0, 40.0, -20.0])
SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    stateful_step_count=40,
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)


class Interleavings(stateful.RuleBasedStateMachine):
    """Two instances with their endpoints, claims and faults."""

    def __init__(self):
        super().__init__()
        self.world = scheduler_cluster.Cluster()

    def home(self, number):
        return self.world.homes[number % 2]

    @stateful.rule(number=NUMBER, key=KEY, idempotent=FLAG, streamed=FLAG)
    def submit(self, number, key, idempotent, streamed):
        idempotent = idempotent and not key
        self.world.submit(self.home(number), key, idempotent, streamed)

    @stateful.precondition(lambda self: self.world.submitted)
    @stateful.rule(number=NUMBER, cancels=RARELY)
    def ask_again(self, number, cancels):
        requests = self.world.submitted
        request = requests[-1 - number % len(requests)]
        home = self.world.home_of(request.request_id)
        if home is not None and cancels:
            self.world.handle(home, messages.Cancelled(request.request_id))
        elif home is not None:
            self.world.submit_to(home, request)

    @stateful.precondition(lambda self: self.world.ready())
    @stateful.rule(number=NUMBER, choice=NUMBER)
    def go_on(self, number, choice):
        ready = self.world.ready()
        self.world.step(ready[number % len(ready)], choice)

    @stateful.precondition(lambda self: self.world.ready())
    @stateful.rule(choice=NUMBER)
    def go_on_with_the_latest(self, choice):
        self.world.step(self.world.ready()[-1], choice)

    @stateful.precondition(lambda self: self.world.ready())
    @stateful.rule(choice=NUMBER)
    def go_on_with_the_oldest(self, choice):
        self.world.step(self.world.ready()[0], choice)

    @stateful.precondition(lambda self: self.world.running())
    @stateful.rule(number=NUMBER)
    def break_off_after_a_token(self, number):
        running = self.world.running()
        operation = running[number % len(running)]
        self.world.first_token(operation)
        self.world.fail(operation, scheduler_cluster.ANSWER_LOST)

    @stateful.precondition(lambda self: self.world.late_claims)
    @stateful.rule(number=NUMBER)
    def write_late(self, number):
        late = self.world.late_claims
        self.world.write_claim(*late.pop(number % len(late)))

    @stateful.precondition(lambda self: self.world.past_events)
    @stateful.rule(number=NUMBER)
    def repeat_an_event(self, number):
        past_events = self.world.past_events
        home, event = past_events[-1 - number % len(past_events)]
        if home.alive:
            self.world.handle(home, event)

    @stateful.rule(number=NUMBER, leaves=RARELY, seconds=SECONDS)
    def change_endpoint(self, number, leaves, seconds):
        home = self.home(number)
        self.world.now += seconds
        event = messages.EndpointJoined(home.endpoint)
        if leaves:
            event = messages.EndpointGone(home.endpoint.name)
        self.world.handle(home, event)

    @stateful.rule(number=NUMBER, sent=FLAG)
    def end(self, number, sent):
        home = self.home(number)
        if home.stopping and number % 16 < 2:
            self.world.handle(home, messages.CutRequested())
        elif home.stopping:
            self.world.exit(home)
        elif number % 16 < 2:
            self.world.crash(home, sent)
        elif number % 16 < 6:
            self.world.stop(home)

    @stateful.invariant()
    def nothing_is_violated(self):
        self.world.ledger.check()

    def teardown(self):
        assert self.world.run_to_end() == []
        self.world.ledger.check()


def explore(examples=100):
    stateful.run_state_machine_as_test(
        Interleavings,
        settings=hypothesis.settings(SETTINGS, max_examples=examples),
    )


@pytest.mark.parametrize("kept", [100_000, 2])
def test_the_properties_hold_under_interleaved_faults(kept, monkeypatch):
    monkeypatch.setattr(request_records, "KEPT_TOMBSTONES", kept)
    explore()


@pytest.mark.parametrize("stops", [False, True])
def test_the_properties_hold_in_a_burst(stops):
    world = scheduler_cluster.Cluster()
    for number in range(600):
        home = world.homes[number % 2]
        key = "" if number % 3 else f"k{number % 50}"
        world.submit(home, key, idempotent=number % 5 == 1)
        if number % 4 == 0 and world.ready():
            world.step(world.ready()[0], number)
        if stops and number == 300:
            world.stop(world.homes[0])
    assert world.run_to_end() == []
    world.ledger.check()
    ran = sum(
        verdicts.Ran() in sent for sent in world.ledger.sent_verdicts.values()
    )
    assert ran > 0


def _always_repeat(core, record, verdict):
    del core, record, verdict
    return True


def _trust_verdict(record, verdict):
    del record
    return verdict


def _never_evicted(table, request_id):
    del table, request_id
    return False


def _keep_admitting(core):
    del core


def _ignore_lost_attempt(
    table, record, reason, retry_after_seconds, measures=()
):
    del measures
    verdict = verdicts.NotRun(reason, retry_after_seconds)
    table._finish(record, "refused", verdict)


def _always_claim_again(core, record, verdict):
    del verdict
    core._request_table.claim_again(record)


def _accept_any_attempt(table, request_id, attempt):
    del attempt
    record = table.get(request_id)
    return (
        record
        if record and record.state in request_table.IN_PROGRESS_STATES
        else None
    )


def _repeat_after_tokens(core, record, verdict):
    del core
    if record.attempt >= scheduler.MAXIMUM_ATTEMPTS:
        return False
    return record.request.idempotent or scheduler._never_sent(verdict)


def _end_as_answered(core, record, verdict):
    del verdict
    core._request_table.finish_answered(record)


SCHEDULER = scheduler.Scheduler
MUTATIONS = [
    (SCHEDULER, "_may_retry", _always_repeat, "ran . times"),
    (
        scheduler,
        "_effective_verdict",
        _trust_verdict,
        "told not run|ran 2 times",
    ),
    (
        request_records.RequestRecords,
        "may_be_evicted",
        _never_evicted,
        "was told",
    ),
    (
        request_table.RequestTable,
        "refuse",
        _ignore_lost_attempt,
        "told not run",
    ),
    (SCHEDULER, "_relay_failed", _always_claim_again, "ran 2 times"),
    (
        request_table.RequestTable,
        "get_in_progress",
        _accept_any_attempt,
        "ran . times|told not run",
    ),
    (SCHEDULER, "_stop", _keep_admitting, "admitted after the stop"),
    (SCHEDULER, "_may_retry", _repeat_after_tokens, "was read from"),
    (SCHEDULER, "_end", _end_as_answered, "ran without an answer"),
]


@pytest.mark.parametrize(("owner", "name", "mutant", "caught"), MUTATIONS)
def test_a_violation_is_caught(owner, name, mutant, caught, monkeypatch):
    monkeypatch.setattr(request_records, "KEPT_TOMBSTONES", 2)
    monkeypatch.setattr(owner, name, mutant)
    with pytest.raises(ledgers.ViolationError, match=caught):
        explore(examples=1000)
