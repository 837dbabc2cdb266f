"""Requests that arrive while an instance starts."""

import pytest

from cranberryglade.gateway_settings import features
from cranberryglade.tests import gateway_cluster
from cranberryglade.warmup import options
from cranberryglade.warmup import waits

Cluster = gateway_cluster.Cluster


def make_options(max_wait_ms: int) -> features.Features:
    return features.Features(warmup=options.WarmupOptions(max_wait_ms))


@pytest.mark.parametrize(
    ("arrived", "until"), [(100.0, 100.4), (100.8, 101.0), (130.0, 101.0)]
)
def test_wait_ends_with_the_warmup(arrived, until):
    """An instance that is out of reach of the store refuses at once."""
    warmup = waits.Warmup(100.0, 0.4)
    assert warmup.wait_until(arrived) == pytest.approx(until)


async def test_request_that_arrives_at_the_start_is_not_refused():
    """All instances were killed; callers are back before the configuration."""
    async with Cluster(gateways=0, options=make_options(2000)) as cluster:
        await cluster.add_gateway("gate-0")
        answer = await cluster.send_request()
    assert answer.status == 200


async def test_without_the_option_it_is_refused_as_not_run():
    async with Cluster(gateways=0) as cluster:
        await cluster.add_gateway("gate-0")
        answer = await cluster.send_request()
        assert answer.status == 503
        assert not cluster.runners[0].received


async def test_request_is_refused_if_the_configuration_does_not_come():
    """The store is down at the start: nobody waits for longer than allowed."""
    async with Cluster(gateways=0, options=make_options(200)) as cluster:
        cluster.store.faults.hang = True
        await cluster.add_gateway("gate-0")
        answer = await cluster.send_request()
        assert answer.status == 503
        assert answer.headers["retry-after"]
        assert not cluster.runners[0].received
