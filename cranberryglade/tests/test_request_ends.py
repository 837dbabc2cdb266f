"""Places where a request that was read could end without its whole answer."""

import asyncio

from cranberryglade.gateway import sending
from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import gateway_cluster

Cluster = gateway_cluster.Cluster

RESUMABLE = "/write/1"

LONG_SILENCE_SECONDS = 60.0


def short_gap_cluster(**route_fields) -> Cluster:
    config = builders.make_short_gap_config(**route_fields)
    return Cluster(runners=2, config=config)


def fall_silent(cluster) -> None:
    """Lets the endpoint that is asked first fall silent within its stream."""
    for endpoint in cluster.runners:
        endpoint.default_behaviour = endpoint.silent_within(
            3, 6, LONG_SILENCE_SECONDS
        )


async def begin_stream(cluster):
    """Begins a stream; returns its caller, its endpoint and the other one."""
    caller = await cluster.connect()
    caller.request(target=RESUMABLE, method="POST")
    await gateway_cluster.wait_until(
        lambda: any(each.ran for each in cluster.runners)
    )
    first, other = sorted(cluster.runners, key=lambda each: not each.ran)
    return caller, first, other


async def is_whole(caller) -> bool:
    answer = await asyncio.wait_for(caller.answer(), 3.0)
    return answer.whole and answer.body == builders.make_events(1, 6)


async def test_stream_that_goes_on_while_its_replacement_fails_is_not_torn(
    monkeypatch,
):
    # The silence ends while it is asked why the other endpoint failed.
    has_ended = sending.Sender.has_ended
    async with short_gap_cluster() as cluster:
        fall_silent(cluster)
        caller, first, other = await begin_stream(cluster)

        async def go_on_and_ask(sender, endpoint):
            first.silence_over.set()
            await asyncio.sleep(0.05)
            return await has_ended(sender, endpoint)

        monkeypatch.setattr(sending.Sender, "has_ended", go_on_and_ask)
        other.default_behaviour = other.reset
        assert await is_whole(caller)
        assert first.disconnected == []
