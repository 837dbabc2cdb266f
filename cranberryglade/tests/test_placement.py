"""Replays of uneven demand and endpoints; each names what it guards against."""

import pytest

from cranberryglade.placement import options
from cranberryglade.tools import placement_replay as replay

NEAR = options.PlacementOptions(remote_cost=1.5)
UNEVEN = (0.68, 0.68, 3.0)
SLOWER = 1.03
"""Growth of the mean time that shorter ways may cost."""


def play(placement=None, **load) -> replay.Result:
    placement = placement or options.PlacementOptions()
    return replay.play(replay.Plan(placement, **load))


@pytest.mark.parametrize(
    "load, least_own",
    [
        pytest.param({}, 0.8, id="demand rises and falls in turn"),
        pytest.param({"load": 0.7}, 0.8, id="as much as the domains can run"),
        pytest.param({"lost": 0}, 0.7, id="a domain loses its endpoints"),
        pytest.param({"endpoint_domains": 2}, 0.6, id="one has no endpoints"),
        pytest.param({"speeds": UNEVEN, "load": 0.6}, 0.8, id="uneven speeds"),
    ],
)
def test_work_stays_in_its_domain_and_takes_no_longer(load, least_own):
    before, near = play(**load), play(NEAR, **load)
    assert before.own_share < 0.4
    assert near.own_share >= least_own
    assert near.mean_seconds <= SLOWER * before.mean_seconds
    assert near.denied == before.denied == 0
    assert near.urgent_late_share <= before.urgent_late_share


def test_slow_endpoint_nearby_is_not_preferred_to_a_fast_one_elsewhere():
    far = options.PlacementOptions(remote_cost=4.0)
    result = play(far, speeds=UNEVEN, load=0.4)
    # Before an endpoint has a pace, nobody knows that it is slow.
    known = [each for each in result.served if each.granted_at > 4.0]
    assert sum(each.endpoint % 3 == 2 for each in known) < 0.02 * len(known)


def test_work_does_not_oscillate_between_domains():
    result = play(NEAR, swing=0.0, load=0.6)
    windows = [
        [e.own for e in result.served if at <= e.granted_at < at + 1.0]
        for at in range(4, 24)
    ]
    shares = [sum(each) / len(each) for each in windows]
    assert max(shares) - min(shares) < 0.25
