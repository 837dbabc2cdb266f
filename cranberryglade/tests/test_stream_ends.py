"""A stream whose events have all been sent ends whole, however late its end."""

import pytest

from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import gateway_cluster
from cranberryglade.tests import stream_replies

Cluster = gateway_cluster.Cluster
Reply = stream_replies.Reply
Framing = stream_replies.Framing
LAST = stream_replies.LAST
WHOLE = builders.make_events(1, LAST)
NOTHING_LEFT = Reply(b"")


async def receive(begin, *replies):
    """Returns the answer whose stream breaks off and goes on with replies.

    Args:
        begin: returns what the first endpoint sends, given that endpoint.
        *replies: what the further endpoints send, in order.
    """
    remaining = list(replies)
    config = builders.make_operator_config(max_attempts=1 + len(replies))
    async with Cluster(runners=1 + len(replies), config=config) as cluster:
        for endpoint in cluster.runners:
            first = begin(endpoint)

            async def behave(received, reader, writer, first=first):
                if "last-event-id" not in received.headers:
                    await first(received, reader, writer)
                    return
                reply = remaining.pop(0)
                writer.write(reply.encode(received.request_id))
                await writer.drain()
                if reply.closes:
                    writer.close()

            endpoint.default_behaviour = behave
        answer = await cluster.send_request(target="/write/1", method="POST")
        assert not remaining
        return answer


@pytest.mark.parametrize("name", stream_replies.NOTHING_LEFT_REPLIES)
async def test_stream_that_broke_off_behind_its_last_event_ends_whole(name):
    answer = await receive(
        lambda endpoint: endpoint.without_end(LAST),
        stream_replies.NOTHING_LEFT_REPLIES[name],
    )
    assert answer.body == WHOLE
    assert answer.whole


@pytest.mark.parametrize("name", stream_replies.UNPROVEN_END_REPLIES)
async def test_stream_does_not_end_whole_if_more_may_be_left(name):
    answer = await receive(
        lambda endpoint: endpoint.without_end(LAST),
        stream_replies.UNPROVEN_END_REPLIES[name],
    )
    assert answer.body == WHOLE
    assert not answer.whole


async def test_stream_that_broke_off_before_its_stated_length_is_not_whole():
    # The length tells that more was left, whatever the next endpoint says.
    length = len(builders.make_events(1, LAST + 1))
    answer = await receive(
        lambda endpoint: endpoint.without_end(LAST, length), NOTHING_LEFT
    )
    assert answer.body == WHOLE
    assert not answer.whole


async def test_event_that_broke_off_is_missed_by_all_further_endpoints():
    answer = await receive(
        lambda endpoint: endpoint.events(1, LAST - 1, whole=False),
        Reply(b"", cut_bytes=2),
        NOTHING_LEFT,
    )
    assert answer.body == builders.make_events(1, LAST - 1)
    assert not answer.whole


async def test_event_that_broke_off_and_came_again_is_not_missed():
    last_event = builders.make_events(LAST, LAST)
    answer = await receive(
        lambda endpoint: endpoint.events(1, LAST - 1, whole=False),
        Reply(last_event, cut_bytes=len("0\r\n\r\n")),
        NOTHING_LEFT,
    )
    assert answer.body == WHOLE
    assert answer.whole


@pytest.mark.parametrize("leaves", [False, True])
async def test_stream_that_its_caller_resumes_behind_the_last_event_is_whole(
    leaves,
):
    async with Cluster(runners=2) as cluster:
        for endpoint in cluster.runners:
            endpoint.default_behaviour = endpoint.events(1, LAST)
        await cluster.send_request(target="/write/1", method="POST")
        if leaves:
            first = next(each for each in cluster.runners if each.ran)
            cluster.register_runner(first, state="draining")
            await cluster.wait_for_endpoints(
                lambda listed: listed[first.id].leaving
            )
        for endpoint in cluster.runners:
            endpoint.default_behaviour = endpoint.events(LAST + 1, LAST)
        answer = await cluster.send_request(
            target="/write/1",
            method="POST",
            X_Attempt_Id="a-2",
            Last_Event_Id=str(LAST),
            Resumes="a-1",
        )
        assert answer.status == 200
        assert answer.body == b""
        assert answer.whole
