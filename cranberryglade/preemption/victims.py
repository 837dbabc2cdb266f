"""Chooses the running request that gives way to a more urgent one.

Load pattern: a burst of urgent requests meets slots that are all in use, many
of them by streams of the least urgent kind, which can go on elsewhere later.
"""

from collections.abc import Callable
import dataclasses

from cranberryglade.gateway import endpoint_states
from cranberryglade.gateway import messages

ANSWER_SECONDS = 0.2
"""A holder that has not answered within this time is not waited for: its
datagram, or that to it, was lost, and its request goes on."""

YIELD_SECONDS = 0.05
"""Time from the decision until the slot is free: two datagrams and the end of a
connection."""

MARGIN_SECONDS = 0.1
"""Time before the last moment in which a slot would still be in time, at which
one is asked for; two ticks of the allocator."""

MAX_ASKED = 32
"""Most requests that are asked to give way at the same time."""

MAX_TRIES = 3
"""Most requests that are asked in turn for the slot of one urgent request."""

MAX_EXAMINED = 8
"""Most running requests that are considered for one urgent request."""

MIN_LEFT_SECONDS = 0.3
"""A request whose slot would soon be free anyway does not give way."""

MIN_LEFT_SHARE = 0.4
"""A request of which less than this share is left does not give way."""

MAX_PAUSE_SECONDS = 1.0
"""No request gives way that would wait longer than this for its next slot; half
of the shortest silence after which callers leave a stream."""

Accepts = Callable[[endpoint_states.Lease], bool]
"""Says whether a running request may give way."""


@dataclasses.dataclass(slots=True, frozen=True)
class Asked:
    """A running request that was asked to give way.

    Attributes:
        urgent: id of the request that needs its slot.
        at: when it was asked, seconds of the loop's clock.
        tries: number of requests asked so far for that slot.
    """

    urgent: str
    at: float
    tries: int


def is_nearly_done(
    lease: endpoint_states.Lease, pace: float, now: float
) -> bool:
    """Returns whether so little is left that stopping would gain nothing.

    Also where it is not known.

    Args:
        lease: the slot of the running request.
        pace: expected seconds of its endpoint for each unit of work.
        now: seconds of the loop's clock.
    """
    expected = pace * lease.work_units
    left = lease.granted_at + expected - now
    return left < max(MIN_LEFT_SECONDS, MIN_LEFT_SHARE * expected)


class Victims:
    """The running requests that offer to give way; performs no I/O.

    Each is asked once at most. Of the least urgent ones, those are asked first
    that have begun last, as the most of their work is left.
    """

    __slots__ = ("_asked", "_offered")

    def __init__(self):
        self._offered: dict[str, dict[int, dict[str, endpoint_states.Lease]]]
        self._offered = {}
        self._asked: dict[str, Asked] = {}

    def add(self, lease: endpoint_states.Lease) -> None:
        """Adds a request that has got a slot, if it offers to give way."""
        request = lease.request
        if request.yields:
            ranks = self._offered.setdefault(request.service, {})
            ranks.setdefault(request.rank, {})[request.id] = lease

    def remove(self, lease: endpoint_states.Lease) -> None:
        """Removes a request whose slot is free."""
        request = lease.request
        if request is None or not request.yields:
            return
        self._asked.pop(request.id, None)
        ranks = self._offered.get(request.service, {})
        offered = ranks.get(request.rank, {})
        if offered.pop(request.id, None) and not offered:
            del ranks[request.rank]

    def ask(
        self,
        urgent: messages.SlotRequest,
        accepts: Accepts,
        now: float,
        tries: int = 1,
    ) -> endpoint_states.Lease | None:
        """Returns the slot whose request is asked now, if any may be.

        Args:
            urgent: the request that needs a slot.
            accepts: says so of each running request that is considered.
            now: seconds of the loop's clock.
            tries: number of requests asked for it, this one included.
        """
        self._expire(now)
        if len(self._asked) >= MAX_ASKED or tries > MAX_TRIES:
            return None
        lease = self._choose(urgent, accepts)
        if lease is not None:
            self.remove(lease)
            asked = Asked(urgent.id, now, tries)
            self._asked[lease.request.id] = asked
        return lease

    def keep(self, id_: str) -> Asked | None:
        """Records that a request does not give way; returns for what it was."""
        return self._asked.pop(id_, None)

    def _choose(
        self, urgent: messages.SlotRequest, accepts: Accepts
    ) -> endpoint_states.Lease | None:
        ranks = self._offered.get(urgent.service, {})
        examined = 0
        for rank in sorted(ranks, reverse=True):
            if rank <= urgent.rank:
                return None
            for lease in reversed(ranks[rank].values()):
                if accepts(lease):
                    return lease
                examined += 1
                if examined >= MAX_EXAMINED:
                    return None
        return None

    def _expire(self, now: float) -> None:
        for id_, asked in list(self._asked.items()):
            if now - asked.at < ANSWER_SECONDS:
                return
            del self._asked[id_]
