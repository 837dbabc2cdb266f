"""Planned restarts refuse nothing below a quota; kills let nothing beyond it.

The bound of what may be refused below a quota is 1 in 200 requests: the
operators' bound for planned restarts.
"""

import asyncio

import pytest
import structlog

from cranberryglade.gateway import datagrams
from cranberryglade.gateway import final_usage
from cranberryglade.gateway import quotas
from cranberryglade.gateway import usage_handover
from cranberryglade.standins import operator_configuration
from cranberryglade.tests import gateway_cluster
from cranberryglade.tests import restart_series

Site = restart_series.Site

COUNT = 70
MAX_REFUSED_SHARE = 1 / 200
DRAIN_SECONDS = 3.0
DOWN_SECONDS = 0.5
PRESSURE = 2.0
"""What an organisation asks that presses, of its quota."""

STEP_TOLERANCE = 0.02
"""What may be granted in one step of the simulation, of the quota."""

NAMES = [f"gate-{number:03}" for number in range(COUNT)]
SERIES = {
    "a tenth at a time": [NAMES[at : at + 7] for at in range(0, COUNT, 7)],
    "one at a time": [[name] for name in NAMES[:8]],
    "a third at a time, all of them within a window": [
        NAMES[:23],
        NAMES[23:46],
        NAMES[46:],
    ],
    "the allocator, then its successor": [NAMES[:1], NAMES[1:2]],
    "the allocator and its successor": [NAMES[:2]],
}


def restart(site: Site, names: list[str], load: float, told: int = 8) -> None:
    """Restarts instances as planned; all of them at once."""
    for name in names:
        site.stop(name)
    site.run(DRAIN_SECONDS, load)
    for name in names:
        site.end(name, told)
    site.run(DOWN_SECONDS, load)
    for name in names:
        site.start(name)


def run_series(site: Site, series: list[list[str]], load: float) -> None:
    site.run(restart_series.WINDOW_SECONDS, load)
    for names in series:
        restart(site, names, load)
    site.run(restart_series.WINDOW_SECONDS, load)


@pytest.mark.parametrize("series", SERIES)
def test_planned_restarts_refuse_nothing_below_a_quota(series):
    site = Site(COUNT)
    run_series(site, SERIES[series], 0.7)
    assert site.refused / site.asked <= MAX_REFUSED_SHARE
    # One change of the allocator for each group that is stopped, and back.
    assert len(site.allocators) <= 1 + 2 * len(SERIES[series])


@pytest.mark.parametrize("series", SERIES)
@pytest.mark.parametrize("told", [1, 8])
def test_planned_restarts_let_nothing_beyond_a_quota(series, told):
    site = Site(COUNT)
    assert press_in_restarts(site, SERIES[series], told) <= 1 + STEP_TOLERANCE


def press_in_restarts(site: Site, series: list[list[str]], told: int) -> float:
    site.run(restart_series.WINDOW_SECONDS, PRESSURE)
    for names in series:
        restart(site, names, PRESSURE, told)
    site.run(restart_series.WINDOW_SECONDS, PRESSURE)
    return site.most_granted()


def test_where_nothing_is_told_the_same_is_let_through_as_without_it():
    # All are killed just before they would have told it.
    series = SERIES["a tenth at a time"]
    without = Site(COUNT, hands_over=False)
    assert press_in_restarts(Site(COUNT), series, 0) == press_in_restarts(
        without, series, 0
    )


def press_in_kills(site: Site, others: int) -> float:
    """Kills some while they hand over, and some that know the usage.

    Of 35 that stop, 20 tell it; the others are killed, with `others` of those
    that do not stop.
    """
    site.run(restart_series.WINDOW_SECONDS, PRESSURE)
    stopped, running = NAMES[:35], NAMES[35:]
    for name in stopped:
        site.stop(name)
    site.run(DRAIN_SECONDS, PRESSURE)
    for name in stopped[:20]:
        site.end(name)
    for name in stopped[20:] + running[:others]:
        site.kill(name)
    site.run(DOWN_SECONDS, PRESSURE)
    for name in stopped + running[:others]:
        site.start(name)
    site.run(2 * restart_series.WINDOW_SECONDS, PRESSURE)
    return site.most_granted()


@pytest.mark.parametrize("others", [0, 1, 8, 34])
def test_kills_in_a_handover_let_no_more_through_than_without_it(others):
    without = press_in_kills(Site(COUNT, hands_over=False), others)
    assert press_in_kills(Site(COUNT), others) <= without


def make_final(incarnation: str, began_at: float, ended_at: float):
    return final_usage.FinalUsage(
        incarnation,
        (final_usage.Period(began_at, ended_at),),
        (quotas.Usage("studio", 80.0, ended_at - 1.0, "life-9"),),
    )


