"""Steps that bring a request into a state, and then an event to it.

The random walk begins some of its walks with these, for cells that no request
came through yet.
"""

from collections.abc import Collection
from collections.abc import Iterator

from cranberryglade.checking import request_life
from cranberryglade.checking import steps

State = request_life.State
Event = request_life.Event

_SILENCE = ("wait short",) * 6
"""Longer than `observed.SILENT_SECONDS`, in waits that are shorter than the
0.2 s for which two endpoints have a request."""

_REPLACEMENT = ("wait short",) * 17
"""Until another endpoint has got a silent request as well."""

_LAST_SECOND = ("wait longer",) + ("wait short",) * 6
"""From the start of a request to shortly before its time limit."""

_LIMIT = ("wait short",) * 4
"""From shortly before a time limit to shortly after it."""

_START = ("start e0", "start e1")
_EVENT = ("event e0", "event e1")

_Words = tuple[str, ...]

_WAYS: dict[State, tuple[tuple[str, _Words], ...]] = {
    State.HEAD: (("pay", ("begin pay",)), ("write", ("begin write",))),
    State.BODY: (
        ("pay", ("begin pay",) * 2),
        ("look", ("send write", "begin look", "begin look")),
    ),
    State.QUEUED: (("look", ("send write", *_EVENT, "send look")),),
    State.WAITING: (("write", ("send pay", "send note", "send write")),),
    State.PASSED_ON: (
        ("pay", ("send pay",)),
        ("look", ("send write", "finish e0", "finish e1", "send look")),
    ),
    State.STREAM_BEGUN: (
        ("write", ("send write", *_START)),
        ("note", ("send note", *_START)),
    ),
    State.STREAMING: (
        ("write", ("send write", *_EVENT)),
        ("note", ("send note", *_EVENT)),
    ),
    State.SILENT: (
        ("write", ("send write", *_SILENCE)),
        ("pay", ("send pay", *_SILENCE)),
    ),
    State.REPLACED: (
        ("write", ("send write", *_EVENT, *_REPLACEMENT)),
        ("write", ("send write", *_EVENT, *_REPLACEMENT, "wait short")),
    ),
    State.BETWEEN: (
        (
            "write",
            ("send pay", "send note", *_START, "leave note", "send write"),
        ),
        ("write", ("send write", *_EVENT, "lose-store", "reset e0 +1")),
        ("write", ("send write", *_EVENT, "send pay", "reset e1", "reset e0")),
        ("write", ("send write", *_EVENT, "reset e0")),
        ("write", ("send write", *_EVENT, "reset e1")),
    ),
    State.ANSWERED: (("pay", ("send pay", "finish e0", "finish e1")),),
}
"""For each state a request and the steps that bring it there. Which endpoint
gets a request is the gateway's choice, so that both are told."""

_EVENTS: dict[Event, tuple[_Words, ...]] = {
    Event.CALLER_LEFT: (("leave {request}",),),
    Event.ENDPOINT_LOST: (("reset e0",), ("reset e1",)),
    Event.ENDPOINT_SILENT: (("wait long",), _LIMIT),
    Event.SLOT_REFUSED: (("refuse e0",), ("refuse e1",)),
    Event.CONFIGURED: (("configure",),),
    Event.STOPPING: (("sigterm",),),
    Event.DRAIN_ENDED: (("sigterm", "wait longer", "wait longer"),),
    Event.TIME_LIMIT: (
        ("wait longer", "wait long"),
        (*_LAST_SECOND, *_START, *_LIMIT),
        (*_LAST_SECOND, *_EVENT, *_LIMIT),
    ),
}

_DRAINED = (
    "send write",
    *_EVENT,
    "sigterm",
    "wait longer",
    "send look",
    "wait short",
    "finish e0",
    "finish e1",
)
"""Brings a request to the end of the drain: the route's time is shorter than
the drain, so that only a request sent during it is open at its end."""

_DRAIN_WAYS: tuple[_Words, ...] = (
    (*_DRAINED, "wait longer"),
    (*_DRAINED, *("wait short",) * 16, *_START, *_LIMIT, *_LIMIT),
)


def aimed(cells: Collection[request_life.Position]) -> list[steps.Trace]:
    """Returns traces that may bring requests through some of the cells."""
    return [
        steps.parse("\n".join(words)).unwrap()
        for cell in cells
        for words in _words(cell)
    ]


def _words(cell: request_life.Position) -> Iterator[_Words]:
    for request, way in _WAYS.get(cell.state, ()):
        for event in _EVENTS.get(cell.event, ()):
            yield (*way, *(each.format(request=request) for each in event))
    if cell.event is Event.DRAIN_ENDED:
        yield from _DRAIN_WAYS
