"""Hedges over all instances: thresholds in grants, and one share."""

import random

import pytest

from cranberryglade.gateway import configuration
from cranberryglade.gateway import conversions
from cranberryglade.gateway import messages
from cranberryglade.gateway import slots
from cranberryglade.hedging import options
from cranberryglade.hedging import service_hedges
from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import hedging_replay
from cranberryglade.tests import test_hedging

Kind = configuration.Kind
Outcome = messages.Outcome

SHARE = 0.02
LEARNT_SECONDS = 30.0
HEDGE = {"rank": messages.HEDGE_RANK, "wait_until": 1.0}


@pytest.mark.parametrize("seed", range(3))
def test_slowest_answers_come_a_third_sooner_over_many_instances(seed):
    # Load: 17 repeatable and 230 other requests a second over 59 instances; 5%
    # of the attempts take ten times as long.
    replays = []
    for request_share in (0.0, SHARE):
        replay = hedging_replay.Replay(
            seed,
            request_share,
            test_hedging.steady_seconds,
            repeatable_share=17 / 247,
            instances=59,
            common=True,
        )
        replay.run(247 * 90, per_second=247.0)
        replays.append(replay)
    plain, hedged = (each.percentile(0.99, LEARNT_SECONDS) for each in replays)
    assert hedged <= plain * 2 / 3
    assert 0 < len(replays[1].hedged_at) <= SHARE * len(replays[1].calls)


class Allocator:
    """A scheduler that shares hedges, and what it answers."""

    def __init__(self, request_share=0.2, allocating=True, learnt=100):
        self.hedges = service_hedges.ServiceHedges(
            options.HedgingOptions(request_share=request_share),
            random.Random(1),
        )
        self.scheduler = slots.SlotScheduler(hedges=self.hedges)
        self.scheduler.set_allocating(allocating, 0.0)
        names = ("e-1", "e-2")
        listed = {id_: builders.make_endpoint(id_, slots=20) for id_ in names}
        self.scheduler.update_endpoints(listed, 0.0)
        for number in range(learnt):
            self.ask(f"first-{number}")
            self.release(f"first-{number}", seconds=(10 + number) / 1000)

    def ask(self, id_, **changes):
        fields = {"kind": Kind.IDEMPOTENT, "prompt_tokens": 0} | changes
        request = builders.make_slot_request(id_, output_tokens=0, **fields)
        (decided,) = self.scheduler.request_slot("gate-0", request, 1.0)
        return decided.result

    def release(self, id_, outcome=Outcome.SERVED, seconds=None):
        self.scheduler.release(id_, outcome, 1.0, seconds)

    def count_hedges(self) -> int:
        """Asks for ten hedges, and returns how many are granted."""
        asked = [self.ask(f"h-{number}", **HEDGE) for number in range(10)]
        denied = [each for each in asked if isinstance(each, messages.Denied)]
        reasons = {each.reason for each in denied}
        assert reasons <= {messages.HEDGES_USED_UP}
        return len(asked) - len(denied)


def test_threshold_comes_with_the_grant_and_again_if_that_was_lost():
    allocator = Allocator()
    assert allocator.ask("r").late_after_seconds == 0.1
    assert allocator.ask("r").late_after_seconds == 0.1


@pytest.mark.parametrize("kind", [Kind.ONCE, Kind.STREAM, Kind.RESUMABLE])
def test_grants_to_other_kinds_have_no_threshold(kind):
    assert Allocator().ask("r", kind=kind).late_after_seconds is None


def test_hedges_and_streams_are_not_learnt_from():
    # Else hedges, which are faster, would lower the threshold for the next.
    allocator = Allocator()
    for number in range(5):
        allocator.ask(f"h-{number}", **HEDGE)
        allocator.release(f"h-{number}", seconds=0.001)
    for number in range(50):
        allocator.ask(f"s-{number}", kind=Kind.STREAM)
        allocator.release(f"s-{number}", seconds=9.0)
    assert allocator.ask("r").late_after_seconds == 0.1


def test_share_is_common_and_a_hedge_without_one_is_denied():
    assert Allocator().count_hedges() == 5


def test_only_a_hedge_that_was_never_sent_is_given_back():
    allocator = Allocator()
    assert allocator.count_hedges() == 5
    allocator.release("h-0", Outcome.ABANDONED, seconds=0.03)
    allocator.release("h-1", Outcome.SERVED, seconds=0.03)
    # The three that hold their slots still are told so again.
    assert allocator.count_hedges() == 3
    allocator.release("h-2", Outcome.ABANDONED)
    allocator.release("h-3", Outcome.UNREACHABLE)
    assert isinstance(allocator.ask("n-0", **HEDGE), messages.Granted)
    assert isinstance(allocator.ask("n-1", **HEDGE), messages.Granted)
    assert isinstance(allocator.ask("n-2", **HEDGE), messages.Denied)


def test_new_allocator_begins_anew_with_at_most_one_hedge():
    # Else each change of the allocator would allow five more hedges at once.
    allocator = Allocator()
    allocator.scheduler.set_allocating(False, 1.0)
    assert allocator.ask("r-1").late_after_seconds is None
    allocator.scheduler.set_allocating(True, 1.0)
    assert allocator.ask("r-2").late_after_seconds is None
    # The requests since have earned 0.4 of one.
    assert allocator.count_hedges() <= 1


def test_without_an_allocator_only_the_instance_has_hedges_to_spend():
    alone = Allocator(allocating=False)
    assert isinstance(alone.ask("own", **HEDGE), messages.Granted)
    common = alone.ask("common", takes_common_hedge=True, **HEDGE)
    assert common.reason == messages.HEDGES_USED_UP


def test_hedges_of_an_earlier_term_give_nothing_to_the_new_share():
    # Else each return of the role would begin with the hedges still unsent.
    allocator = Allocator()
    assert allocator.count_hedges() == 5
    allocator.scheduler.set_allocating(False, 1.5)
    allocator.scheduler.set_allocating(True, 2.0)
    for number in range(5):
        allocator.release(f"h-{number}", Outcome.ABANDONED)
    assert isinstance(allocator.ask("n-0", **HEDGE), messages.Denied)


def test_an_instance_that_does_not_allocate_denies_the_hedges_of_others():
    # Neither instance would have taken it from a share.
    alone = Allocator(allocating=False)
    asked = builders.make_slot_request("h", kind=Kind.IDEMPOTENT, **HEDGE)
    sent = conversions.encode_slot_request("gate-1", asked, 0.0)
    received = conversions.decode_slot_request(sent, 0.0)
    (decided,) = alone.scheduler.request_slot("gate-1", received, 1.0)
    assert decided.result.reason == messages.HEDGES_USED_UP


def test_share_of_zero_turns_hedges_off_at_the_allocator():
    allocator = Allocator(request_share=0.0)
    assert allocator.ask("r").late_after_seconds is None
    assert allocator.count_hedges() == 0