def test_a_life_that_told_nothing_stays_unknown():
    # One was killed between the two.
    kept = final_usage.KeptUsage()
    assert kept.keep("gate-0", make_final("life-1", 0.0, 10.0), "life-1")
    final = kept.usage_before("gate-0", "life-3")
    known = final_usage.known_seconds_of(1.0, final.periods, 8.0, 14.0)
    assert known == 8.0 - 3.0


def test_the_usage_of_one_life_is_told_to_the_next_only():
    kept = final_usage.KeptUsage()
    kept.keep("gate-0", make_final("life-1", 0.0, 10.0), "life-1")
    assert kept.usage_before("gate-0", "life-1") is None
    assert kept.usage_before("gate-0", "life-2") is not None
    assert kept.usage_before("gate-0", "life-3") is None
    assert kept.usage_before("gate-0", "life-2") is None


def test_final_usage_that_arrives_after_the_next_life_is_not_kept():
    kept = final_usage.KeptUsage()
    assert not kept.keep("gate-0", make_final("life-1", 0.0, 10.0), "life-2")
    assert kept.usage_before("gate-0", "life-2") is None


def test_final_usage_is_kept_for_one_window():
    kept = final_usage.KeptUsage()
    kept.keep("gate-0", make_final("life-1", 0.0, 10.0), "")
    kept.expire(10.5)
    assert kept.usage_before("gate-0", "life-2") is None


def test_a_later_final_usage_replaces_an_earlier_one():
    charging = restart_series.make_charges()
    assert charging.adopt(make_final("life-2", 5.0, 10.0))
    assert not charging.adopt(make_final("life-2", 5.0, 10.1))
    assert not charging.adopt(make_final("life-1", 0.0, 4.0))
    assert charging.adopt(make_final("life-3", 10.5, 12.0))
    (usage,) = charging.usage_not_granted_by("own", 12.5)
    assert usage.cost == 80.0


def test_an_allocator_counts_its_own_grants_to_an_earlier_life_once():
    charging = restart_series.make_charges()
    charging.adopt(make_final("life-1", 0.0, 10.0))
    assert charging.usage_not_granted_by("life-9", 10.5) == []
    assert len(charging.usage_not_granted_by("life-8", 10.5)) == 1


def test_a_report_without_earlier_periods_counts_by_the_uptime():
    # The former build reports none.
    report = datagrams.Report([], [])
    periods = final_usage.decode_periods(report.earlier, 50.0)
    assert final_usage.known_seconds_of(2.0, periods, 8.0, 50.0) == 2.0


async def test_an_instance_that_starts_again_gets_its_usage_back():
    config = operator_configuration.a_config()
    cluster = gateway_cluster.Cluster(
        gateways=3, config=config, grace_seconds=1.0
    )
    with structlog.testing.capture_logs() as lines:
        async with cluster:
            for number in range(6):
                answer = await cluster.send_request(
                    1, X_Attempt_Id=f"a-{number}"
                )
                assert answer.status == 200
            cluster.gateways[1].stop()
            await cluster.gateways[1].drain()
            await cluster.add_gateway("gate-1")
            await gateway_cluster.wait_until(
                lambda: any(line["event"] == "usage.adopted" for line in lines)
            )
            charging = cluster.gateways[-1]._usage_handover._charges
            now = asyncio.get_running_loop().time()
            usages = charging.usage_not_granted_by("", now)
            assert sum(each.cost for each in usages) >= 6
    (finished,) = [each for each in lines if each["event"] == "usage.finished"]
    assert finished["told"] == 2


async def test_an_instance_that_was_killed_gets_no_usage_back():
    with structlog.testing.capture_logs() as lines:
        async with gateway_cluster.Cluster(gateways=3) as cluster:
            assert (await cluster.send_request(1)).status == 200
            cluster.gateways[1].close()
            added = await cluster.add_gateway("gate-1")
            await gateway_cluster.wait_until(lambda: added.is_ready(1, 1))
            await asyncio.sleep(0.5)
    events = {line["event"] for line in lines}
    assert not events & {"usage.finished", "usage.adopted"}


async def test_final_usage_that_fits_no_datagram_does_not_count_as_told(
    monkeypatch,
):
    monkeypatch.setattr(usage_handover, "MAX_BYTES", 10)
    cluster = gateway_cluster.Cluster(gateways=2, grace_seconds=1.0)
    with structlog.testing.capture_logs() as lines:
        async with cluster:
            cluster.gateways[1].stop()
            await cluster.gateways[1].drain()
    (finished,) = [each for each in lines if each["event"] == "usage.finished"]
    assert finished["told"] == 0
