"""A stream that flows is not ended before its time limit."""

import asyncio

import pytest

from cranberryglade.gateway import forwarding
from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import gateway_cluster

TIMEOUT_MS = 1500
MARGIN_SECONDS = 1.0
LAST = 4
EVENT_GAP_SECONDS = 0.25


@pytest.fixture(autouse=True)
def long_margin(monkeypatch):
    monkeypatch.setattr(forwarding, "ANSWER_MARGIN_SECONDS", MARGIN_SECONDS)


async def receive(target, behave_by):
    """Returns the answer of an endpoint, and the seconds that it took."""
    config = builders.make_operator_config(timeout_ms=TIMEOUT_MS)
    async with gateway_cluster.Cluster(config=config) as cluster:
        (endpoint,) = cluster.runners
        endpoint.event_gap_seconds = EVENT_GAP_SECONDS
        endpoint.default_behaviour = behave_by(endpoint)
        loop = asyncio.get_running_loop()
        sent = loop.time()
        answer = await cluster.send_request(target=target, method="POST")
        return answer, loop.time() - sent


@pytest.mark.parametrize("target", ["/write/1", "/note/1"])
async def test_stream_that_ends_just_before_its_time_limit_is_whole(target):
    answer, _ = await receive(target, lambda each: each.events(1, LAST))
    assert answer.body == builders.make_events(1, LAST)
    assert answer.whole


@pytest.mark.parametrize("target", ["/write/1", "/note/1"])
async def test_stream_that_lasts_longer_is_ended_at_its_time_limit(target):
    answer, seconds = await receive(target, lambda each: each.events(1, 99))
    assert not answer.whole
    assert TIMEOUT_MS / 1000 <= seconds < TIMEOUT_MS / 1000 + 0.5


async def test_timeout_is_still_answered_before_the_time_limit():
    answer, seconds = await receive("/write/1", lambda each: each.hang)
    assert answer.status == 504
    assert seconds < TIMEOUT_MS / 1000
