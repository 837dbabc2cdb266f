"""No stream of a sound endpoint is torn, whenever and wherever it pauses."""

import asyncio
import random

import pytest

from cranberryglade.standins import endpoint_standin
from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import gateway_cluster

LAST = 6
WHOLE = builders.make_events(1, LAST)
PAUSE_SECONDS = (0.6, 1.9)
LOAD_SECONDS = 4.0
RUNNERS = 3
SLOTS = 4
EVENT_GAP_SECONDS = 0.05
LOW_PER_SECOND = 8
OVER_CAPACITY_PER_SECOND = 60
BROKEN_SHARE = 0.3


CONFIG = builders.make_operator_config(
    timeout_ms=8000, target_latency_ms=800, gap_aim_ms=500, max_attempts=2
)


def pausing_anywhere(
    endpoint: endpoint_standin.EndpointStandin, draw: random.Random
) -> endpoint_standin.Behaviour:
    """Returns a sound stream that pauses once, before any of its parts."""
    seconds = draw.uniform(*PAUSE_SECONDS)
    silent_after = draw.randint(-1, LAST)
    if silent_after < 0:
        return endpoint.silent_first(seconds, endpoint.events(1, LAST))
    within_event = silent_after < LAST and draw.random() < 0.5
    return endpoint.silent_within(
        silent_after, LAST, seconds, within_event=within_event
    )


def sometimes_without_end(
    endpoint: endpoint_standin.EndpointStandin, draw: random.Random
) -> endpoint_standin.Behaviour:
    """Returns a stream that may break off behind its last event."""
    if draw.random() < BROKEN_SHARE:
        return endpoint.without_end(LAST)
    return endpoint.events(1, LAST)


async def play(per_second, begin):
    """Returns the answers to streams that begin as drawn.

    Args:
        per_second: requests a second.
        begin: returns how an endpoint begins a stream, given that endpoint
            and what draws.
    """
    draw = random.Random(per_second)
    async with gateway_cluster.Cluster(
        runners=RUNNERS, config=CONFIG, retry_slack=1000.0
    ) as cluster:
        for endpoint in cluster.runners:
            endpoint.event_gap_seconds = EVENT_GAP_SECONDS
            cluster.register_runner(endpoint, slots=SLOTS)

            async def behave(received, reader, writer, endpoint=endpoint):
                seen = received.headers.get("last-event-id")
                if seen is None:
                    behaviour = begin(endpoint, draw)
                else:
                    behaviour = endpoint.events(int(seen) + 1, LAST)
                await behaviour(received, reader, writer)

            endpoint.default_behaviour = behave
        await cluster.wait_for_endpoints(
            lambda listed: all(each.slots == SLOTS for each in listed.values())
        )
        sending = []
        for number in range(int(LOAD_SECONDS * per_second)):
            request = cluster.send_request(
                target="/write/1", method="POST", X_Attempt_Id=f"a-{number}"
            )
            sending.append(asyncio.create_task(request))
            await asyncio.sleep(1 / per_second)
        return await asyncio.gather(*sending)


@pytest.mark.parametrize(
    "per_second", [LOW_PER_SECOND, OVER_CAPACITY_PER_SECOND]
)
@pytest.mark.parametrize("begin", [pausing_anywhere, sometimes_without_end])
async def test_no_stream_that_has_a_sound_endpoint_is_torn(begin, per_second):
    answers = await play(per_second, begin)
    torn = [a for a in answers if a.status == 200 and not a.whole]
    served = [a for a in answers if a.status == 200 and a.whole]
    assert not torn
    assert all(answer.body == WHOLE for answer in served)
    if per_second == LOW_PER_SECOND:
        assert len(served) == len(answers)
    else:
        assert {a.status for a in answers} <= {200, 429, 503}
