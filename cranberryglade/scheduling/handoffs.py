"""Which peer should take a request over."""

import dataclasses

from cranberryglade import verdicts
from cranberryglade.scheduling import admission
from cranberryglade.scheduling import fleet
from cranberryglade.scheduling import messages

HOP_SECONDS = 0.01
GAIN_SECONDS = 0.1
LOWER_TIERS_WAIT = "lower tiers wait there"
UNABLE = (
    verdicts.Reason.NO_ENDPOINT,
    verdicts.Reason.STOPPING,
    verdicts.Reason.CONNECTION_REFUSED,
)


@dataclasses.dataclass(slots=True, eq=False)
class _Sent:
    digest: messages.TargetDigest
    count: int = 0
    work: float = 0.0
    denied: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """A peer and what it would make of a request.

    Attributes:
        peer: the instance.
        wait_seconds: expected time until it starts the request.
        displaces: whether lower tiers wait there.
    """

    peer: messages.Peer
    wait_seconds: float
    displaces: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Proposal:
    """A peer that should take a request over, and why."""

    candidate: Candidate
    reason: str


class Handoffs:
    """Reads digests, and adds what was sent since each of them was made."""

    __slots__ = ("_fleet", "_sent")

    def __init__(self, known: fleet.Fleet):
        self._fleet = known
        self._sent: dict[tuple[str, str], _Sent] = {}

    def best(self, request: messages.Request) -> Candidate | None:
        """The peer that could start the request soonest."""
        return _soonest(self._candidates(request))

    def displacing(self, request: messages.Request) -> Candidate | None:
        """The same among the peers where lower tiers wait."""
        found = self._candidates(request)
        return _soonest([c for c in found if c.displaces])

    def better(
        self, request: messages.Request, expected: admission.Forecast
    ) -> Proposal | None:
        """The peer that serves a request better than this instance would.

        Args:
            request: what is to be placed.
            expected: what this instance would make of it.
        """
        best = None
        if expected.wait_seconds or expected.late_seconds:
            best = self.best(request)
        if best is None:
            return None
        gain = expected.wait_seconds - best.wait_seconds
        if 0 < expected.late_seconds <= gain:
            return Proposal(best, "deadline met there")
        if expected.late_seconds > 0:
            displacing = self.displacing(request)
            return displacing and Proposal(displacing, LOWER_TIERS_WAIT)
        if gain > GAIN_SECONDS:
            return Proposal(best, "starts sooner there")
        return None

    def _candidates(self, request: messages.Request) -> list[Candidate]:
        return [
            self._candidate(offer, request)
            for offer in self._fleet.offers(request.target)
            if offer.digest.rate > 0 and not self._since(offer).denied
        ]

    def handed_back(
        self, target: str, peer: messages.Peer, reason: verdicts.Reason
    ) -> None:
        """Leaves a peer that could not serve out until its next digest."""
        sent = self._sent.get((peer.name, target))
        if sent is not None and reason in UNABLE:
            sent.denied = True

    def sent(
        self, request: messages.Request, peer: messages.Peer, work: float
    ) -> None:
        """Counts a request that was handed to a peer."""
        sent = self._sent.get((peer.name, request.target))
        if sent is not None:
            sent.count += 1
            sent.work += work

    def _candidate(
        self, offer: fleet.Offer, request: messages.Request
    ) -> Candidate:
        digest = offer.digest
        sent = self._since(offer)
        wait = HOP_SECONDS
        if digest.free_slots <= sent.count:
            rank = min(request.rank, len(digest.waits) - 1)
            ahead = digest.waits[rank] if digest.waits else digest.wait_seconds
            wait += ahead + sent.work / digest.rate
        return Candidate(offer.peer, wait, digest.worst_rank > request.rank)

    def _since(self, offer: fleet.Offer) -> _Sent:
        key = (offer.peer.name, offer.digest.target)
        sent = self._sent.get(key)
        if sent is None or sent.digest is not offer.digest:
            sent = self._sent[key] = _Sent(offer.digest)
        return sent


def _soonest(candidates: list[Candidate]) -> Candidate | None:
    return min(
        candidates,
        key=lambda c: (c.wait_seconds, c.peer.name),
        default=None,
    )
