"""When a silent attempt is replaced, and which of the two goes on."""

import math

import pytest

from cranberryglade.gateway import configuration
from cranberryglade.gateway import replacement
from cranberryglade.tests import gateway_builders as builders

Step = replacement.Step
OVERLAP = replacement.OVERLAP_SECONDS
PAUSE = replacement.MIN_SEEK_PAUSE_SECONDS


def seek(at=0.0) -> replacement.Replacement:
    """Returns a silence in which another endpoint is sought."""
    silence = replacement.Replacement(at)
    assert silence.step(at) is Step.SEEK
    silence.sought()
    return silence


def test_pausing_endpoint_is_kept_while_all_others_are_full():
    # Load: all endpoints are full, and one pauses for 1.8 s.
    silence = replacement.Replacement(0.0)
    now = 0.0
    while now < 1.8:
        match silence.step(now):
            case Step.SEEK:
                silence.sought()
                silence.unavailable(0.0, now)
                assert silence.due == now + PAUSE
            case step:
                assert step is Step.WAIT
        now = min(silence.due, 1.8)
    silence.resumed()
    assert silence.step(now) is Step.KEEP


def test_stalled_endpoint_is_replaced_once_another_has_a_slot():
    # Load: an endpoint stalls for good; the others are full for half a second.
    silence = replacement.Replacement(0.0)
    assert silence.step(0.0) is Step.SEEK
    silence.sought()
    silence.unavailable(0.5, 0.0)
    assert silence.step(0.49) is Step.WAIT
    assert silence.step(0.5) is Step.SEEK
    silence.sought()
    assert math.isinf(silence.due)
    assert silence.step(0.6) is Step.WAIT
    silence.sent(0.7)
    assert silence.step(0.7) is Step.WAIT
    silence.replaced()
    assert silence.step(0.71) is Step.SWITCH


def test_two_attempts_overlap_for_a_bounded_time():
    silence = seek()
    silence.sent(1.0)
    assert silence.due == 1.0 + OVERLAP
    assert silence.step(silence.due - 0.01) is Step.WAIT
    assert silence.step(silence.due) is Step.SWITCH


def test_the_earlier_attempt_goes_on_if_both_send():
    silence = seek()
    silence.sent(0.1)
    silence.replaced()
    silence.resumed()
    assert silence.step(0.1 + OVERLAP) is Step.KEEP


def test_refused_replacement_leaves_the_silent_attempt_open():
    silence = seek()
    silence.sent(0.1)
    silence.unavailable(0.0, 0.15)
    assert silence.step(0.15 + OVERLAP) is Step.WAIT
    assert silence.step(0.15 + PAUSE) is Step.SEEK


def test_nothing_is_sought_after_a_refusal_for_good():
    silence = seek()
    silence.unavailable(math.inf, 0.0)
    assert math.isinf(silence.due)
    assert silence.step(1e9) is Step.WAIT


def test_lost_attempt_waits_for_the_slot_that_is_sought_already():
    silence = seek()
    silence.lost()
    assert silence.step(0.1) is Step.WAIT
    silence.sent(0.2)
    assert silence.step(0.2) is Step.SWITCH


def test_lost_attempt_without_replacement_ends_the_silence():
    silence = seek()
    silence.lost()
    silence.unavailable(5.0, 0.1)
    assert silence.step(0.1) is Step.KEEP


@pytest.mark.parametrize(
    "kind", [configuration.Kind.ONCE, configuration.Kind.STREAM]
)
def test_no_silence_replaces_what_must_not_be_sent_again(kind):
    route = builders.make_route(kind=kind)
    assert replacement.silence_seconds(route, begun=False) is None
    assert replacement.silence_seconds(route, begun=True) is None


@pytest.mark.parametrize("latency", [0.05, 0.5, 3.0])
@pytest.mark.parametrize("gap", [0.05, 0.5, 3.0])
def test_another_endpoint_is_sought_before_the_caller_leaves(latency, gap):
    route = builders.make_route(
        kind=configuration.Kind.RESUMABLE,
        target_latency_seconds=latency,
        max_gap_seconds=gap,
    )
    timeout = replacement.caller_timeout_seconds(route)
    for begun in (False, True):
        silence = replacement.silence_seconds(route, begun)
        # The other endpoint has its objective, and 0.1 s for a slot.
        assert silence <= timeout - max(0.2, latency) - 0.1
        assert silence <= max(1.8, timeout / 2)


@pytest.mark.parametrize("latency", [0.05, 0.2, 0.6, 0.8, 3.0])
@pytest.mark.parametrize("gap", [0.05, 0.4, 0.5, 0.6, 3.0])
def test_pausing_stream_is_not_given_up_unheard(latency, gap):
    route = builders.make_route(
        kind=configuration.Kind.RESUMABLE,
        target_latency_seconds=latency,
        max_gap_seconds=gap,
    )
    for begun in (False, True):
        silence = replacement.silence_seconds(route, begun)
        assert silence + OVERLAP >= 1.9 - 1e-9


def test_second_silence_in_a_row_is_borne_for_what_the_caller_has_left():
    route = builders.make_route(
        kind=configuration.Kind.RESUMABLE,
        target_latency_seconds=0.2,
        max_gap_seconds=0.4,
    )
    left = 3.2 - 1.8
    silence = replacement.silence_seconds(route, False, silent_seconds=1.8)
    assert silence <= left - 0.3


def test_another_endpoint_is_sought_before_the_deadline():
    route = builders.make_route(
        kind=configuration.Kind.RESUMABLE,
        target_latency_seconds=0.2,
        max_gap_seconds=0.1,
    )
    assert replacement.silence_seconds(route, True, 1.2) <= 0.9
    # No event may be late before another endpoint is sought.
    assert replacement.silence_seconds(route, True, 0.1) >= 0.1
