"""The steps of a walk, and traces of them.

A trace has one step a line: a verb, its subject if it has one, and `+N` if the
next step follows after N turns of the event loop, instead of after everything
that the step brings about. Empty lines and lines that begin with `#` are
skipped.
"""

import dataclasses
import enum
import pathlib

from returns.result import Failure
from returns.result import Result
from returns.result import Success

REQUESTS = ("pay", "look", "write", "note")
"""Names of the requests. "pay" may run once; "write" is a stream that can be
resumed, and the idempotent "look" follows it on its connection; "note" is a
stream that cannot be resumed."""

ENDPOINTS = ("e0", "e1")
MAX_TURNS = 50


class Verb(enum.Enum):
    """What a step does.

    Attributes:
        BEGIN: the caller sends a part of the head, then of the body.
        SEND: the caller sends the request, or what is left of it.
        LEAVE: the caller closes the connection of the request.
        START: the endpoint sends the head of its oldest answer.
        EVENT: the endpoint sends an event of its oldest stream.
        FINISH: the endpoint sends the rest of its oldest answer.
        REFUSE: the endpoint refuses its oldest request, which has not run.
        RESET: the endpoint resets the connection of its oldest request.
        WAIT: time passes.
        CONFIGURE: another version of the configuration is written.
        SIGTERM: the gateway is told to stop.
        LOSE_STORE: the store refuses from now on.
        RESTORE_STORE: the store answers again.
    """

    BEGIN = "begin"
    SEND = "send"
    LEAVE = "leave"
    START = "start"
    EVENT = "event"
    FINISH = "finish"
    REFUSE = "refuse"
    RESET = "reset"
    WAIT = "wait"
    CONFIGURE = "configure"
    SIGTERM = "sigterm"
    LOSE_STORE = "lose-store"
    RESTORE_STORE = "restore-store"


WAITS = {"short": 0.1, "long": 1.0, "longer": 3.0}
"""Seconds of each wait."""

_BY_CALLER = (Verb.BEGIN, Verb.SEND, Verb.LEAVE)
_BY_ENDPOINT = (Verb.START, Verb.EVENT, Verb.FINISH, Verb.REFUSE, Verb.RESET)


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """One step of a walk.

    Attributes:
        verb: what it does.
        subject: the request, endpoint or wait; "" if the verb has none.
        turns: turns of the event loop until the next step; None if that waits
            until nothing is left to do.
    """

    verb: Verb
    subject: str = ""
    turns: int | None = None

    def __str__(self) -> str:
        words = [self.verb.value]
        if self.subject:
            words.append(self.subject)
        if self.turns is not None:
            words.append(f"+{self.turns}")
        return " ".join(words)


Trace = tuple[Step, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class TraceError:
    """Why a trace cannot be read.

    Attributes:
        line: number of the line; 0 if the whole file cannot be read.
        reason: what is wrong.
    """

    line: int
    reason: str


def subjects(verb: Verb) -> tuple[str, ...]:
    """Returns the subjects that a verb may have; ("",) if it has none."""
    if verb in _BY_CALLER:
        return REQUESTS
    if verb in _BY_ENDPOINT:
        return ENDPOINTS
    if verb is Verb.WAIT:
        return tuple(WAITS)
    return ("",)


def alphabet() -> list[Step]:
    """Returns every step that waits until nothing is left to do."""
    return [Step(verb, name) for verb in Verb for name in subjects(verb)]


def parse_step(text: str) -> Result[Step, str]:
    """Parses a step; returns why it is none.

    >>> str(parse_step("send pay +2").unwrap())
    'send pay +2'
    >>> parse_step("fly away").failure()
    "unknown event 'fly'"
    """
    verb_name, *words = text.split()
    if verb_name not in {verb.value for verb in Verb}:
        return Failure(f"unknown event {verb_name!r}")
    verb = Verb(verb_name)
    turns = None
    if words and words[-1].startswith("+"):
        number = words.pop()[1:]
        if not number.isdecimal() or int(number) > MAX_TURNS:
            return Failure(f"turns are +0 to +{MAX_TURNS}, not '+{number}'")
        turns = int(number)
    subject = " ".join(words)
    allowed = subjects(verb)
    if subject not in allowed:
        wanted = ", ".join(filter(None, allowed)) or "nothing"
        return Failure(f"{verb_name!r} takes {wanted}, not {subject!r}")
    return Success(Step(verb, subject, turns))


def parse(text: str) -> Result[Trace, TraceError]:
    """Parses a trace."""
    steps = []
    for number, line in enumerate(text.splitlines(), 1):
        stripped = line.strip()
        if not stripped or stripped.startswith("#"):
            continue
        match parse_step(stripped):
            case Failure(reason):
                return Failure(TraceError(number, reason))
            case Success(step):
                steps.append(step)
    if not steps:
        return Failure(TraceError(0, "no event"))
    return Success(tuple(steps))


def read(path: pathlib.Path) -> Result[Trace, TraceError]:
    """Reads a trace from a file."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure(TraceError(0, str(error)))
    return parse(text)


def render(trace: Trace) -> str:
    """Returns a trace as text."""
    return "".join(f"{step}\n" for step in trace)
