"""Decisions on hedges, in replays and for single requests."""

import random

import pytest

from cranberryglade.gateway import configuration
from cranberryglade.gateway import messages
from cranberryglade.gateway import replacement
from cranberryglade.gateway import slots
from cranberryglade.hedging import control
from cranberryglade.hedging import options
from cranberryglade.hedging import share
from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import hedging_replay

Kind = configuration.Kind
Step = replacement.Step

SHARE = 0.02
LEARNT_SECONDS = 10.0
"""Time of a replay until which thresholds are learnt."""


def slowdown(draw):
    """Returns a factor of which one in twenty is ten."""
    return 10.0 if draw.random() < 0.05 else 1.0


def steady_seconds(draw, now):
    return 0.045 * slowdown(draw) * draw.uniform(0.9, 1.3)


def varied_seconds(draw, now):
    return draw.expovariate(1 / (0.045 * slowdown(draw)))


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(
    ("service_seconds", "repeatable_share"),
    [(steady_seconds, 0.19), (varied_seconds, 0.19), (varied_seconds, 1.0)],
)
def test_slowest_answers_come_a_third_sooner_for_two_percent_extra_requests(
    seed, service_seconds, repeatable_share
):
    # Load: 5% of the attempts take ten times as long; a fifth of the requests,
    # or all of them, may be repeated.
    replays = []
    for request_share in (0.0, SHARE):
        replay = hedging_replay.Replay(
            seed, request_share, service_seconds, repeatable_share
        )
        replay.run(10_000, per_second=300.0)
        replays.append(replay)
    plain, hedged = (each.percentile(0.99, LEARNT_SECONDS) for each in replays)
    assert hedged <= plain * 2 / 3
    assert not replays[0].hedged_at
    allowed = SHARE * len(replays[1].calls) + share.MAX_TOKENS
    assert 0 < len(replays[1].hedged_at) <= allowed


def test_no_hedge_is_made_under_overload():
    # Load: 1.7 times what the endpoints can do.
    replay = hedging_replay.Replay(1, 0.2, steady_seconds, 0.5)
    replay.run(10_000, per_second=1600.0)
    last = replay.calls[-1].arrived
    assert not [at for at in replay.hedged_at if at <= last]


def test_hedges_keep_to_their_share_while_all_endpoints_are_slow():
    def seconds(draw, now):
        return (0.2 if 20.0 < now < 40.0 else 0.02) * draw.uniform(0.9, 1.3)

    replay = hedging_replay.Replay(1, SHARE, seconds)
    replay.run(10_000, per_second=200.0)
    slow = [call for call in replay.calls if 20.0 < call.arrived < 40.0]
    hedged = [at for at in replay.hedged_at if 20.0 < at < 40.0]
    assert 0 < len(hedged) <= SHARE * len(slow) + share.MAX_TOKENS


def make_control(samples=100, **changes) -> control.HedgeControl:
    """Returns one that has seen answers within 10 to 109 ms."""
    fields = {"request_share": 0.2, "quantile": 0.9} | changes
    hedges = control.HedgeControl(
        options.HedgingOptions(**fields), random.Random(1)
    )
    for number in range(samples):
        hedges.record_request("s", Kind.IDEMPOTENT, 0.0)
        seconds = (10 + number) / 1000
        hedges.record_answer("s", Kind.IDEMPOTENT, seconds, 0.0)
    return hedges


def test_threshold_is_the_larger_of_the_quantile_and_what_the_share_covers():
    late_after = make_control().late_after_seconds("s", Kind.IDEMPOTENT, 0.0)
    assert late_after == 0.1
    hedges = make_control(request_share=0.05)
    assert hedges.late_after_seconds("s", Kind.IDEMPOTENT, 0.0) == 0.105


@pytest.mark.parametrize("kind", [Kind.ONCE, Kind.STREAM, Kind.RESUMABLE])
def test_other_kinds_are_never_late(kind):
    assert make_control().late_after_seconds("s", kind, 0.0) is None


def test_nothing_is_late_while_recent_answers_are_few_or_hedging_is_off():
    for hedges, now in (
        (make_control(samples=9), 0.0),
        (make_control(), 1000.0),
        (make_control(request_share=0.0), 0.0),
    ):
        assert hedges.late_after_seconds("s", Kind.IDEMPOTENT, now) is None


def test_no_hedge_while_stopping_or_without_room_or_beyond_the_share():
    hedges = make_control()
    assert hedges.try_take("s", True, 0.0) == control.STOPPING
    denied = messages.Denied("r", "waited", 0.1)
    hedges.record_slot_decision("s", denied)
    assert hedges.try_take("s", False, 0.0) == control.NO_ROOM
    hedges.record_slot_decision("s", messages.Granted("r", "e"))
    taken = [hedges.try_take("s", False, 0.0) for _ in range(6)]
    assert taken == [""] * 5 + [control.SHARE_USED_UP]
    hedges.give_back("s", 0.0)
    assert hedges.try_take("s", False, 0.0) == ""


def test_hedge_is_not_queued_and_takes_no_slot_from_who_waits():
    scheduler = slots.SlotScheduler()
    endpoints = {"e-1": builders.make_endpoint("e-1", slots=1)}
    scheduler.update_endpoints(endpoints, 0.0)

    def ask(id_, now, **changes):
        request = builders.make_slot_request(id_, **changes)
        decided = scheduler.request_slot("gate-0", request, now)
        return {each.result.id: each.result for each in decided}

    hedge = {"rank": messages.HEDGE_RANK, "wait_until": 1.0}
    assert isinstance(ask("r-1", 1.0)["r-1"], messages.Granted)
    assert ask("h-1", 1.0, **hedge)["h-1"].reason in messages.NO_ROOM
    assert ask("r-2", 1.0, rank=5) == {}
    assert ask("h-2", 1.0, **hedge)["h-2"].reason in messages.NO_ROOM
    released = scheduler.release("r-1", messages.Outcome.SERVED, 1.1)
    assert [each.result.id for each in released] == ["r-2"]
    assert scheduler.queue_length == 0


def test_both_attempts_go_on_until_one_has_the_answer():
    race = replacement.Replacement(0.1, replace_at=1.0)
    assert race.step(0.1) is Step.SEEK
    race.sought()
    race.sent(0.11)
    assert race.step(60.0) is Step.WAIT
    race.replaced()
    assert race.step(60.0) is Step.SWITCH


@pytest.mark.parametrize("pause_seconds", [0.0, 5.0])
def test_without_a_hedge_a_silent_attempt_is_replaced_when_it_always_was(
    pause_seconds,
):
    race = replacement.Replacement(0.1, replace_at=1.0)
    race.unavailable(pause_seconds, 0.1)
    assert race.due == 1.0
    assert not race.hedges
    assert race.step(1.0) is Step.SEEK
    race.sought()
    race.sent(1.1)
    assert race.step(1.1 + replacement.OVERLAP_SECONDS) is Step.SWITCH
