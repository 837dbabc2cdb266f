"""Endpoints, what runs there, and requests that wait, for the allocator."""

import dataclasses

from cranberryglade.gateway import messages

DECODE_COST = 150.0
"""Time of one output token, in prompt tokens."""

PLAIN_WORK = 1.0
PLAIN_CROWDING = 1.2
"""How much slower a plain call may be than usual."""

FIRST_OVERHEAD_SECONDS = 0.02
FIRST_CROWDING = 1.5
"""How much the prompts beside it delay a first answer."""

BARRED_FOR_ALL = 2
"""An endpoint that so many instances cannot reach is taken as down."""


@dataclasses.dataclass(slots=True)
class Lease:
    """A slot in use.

    Attributes:
        holder: the instance that sends the request.
        need: what was granted; None if another instance granted it.
        endpoint: where it runs.
        since: when it was granted.
    """

    holder: str
    need: messages.Need | None
    endpoint: str
    since: float

    @property
    def work(self) -> float:
        """Size of its request; 0 if only its place is known."""
        return work(self.need) if self.need is not None else 0.0


@dataclasses.dataclass(slots=True)
class Place:
    """What is known of one endpoint.

    Attributes:
        endpoint: its entry.
        leases: ids of the requests that it runs.
        pace: seconds for each unit of work, a running average.
        samples: answers that the pace was learnt from.
        strikes: failures in a row.
        paused_until: no grants before this time.
        barred: instances that cannot reach it, with the end of their pause.
    """

    endpoint: messages.Endpoint
    leases: set[str] = dataclasses.field(default_factory=set)
    pace: float = 0.0
    samples: int = 0
    strikes: int = 0
    paused_until: float = 0.0
    barred: dict[str, float] = dataclasses.field(default_factory=dict)

    def open_to(self, holder: str, now: float) -> bool:
        """Whether an instance may be sent there."""
        if self.paused_until > now:
            return False
        return not self.bars(holder, now)

    def bars(self, holder: str, now: float) -> bool:
        """Whether an instance cannot reach it."""
        barred = [name for name, until in self.barred.items() if until > now]
        return holder in barred or len(barred) >= BARRED_FOR_ALL

    @property
    def free(self) -> int:
        """Slots that are not in use."""
        return self.endpoint.slots - len(self.leases)


@dataclasses.dataclass(slots=True)
class Waiting:
    """A request that waits for a slot."""

    holder: str
    need: messages.Need
    since: float

    def order(self, pace: float, now: float) -> tuple[int, bool, float]:
        """The smallest is served first.

        Of one rank, those that can still have their first answer in time go
        before those that are late anyway: when there are too many, serving
        the oldest first would make all of them late.
        """
        late = now + first_seconds(self.need, pace) > self.need.aim
        return (self.need.rank, late, self.since)


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Cost:
    """What a place costs a request; the smallest is best.

    Attributes:
        seconds: time for each unit of work.
        running: requests that run there; decides between equals.
    """

    seconds: float
    running: int


@dataclasses.dataclass(slots=True, frozen=True)
class Ruling:
    """A decision and the instance that it is for."""

    holder: str
    decision: messages.Decision


def work(need: messages.Need) -> float:
    """Size of a request, in prompt tokens; 1 for a plain call."""
    size = need.prompt_tokens + DECODE_COST * need.output_tokens
    return size or PLAIN_WORK


def first_seconds(need: messages.Need, pace: float) -> float:
    """Time to the first answer once a request has its slot."""
    if not need.prompt_tokens:
        return PLAIN_CROWDING * pace * PLAIN_WORK
    return FIRST_OVERHEAD_SECONDS + FIRST_CROWDING * pace * need.prompt_tokens
