"""Selects the peer that a request is delegated to."""

import dataclasses

from cranberryglade import verdicts
from cranberryglade.scheduling import admission
from cranberryglade.scheduling import fleet
from cranberryglade.scheduling import messages

HOP_SECONDS = 0.01  # added to the wait of a delegated request
MINIMUM_GAIN_SECONDS = 0.1  # earlier start that justifies a delegation
LOWER_TIERS_WAIT = "lower tiers wait there"
EXCLUDING_REASONS = (
    verdicts.Reason.NO_ENDPOINT,
    verdicts.Reason.STOPPING,
    verdicts.Reason.CONNECTION_REFUSED,
)


@dataclasses.dataclass(slots=True, eq=False)
class _SentWork:
    digest: messages.TargetDigest
    count: int = 0
    work: float = 0.0
    excluded: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """A peer with the forecast of a request delegated to it.

    Attributes:
        peer: the instance.
        wait_seconds: expected time until it dispatches the request.
        displaces_lower_tiers: whether requests of lower tiers wait there.
    """

    peer: messages.Peer
    wait_seconds: float
    displaces_lower_tiers: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Proposal:
    """A peer to delegate a request to, with the reason."""

    candidate: Candidate
    reason: str


class PeerSelector:
    """Compares peers by their digests and by what was sent there since.

    The requests and slot seconds of work that were delegated to a peer since
    its latest digest are added to the load that the digest shows.
    """

    __slots__ = ("_fleet", "_sent")

    def __init__(self, known: fleet.Fleet):
        self._fleet = known
        self._sent: dict[tuple[str, str], _SentWork] = {}

    def earliest(self, request: messages.Request) -> Candidate | None:
        """Returns the peer that could dispatch a request first, or None."""
        return _soonest(self._candidates(request))

    def earliest_displacing(
        self, request: messages.Request
    ) -> Candidate | None:
        """Returns the same among peers where lower tiers wait, or None."""
        found = self._candidates(request)
        return _soonest([c for c in found if c.displaces_lower_tiers])

    def better_than_local(
        self, request: messages.Request, expected: admission.Forecast
    ) -> Proposal | None:
        """Returns a peer that serves a request better than this instance.

        Args:
            request: the request to place.
            expected: forecast of the request at this instance.

        Returns:
            The peer if it lets the request meet a deadline that it would miss
            here, if lower tiers wait there while the request would be late, or
            if it starts the request sooner by more than MINIMUM_GAIN_SECONDS;
            otherwise None.
        """
        best = None
        if expected.wait_seconds or expected.late_seconds:
            best = self.earliest(request)
        if best is None:
            return None
        gain = expected.wait_seconds - best.wait_seconds
        if 0 < expected.late_seconds <= gain:
            return Proposal(best, "deadline met there")
        if expected.late_seconds > 0:
            displacing = self.earliest_displacing(request)
            return displacing and Proposal(displacing, LOWER_TIERS_WAIT)
        if gain > MINIMUM_GAIN_SECONDS:
            return Proposal(best, "starts sooner there")
        return None

    def _candidates(self, request: messages.Request) -> list[Candidate]:
        return [
            self._candidate(peer_digest, request)
            for peer_digest in self._fleet.peer_digests(request.target)
            if peer_digest.digest.rate > 0
            and not self._sent_for(peer_digest).excluded
        ]

    def exclude_peer(
        self, target: str, peer: messages.Peer, reason: verdicts.Reason
    ) -> None:
        """Excludes a peer that could not serve a target, until its next digest.

        Args:
            target: target of the request.
            peer: the peer that returned the request.
            reason: its reason; the peer is excluded for those in
                EXCLUDING_REASONS.
        """
        sent = self._sent.get((peer.name, target))
        if sent is not None and reason in EXCLUDING_REASONS:
            sent.excluded = True

    def record_delegation(
        self, request: messages.Request, peer: messages.Peer, work: float
    ) -> None:
        """Records a request that was delegated to a peer.

        Args:
            request: the request.
            peer: the peer.
            work: expected work of the request, in slot seconds.
        """
        sent = self._sent.get((peer.name, request.target))
        if sent is not None:
            sent.count += 1
            sent.work += work

    def _candidate(
        self, peer_digest: fleet.PeerDigest, request: messages.Request
    ) -> Candidate:
        digest = peer_digest.digest
        sent = self._sent_for(peer_digest)
        wait = HOP_SECONDS
        if digest.free_slots <= sent.count:
            rank = min(request.rank, len(digest.waits) - 1)
            ahead = digest.waits[rank] if digest.waits else digest.wait_seconds
            wait += ahead + sent.work / digest.rate
        return Candidate(
            peer_digest.peer, wait, digest.worst_rank > request.rank
        )

    def _sent_for(self, peer_digest: fleet.PeerDigest) -> _SentWork:
        key = (peer_digest.peer.name, peer_digest.digest.target)
        sent = self._sent.get(key)
        if sent is None or sent.digest is not peer_digest.digest:
            sent = self._sent[key] = _SentWork(peer_digest.digest)
        return sent


def _soonest(candidates: list[Candidate]) -> Candidate | None:
    return min(
        candidates,
        key=lambda c: (c.wait_seconds, c.peer.name),
        default=None,
    )
