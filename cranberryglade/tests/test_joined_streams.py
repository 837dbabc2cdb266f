"""A stream that breaks off goes on with its own events, or ends incomplete."""

import asyncio

import pytest

from cranberryglade.gateway import event_streams
from cranberryglade.gateway import responding
from cranberryglade.standins import endpoint_standin
from cranberryglade.tests import gateway_builders as builders
from cranberryglade.tests import gateway_cluster
from cranberryglade.tests import stream_replies

Cluster = gateway_cluster.Cluster
WHOLE = builders.make_events(1, stream_replies.LAST)


async def receive(reply, first=None):
    """Returns the answer whose stream breaks off and goes on with a reply.

    Args:
        reply: what the second endpoint sends.
        first: returns what the first one sends, given that endpoint.
    """
    async with Cluster(runners=2) as cluster:
        for endpoint in cluster.runners:
            endpoint.default_behaviour = stream_replies.going_on_with(
                endpoint, reply, first and first(endpoint)
            )
        answer = await cluster.send_request(target="/write/1", method="POST")
        sent = [
            each.headers.get("last-event-id")
            for endpoint in cluster.runners
            for each in endpoint.received
        ]
        return answer, sorted(sent, key=str)


@pytest.mark.parametrize("name", stream_replies.FOREIGN_REPLIES)
async def test_no_bytes_of_another_answer_enter_a_stream(name):
    answer, sent = await receive(stream_replies.FOREIGN_REPLIES[name])
    assert sent == ["3", None]
    assert answer.status == 200
    assert not answer.whole
    count = answer.body.count(b"id:")
    assert count >= stream_replies.BROKEN_AFTER
    assert answer.body == builders.make_events(1, count)


@pytest.mark.parametrize("name", stream_replies.SOUND_REPLIES)
async def test_stream_goes_on_and_ends_whole(name):
    reply = stream_replies.SOUND_REPLIES[name]
    answer, sent = await receive(reply)
    assert sent == ["3", None]
    assert answer.whole
    begin = builders.make_events(1, stream_replies.BROKEN_AFTER)
    assert answer.body == begin + reply.body


async def test_broken_stream_without_ids_is_not_sent_from_its_start_again():
    events = b"data: piece 1\n\ndata: piece 2\n\n"
    chunk = b"%x\r\n%s\r\n" % (len(events), events)

    def break_off(endpoint):
        async def behave(received, reader, writer):
            await endpoint.in_chunks(chunk)(received, reader, writer)
            await asyncio.sleep(endpoint_standin.DELIVERY_SECONDS)
            writer.close()

        return behave

    answer, sent = await receive(stream_replies.Reply(WHOLE), break_off)
    assert sent == [None]
    assert answer.body == events
    assert not answer.whole


@pytest.mark.parametrize("body", [stream_replies.SECOND_HEAD, b"oh no\n\n"])
async def test_bytes_that_are_no_events_end_a_stream_as_broken(body):
    # The endpoint closes the connection behind an error that it wrote late.
    def fail_late(endpoint):
        async def behave(received, reader, writer):
            reply = stream_replies.Reply(
                builders.make_events(1, 2) + body,
                framing=stream_replies.Framing.CONNECTION_CLOSE,
            )
            writer.write(reply.encode(received.request_id))
            await writer.drain()
            writer.close()

        return behave

    answer, _ = await receive(stream_replies.Reply(b"", 500), fail_late)
    assert answer.body in (b"", builders.make_events(1, 2))
    assert not answer.whole


class RecordingConnection:
    """Records what a responder writes."""

    def __init__(self):
        self.written = b""
        self.closing = False
        self.may_keep_alive = True

    def write(self, data: bytes) -> None:
        """Records bytes."""
        self.written += data


def test_a_second_head_is_never_written():
    connection = RecordingConnection()
    responder = responding.Responder(connection, True)
    responder.start(200, b"", [], None)
    head = connection.written
    with pytest.raises(responding.HeadRepeatedError):
        responder.whole(502, [], b"failed")
    assert connection.written == head


def join(before: bytes, *after: bytes) -> bytes:
    """Returns the events that a splitter passes on after a break."""
    splitter = event_streams.EventSplitter("")
    splitter.feed(before)
    splitter.begin_join()
    return b"".join(map(splitter.feed, after))


def with_ids(*ids) -> bytes:
    return b"".join(b"id: %d\ndata: x\n\n" % id_ for id_ in ids)


def test_ids_that_do_not_count_by_one_may_go_on_with_any_larger_id():
    assert join(with_ids(2, 4, 9), with_ids(15)) == with_ids(15)
    for id_ in (1, 8, 9):
        with pytest.raises(event_streams.WrongEventError):
            join(with_ids(2, 4, 9), with_ids(id_))


def test_ids_that_count_by_one_go_on_by_one():
    for before in (with_ids(7, 8), with_ids(0, 1, 2, 3, 4, 5, 6, 7, 8)):
        assert join(before, with_ids(9, 10)) == with_ids(9, 10)
        for id_ in (8, 10):
            with pytest.raises(event_streams.WrongEventError):
                join(before, with_ids(id_))


def test_second_break_is_checked_as_well():
    splitter = event_streams.EventSplitter("")
    for begin in (1, 3, 5):
        assert splitter.feed(with_ids(begin, begin + 1) + b"id: 9") != b""
        splitter.begin_join()
    with pytest.raises(event_streams.WrongEventError):
        splitter.feed(with_ids(5))


@pytest.mark.parametrize(
    "events",
    [
        b"\xef\xbb\xbfid: 1\ndata: x\n\n",
        b"data\n\n",
        b"event: end\r\ndata: [DONE]\r\n\r\n",
        b": comment\rid: 2\rdata\r\r",
        b"retry: 10\n\n",
        b"x-weight-versions: 7\nid: 3\ndata: a: b\n\n\n\n",
    ],
)
def test_lines_of_events_pass(events):
    assert event_streams.EventSplitter("").feed(events) == events
