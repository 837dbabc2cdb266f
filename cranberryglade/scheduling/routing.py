"""Choice of the endpoint, or the peer, that gets a request."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from cranberryglade.scheduling import answer_lengths
from cranberryglade.scheduling import fleet
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import pools
from cranberryglade.scheduling import queues
from cranberryglade.scheduling import speeds

CACHED_PROMPT_SHARE = 0.5
LONG_PROMPT_TOKENS = 2_000
LONG_RUN_SECONDS = 5.0
LONG_PREFILL_SHARE = 0.5
URGENT_SECONDS = 3.0
SAFE_DEVIATIONS = 1.0
SPEED_RANGE_SHARE = 0.5
LONGEST_RUN_FACTOR = 1.25
PREFIX_HIT_BONUS_SECONDS = 5.0


@dataclasses.dataclass(slots=True, frozen=True)
class Choice:
    """An endpoint and its predicted times for one request, in seconds.

    Attributes:
        member: the endpoint.
        prefill_tokens: prompt tokens it would have to compute.
        first_token_seconds: time to the first token.
        finish_seconds: time to the complete answer.
        safe_seconds: time to the end of an answer one standard deviation
            longer than expected.
        longest_seconds: time to the end of the longest answer allowed, plus a
            margin.
        prefix_cached: whether the endpoint has the prompt's prefix cached.
    """

    member: pools.EndpointState
    prefill_tokens: float
    first_token_seconds: float
    finish_seconds: float
    safe_seconds: float
    longest_seconds: float
    prefix_cached: bool = False


class Router:
    """Predicts run times by endpoint and chooses the endpoint."""

    __slots__ = ("_answer_lengths", "_speeds")

    def __init__(
        self,
        length_estimates: answer_lengths.AnswerLengths,
        generation_speeds: speeds.GenerationSpeeds,
    ):
        self._answer_lengths = length_estimates
        self._speeds = generation_speeds

    def speed(self, member: pools.EndpointState) -> speeds.Speed:
        """Returns the speed of an endpoint; it starts as its generation's."""
        if member.speed is None:
            endpoint = member.endpoint
            average = self._speeds.generation(
                endpoint.target, endpoint.generation
            )
            member.speed = dataclasses.replace(average, samples=0)
        return member.speed

    def generation(self, member: pools.EndpointState) -> speeds.Speed:
        """Returns the average speed of the endpoint's target and generation."""
        endpoint = member.endpoint
        return self._speeds.generation(endpoint.target, endpoint.generation)

    def run_seconds(self, pool: pools.Pool, request: messages.Request) -> float:
        """Returns the mean expected run time on idle endpoints, in seconds.

        The mean is taken over the trusted endpoints; it is 0.0 if there are
        none.
        """
        serving = pool.trusted
        if not serving:
            return 0.0
        total = sum(self._alone_seconds(m, request) for m in serving)
        return total / len(serving)

    def lane(self, request: messages.Request, run_seconds: float):
        """Returns the lane of a request, by prompt length and run time."""
        long = (
            request.prompt_tokens > LONG_PROMPT_TOKENS
            or run_seconds > LONG_RUN_SECONDS
        )
        return queues.Lane.LONG if long else queues.Lane.SHORT

    def safe_seconds(
        self, pool: pools.Pool, request: messages.Request
    ) -> float:
        """Returns the time to reserve before the deadline, in seconds.

        It is the run time of an answer one standard deviation longer than
        expected, at SPEED_RANGE_SHARE of the way from the fastest to the
        slowest trusted endpoint.
        """
        times = [
            self._alone_seconds(member, request, SAFE_DEVIATIONS)
            for member in pool.trusted
        ]
        return min(times) + SPEED_RANGE_SHARE * (max(times) - min(times))

    def choose(
        self, pool: pools.Pool, entry: queues.Entry, now: float
    ) -> Choice | None:
        """Returns the endpoint with the earliest predicted finish.

        Endpoints on which even the longest answer would meet the deadline are
        preferred. A long request that is not urgent gets no endpoint that is
        computing a long prompt, and none at all while LONG_PREFILL_SHARE of the
        endpoints are. Returns None if no free endpoint is expected to meet the
        deadline.

        Args:
            pool: where to look for the endpoint.
            entry: the queued request.
            now: current time in seconds.
        """
        urgent = entry.latest_start - now < URGENT_SECONDS
        if entry.lane is queues.Lane.SHORT or urgent:
            members = pool.serving
        else:
            members = _members_for_long(pool)
        choices = [
            self.predict(member, entry.request)
            for member in members
            if member.free_slots > 0
        ]
        left = entry.request.deadline - now
        return min(
            (choice for choice in choices if choice.safe_seconds <= left),
            key=lambda c: (
                c.longest_seconds > left,
                c.finish_seconds - PREFIX_HIT_BONUS_SECONDS * c.prefix_cached,
                c.member.endpoint.name,
            ),
            default=None,
        )

    def predict(
        self, member: pools.EndpointState, request: messages.Request
    ) -> Choice:
        """Returns the predicted times of a request if dispatched now."""
        speed = self.speed(member)
        if request.output_tokens == 0:
            seconds = speed.call_seconds * (1 + member.outstanding)
            return Choice(member, 0.0, seconds, seconds, seconds, seconds)
        prefill = float(request.prompt_tokens)
        prefix_cached = request.prefix in member.prefixes
        if prefix_cached:
            prefill *= 1 - CACHED_PROMPT_SHARE
        pending = member.pending_prefill + prefill
        first = pending * speed.prefill_seconds + speed.token_seconds
        token_seconds = speed.token_seconds
        safe = self._answer_lengths.length(request, SAFE_DEVIATIONS)
        return Choice(
            member,
            prefill,
            first,
            first + self._answer_lengths.length(request) * token_seconds,
            first + safe * token_seconds,
            first + request.output_tokens * token_seconds * LONGEST_RUN_FACTOR,
            prefix_cached,
        )

    def _alone_seconds(
        self,
        member: pools.EndpointState,
        request: messages.Request,
        deviations: float = 0.0,
    ) -> float:
        speed = self.speed(member)
        if request.output_tokens == 0:
            return speed.call_seconds
        length = self._answer_lengths.length(request, deviations)
        return (
            request.prompt_tokens * speed.prefill_seconds
            + length * speed.token_seconds
        )


def _members_for_long(pool: pools.Pool) -> Iterator[pools.EndpointState]:
    serving = pool.serving
    prefilling = sum(1 for member in serving if member.long_prefills)
    max_prefilling = max(1, int(len(serving) * LONG_PREFILL_SHARE))
    if prefilling >= max_prefilling:
        return
    for member in serving:
        if not member.long_prefills:
            yield member


def choose_peer(
    peer_digests: Iterable[fleet.PeerDigest],
) -> messages.Peer | None:
    """Returns the peer that could start a request soonest, or None."""
    best = min(peer_digests, key=_preference, default=None)
    return best.peer if best else None


def _preference(peer_digest: fleet.PeerDigest):
    digest = peer_digest.digest
    return (-digest.free_slots, digest.wait_seconds, peer_digest.peer.name)
