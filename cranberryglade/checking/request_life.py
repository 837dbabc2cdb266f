"""What may become of a request on a gateway, as data.

The table gives one outcome for each state of a request and each event. It
performs no I/O. The explorer compares the ends of real requests with it.
"""

import dataclasses
import enum


class State(enum.Enum):
    """State of a request on the gateway that its caller sent it to."""

    HEAD = "head being read"
    BODY = "body being read"
    QUEUED = "queued behind another"
    WAITING = "waits for a slot"
    CONNECTING = "has a slot, connects"
    PASSED_ON = "passed on"
    STREAM_BEGUN = "head of a stream seen"
    STREAMING = "streaming"
    SILENT = "silent, another sought"
    REPLACED = "being replaced"
    BETWEEN = "between attempts, begun"
    ANSWERED = "answered"


class Event(enum.Enum):
    """What may come while a request is in a state."""

    CALLER_LEFT = "caller ends or resets"
    ENDPOINT_LOST = "endpoint ends, resets"
    ENDPOINT_SILENT = "endpoint silent"
    SLOT_REFUSED = "slot refused or taken back"
    CONFIGURED = "configuration changes"
    STOPPING = "SIGTERM"
    DRAIN_ENDED = "end of the drain"
    TIME_LIMIT = "time limit"
    ERROR = "error"


class Excuse(enum.Enum):
    """Why a request may end without a whole answer."""

    NOT_WHOLE = "it was not read whole"
    CALLER_LEFT = "its caller left"
    ENDPOINT_LOST = "the endpoint broke off"
    NO_SLOT = "no endpoint is left for the rest"
    DRAIN_ENDED = "the drain ended"
    TIME_LIMIT = "its time limit was reached"
    ERROR = "an error within the gateway"
    CUT_BEFORE = "the answer before it on its connection is cut"


@dataclasses.dataclass(slots=True, frozen=True)
class CannotHappen:
    """The event does not come in this state."""


@dataclasses.dataclass(slots=True, frozen=True)
class GoesOn:
    """The request goes on.

    Attributes:
        how: what becomes of it, or of its attempts.
    """

    how: str = "goes on"


