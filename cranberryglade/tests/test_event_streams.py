"""Splitting streams into events, wherever the data is cut."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from cranberryglade.gateway import event_streams
from cranberryglade.standins import endpoint_standin

EVENTS = [endpoint_standin.event(number) for number in range(1, 5)]
STREAM = b"".join(EVENTS)
BOUNDARIES = {len(b"".join(EVENTS[:count])) for count in range(5)}


@given(
    st.integers(0, len(STREAM)),
    st.lists(st.integers(0, len(STREAM)), max_size=6),
)
def test_a_stream_that_ends_anywhere_is_inside_an_event_or_between_two(
    end, cuts
):
    splitter = event_streams.EventSplitter("")
    starts = sorted({0, *(cut for cut in cuts if cut < end)})
    received = b"".join(
        splitter.feed(STREAM[start:stop])
        for start, stop in zip(starts, [*starts[1:], end], strict=True)
    )
    assert received == STREAM[: max(b for b in BOUNDARIES if b <= end)]
    assert splitter.within_event == (end not in BOUNDARIES)


@pytest.mark.parametrize("blank", [b"", b"\n", b"\r\n", b"\n\n\n"])
def test_blank_lines_after_the_last_event_do_not_begin_another(blank):
    splitter = event_streams.EventSplitter("")
    splitter.feed(STREAM + blank)
    assert not splitter.within_event


@pytest.mark.parametrize(
    "stream",
    [
        b"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
        b"id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
        b"id: 1\r\ndata: a\n\nid: 2\ndata: b\r\n\n",
        b"id: 1\ndata: a\n\r\nid: 2\r\ndata: b\n\r\n",
    ],
)
@pytest.mark.parametrize("piece_bytes", [1, 3, 100])
def test_events_end_at_a_blank_line_whatever_the_line_ends(stream, piece_bytes):
    splitter = event_streams.EventSplitter("")
    pieces = range(0, len(stream), piece_bytes)
    received = b"".join(
        splitter.feed(stream[start : start + piece_bytes]) for start in pieces
    )
    assert received == stream
    assert splitter.last_id == "2"
    assert not splitter.within_event