@dataclasses.dataclass(slots=True, frozen=True)
class Answered:
    """The gateway answers.

    Attributes:
        statuses: the status codes that it may answer with.
    """

    statuses: tuple[int, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Cut:
    """The answer has begun and ends before it is whole."""

    excuse: Excuse


@dataclasses.dataclass(slots=True, frozen=True)
class Dropped:
    """The request ends without an answer.

    Attributes:
        excuse: why it may.
        released: what is released.
    """

    excuse: Excuse
    released: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Closed:
    """Its whole answer is out; the connection is closed or serves others."""

    how: str


Ending = Answered | Cut | Dropped


@dataclasses.dataclass(slots=True, frozen=True)
class GoesOnOr:
    """The request goes on if it can, else it ends.

    Attributes:
        how: how it goes on.
        otherwise: its end if it cannot.
    """

    how: str
    otherwise: tuple[Ending, ...]


Outcome = CannotHappen | GoesOn | GoesOnOr | Answered | Cut | Dropped | Closed


@dataclasses.dataclass(slots=True, frozen=True)
class Cell:
    """One cell of the table.

    Attributes:
        outcome: what becomes of the request.
        reason: the rule for it, or why the event cannot come.
    """

    outcome: Outcome
    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class Position:
    """Names a cell."""

    state: State
    event: Event


def endings(outcome: Outcome) -> tuple[Ending, ...]:
    """Returns the ends that an outcome allows."""
    match outcome:
        case GoesOnOr(otherwise=otherwise):
            return otherwise
        case Answered() | Cut() | Dropped():
            return (outcome,)
        case _:
            return ()


def describe(outcome: Outcome) -> str:
    """Returns an outcome in words.

    >>> describe(GoesOnOr("another attempt", (Answered((503,)),)))
    'another attempt, or 503'
    """
    match outcome:
        case CannotHappen():
            return "cannot happen"
        case GoesOn(how) | Closed(how):
            return how
        case GoesOnOr(how, otherwise):
            return ", or ".join([how, *map(describe, otherwise)])
        case Answered(statuses):
            return " or ".join(map(str, statuses))
        case Cut(excuse):
            return f"cut: {excuse.value}"
        case Dropped(excuse, released):
            tail = f"; {released}" if released else ""
            return f"dropped: {excuse.value}{tail}"


_NO_ENDPOINT = "no endpoint has the request yet"
_NO_SLOT_ASKED = "no slot is asked for before the request is whole"
_SLOT_USED = "a slot that is in use is not taken back"
_WHOLE = "the answer is out"
_LEFT = "nobody is left to answer"
_SAME_LIMITS = "a change holds for what comes later"
_DRAINS = "what was read is answered within the drain"
_DRAIN_OVER = "the drain is over; the instance has to end"
_OUT_OF_TIME = "the caller's or the route's time is over"
_UNEXPECTED = "the forwarder answers whatever raises"
_MAY_REPEAT = (
    "repeated if the request may be, and a retry, an endpoint and time are left"
)
_KEPT = "a sound endpoint may fall silent and go on"
_OTHER_LEFT = "one attempt is lost, the other one goes on"
_TORN = "what has begun cannot be answered in another way"

_NEVER = CannotHappen()
_ON = GoesOn()
_OUT_OF_SLOTS = Answered((503,))
_MAY_HAVE_RUN = Answered((502,))
_CUT_BY_LOSS = Cut(Excuse.ENDPOINT_LOST)
_CUT_BY_DRAIN = Cut(Excuse.DRAIN_ENDED)
_CUT_BY_TIME = Cut(Excuse.TIME_LIMIT)
_CUT_BY_ERROR = Cut(Excuse.ERROR)
_CANCELLED = Dropped(Excuse.CALLER_LEFT, "the endpoint is cancelled")
_BOTH_CANCELLED = Dropped(Excuse.CALLER_LEFT, "both endpoints are cancelled")
_SLOT_RETURNED = Dropped(Excuse.CALLER_LEFT, "the slot is given back")
_INCOMPLETE = Dropped(Excuse.NOT_WHOLE)

_READING = {
    Event.CALLER_LEFT: Cell(_INCOMPLETE, "only whole requests are answered"),
    Event.ENDPOINT_LOST: Cell(_NEVER, _NO_ENDPOINT),
    Event.ENDPOINT_SILENT: Cell(_NEVER, _NO_ENDPOINT),
    Event.SLOT_REFUSED: Cell(_NEVER, _NO_SLOT_ASKED),
    Event.CONFIGURED: Cell(
        GoesOnOr("limits of the new one", (Answered((413, 431, 408)),)),
        "limits hold for what is being read",
    ),
    Event.DRAIN_ENDED: Cell(_INCOMPLETE, _DRAIN_OVER),
    Event.TIME_LIMIT: Cell(Answered((408,)), "the time to send it is over"),
    Event.ERROR: Cell(Answered((400,)), "what cannot be read is refused"),
}

_BEGUN = {
    Event.CALLER_LEFT: Cell(_CANCELLED, _LEFT),
    Event.ENDPOINT_SILENT: Cell(GoesOn("another sought; this one kept"), _KEPT),
    Event.SLOT_REFUSED: Cell(_NEVER, _SLOT_USED),
    Event.CONFIGURED: Cell(_ON, _SAME_LIMITS),
    Event.STOPPING: Cell(_ON, _DRAINS),
    Event.DRAIN_ENDED: Cell(_CUT_BY_DRAIN, _DRAIN_OVER),
    Event.TIME_LIMIT: Cell(_CUT_BY_TIME, _OUT_OF_TIME),
    Event.ERROR: Cell(_CUT_BY_ERROR, _TORN),
}

_TWO_ATTEMPTS = {
    Event.CALLER_LEFT: Cell(_BOTH_CANCELLED, _LEFT),
    Event.CONFIGURED: Cell(_ON, _SAME_LIMITS),
    Event.STOPPING: Cell(_ON, _DRAINS),
    Event.DRAIN_ENDED: Cell(
        GoesOnOr("as before", (_MAY_HAVE_RUN, _CUT_BY_DRAIN)), _DRAIN_OVER
    ),
    Event.TIME_LIMIT: Cell(
        GoesOnOr("as before", (Answered((504,)), _CUT_BY_TIME)), _OUT_OF_TIME
    ),
    Event.ERROR: Cell(
        GoesOn("kept"), "an error in one attempt does not end the other"
    ),
}

_BEFORE_ATTEMPT = {
    Event.CALLER_LEFT: Cell(_SLOT_RETURNED, _LEFT),
    Event.ENDPOINT_SILENT: Cell(_NEVER, _NO_ENDPOINT),
    Event.CONFIGURED: Cell(_ON, _SAME_LIMITS),
    Event.STOPPING: Cell(_ON, _DRAINS),
    Event.DRAIN_ENDED: Cell(_OUT_OF_SLOTS, "it has not run"),
    Event.TIME_LIMIT: Cell(_OUT_OF_SLOTS, "it has not run"),
    Event.ERROR: Cell(_MAY_HAVE_RUN, _UNEXPECTED),
}

_ROWS: dict[State, dict[Event, Cell]] = {
    State.HEAD: _READING | {Event.STOPPING: Cell(_ON, _DRAINS)},
    State.BODY: _READING
    | {
        Event.STOPPING: Cell(
            GoesOnOr("goes on; decided when whole", (_OUT_OF_SLOTS,)),
            "it may not end within the drain",
        )
    },
    State.QUEUED: {
        Event.CALLER_LEFT: Cell(Dropped(Excuse.CALLER_LEFT), _LEFT),
        Event.ENDPOINT_LOST: Cell(_NEVER, _NO_ENDPOINT),
        Event.ENDPOINT_SILENT: Cell(_NEVER, _NO_ENDPOINT),
        Event.SLOT_REFUSED: Cell(_NEVER, _NO_SLOT_ASKED),
        Event.CONFIGURED: Cell(
            GoesOn("admitted by the new one when started"), _SAME_LIMITS
        ),
        Event.STOPPING: Cell(
            GoesOn("answered, the last one with the close"), _DRAINS
        ),
        Event.DRAIN_ENDED: Cell(
            GoesOnOr(
                "503",
                (Answered((503,)), Dropped(Excuse.DRAIN_ENDED)),
            ),
            "dropped if the answer before is cut",
        ),
        Event.TIME_LIMIT: Cell(
            GoesOnOr("starts", (Answered((504, 503)),)), _OUT_OF_TIME
        ),
        Event.ERROR: Cell(_MAY_HAVE_RUN, _UNEXPECTED),
    },
    State.WAITING: _BEFORE_ATTEMPT
    | {
        Event.ENDPOINT_LOST: Cell(_NEVER, _NO_ENDPOINT),
        Event.SLOT_REFUSED: Cell(Answered((429, 503)), "it has not run"),
    },
    State.CONNECTING: _BEFORE_ATTEMPT
    | {
        Event.ENDPOINT_LOST: Cell(
            GoesOnOr("another attempt", (_OUT_OF_SLOTS,)), "it has not run"
        ),
        Event.ENDPOINT_SILENT: Cell(
            GoesOnOr("another attempt", (_OUT_OF_SLOTS,)), "it has not run"
        ),
        Event.SLOT_REFUSED: Cell(
            GoesOn("another slot"),
            "a slot that is not used yet may be taken back",
        ),
    },
    State.PASSED_ON: _BEGUN
    | {
        Event.ENDPOINT_LOST: Cell(
            GoesOnOr("another attempt", (_MAY_HAVE_RUN,)), _MAY_REPEAT
        ),
        Event.DRAIN_ENDED: Cell(_MAY_HAVE_RUN, _DRAIN_OVER),
        Event.TIME_LIMIT: Cell(Answered((504,)), _OUT_OF_TIME),
        Event.ERROR: Cell(_MAY_HAVE_RUN, _UNEXPECTED),
    },
    State.STREAM_BEGUN: _BEGUN
    | {
        Event.ENDPOINT_LOST: Cell(
            GoesOnOr("another attempt", (_CUT_BY_LOSS,)), _MAY_REPEAT
        )
    },
    State.STREAMING: _BEGUN
    | {
        Event.ENDPOINT_LOST: Cell(
            GoesOnOr("resumed", (_CUT_BY_LOSS,)), _MAY_REPEAT
        )
    },
    State.SILENT: _TWO_ATTEMPTS
    | {
        Event.ENDPOINT_LOST: Cell(
            GoesOnOr("the other goes on", (_MAY_HAVE_RUN, _CUT_BY_LOSS)),
            _MAY_REPEAT,
        ),
        Event.ENDPOINT_SILENT: Cell(GoesOn("kept"), _KEPT),
        Event.SLOT_REFUSED: Cell(GoesOn("kept, asked again"), _KEPT),
    },
    State.REPLACED: _TWO_ATTEMPTS
    | {
        Event.ENDPOINT_LOST: Cell(GoesOn("the other goes on"), _OTHER_LEFT),
        Event.ENDPOINT_SILENT: Cell(
            GoesOn("given up after 0.2 s"),
            "within a stream not before a sound pause is over",
        ),
        Event.SLOT_REFUSED: Cell(_NEVER, _SLOT_USED),
    },
    State.BETWEEN: {
        Event.CALLER_LEFT: Cell(Dropped(Excuse.CALLER_LEFT), _LEFT),
        Event.ENDPOINT_LOST: Cell(_NEVER, "no endpoint has the request now"),
        Event.ENDPOINT_SILENT: Cell(_NEVER, "no endpoint has the request now"),
        Event.SLOT_REFUSED: Cell(
            GoesOnOr("waits", (Cut(Excuse.NO_SLOT),)), _TORN
        ),
        Event.CONFIGURED: Cell(_ON, _SAME_LIMITS),
        Event.STOPPING: Cell(_ON, _DRAINS),
        Event.DRAIN_ENDED: Cell(_CUT_BY_DRAIN, _DRAIN_OVER),
        Event.TIME_LIMIT: Cell(_CUT_BY_TIME, _OUT_OF_TIME),
        Event.ERROR: Cell(_CUT_BY_ERROR, _TORN),
    },
    State.ANSWERED: {
        Event.CALLER_LEFT: Cell(Closed("idle, or the next one starts"), _WHOLE),
        Event.ENDPOINT_LOST: Cell(_NEVER, _WHOLE),
        Event.ENDPOINT_SILENT: Cell(_NEVER, _WHOLE),
        Event.SLOT_REFUSED: Cell(_NEVER, _WHOLE),
        Event.CONFIGURED: Cell(_ON, _WHOLE),
        Event.STOPPING: Cell(Closed("closed"), _WHOLE),
        Event.DRAIN_ENDED: Cell(Closed("closed"), _WHOLE),
        Event.TIME_LIMIT: Cell(Closed("idle time: closed"), _WHOLE),
        Event.ERROR: Cell(_ON, _WHOLE),
    },
}

TABLE: dict[Position, Cell] = {
    Position(state, event): row[event]
    for state, row in _ROWS.items()
    for event in Event
    if event in row
}
"""The outcome of each event in each state."""

BEHIND_CUT = Cell(
    Dropped(Excuse.CUT_BEFORE),
    "an answer that has begun can be cut in no way but by closing",
)
"""What becomes of a request that is queued behind an answer that is cut,
whichever event cuts that."""
