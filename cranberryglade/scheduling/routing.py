"""Which endpoint gets a request."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from cranberryglade.scheduling import estimates
from cranberryglade.scheduling import fleet
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import pools
from cranberryglade.scheduling import queues
from cranberryglade.scheduling import speeds

CACHED_SHARE = 0.5
LONG_PROMPT_TOKENS = 2_000
LONG_RUN_SECONDS = 5.0
LONG_PREFILL_SHARE = 0.5
URGENT_SECONDS = 3.0
SAFE_DEVIATIONS = 1.0
SLOWNESS_SHARE = 0.5
MARGIN = 1.25
PREFIX_SECONDS = 5.0


@dataclasses.dataclass(slots=True, frozen=True)
class Choice:
    """An endpoint and what is expected of it.

    Attributes:
        member: the endpoint.
        prefill_tokens: prompt tokens it would have to compute.
        first_seconds: time to the first token.
        finish_seconds: time to the whole answer.
        safe_seconds: time to an answer one standard deviation longer.
        longest_seconds: time to the longest answer allowed.
        holds_prefix: whether the endpoint has the shared part cached.
    """

    member: pools.Member
    prefill_tokens: float
    first_seconds: float
    finish_seconds: float
    safe_seconds: float
    longest_seconds: float
    holds_prefix: bool = False


class Router:
    """Predicts what each endpoint would make of a request."""

    __slots__ = ("_estimates", "_speeds")

    def __init__(
        self, learnt: estimates.Estimates, learnt_speeds: speeds.Speeds
    ):
        self._estimates = learnt
        self._speeds = learnt_speeds

    def speed(self, member: pools.Member) -> speeds.Speed:
        """What is known of an endpoint; at first that of its generation."""
        if member.speed is None:
            endpoint = member.endpoint
            average = self._speeds.generation(
                endpoint.target, endpoint.generation
            )
            member.speed = dataclasses.replace(average, samples=0)
        return member.speed

    def generation(self, member: pools.Member) -> speeds.Speed:
        """What is known of all endpoints like this one."""
        endpoint = member.endpoint
        return self._speeds.generation(endpoint.target, endpoint.generation)

    def run_seconds(self, pool: pools.Pool, request: messages.Request) -> float:
        """Expected time from dispatch to the whole answer, on average."""
        serving = pool.trusted
        if not serving:
            return 0.0
        total = sum(self._alone_seconds(m, request) for m in serving)
        return total / len(serving)

    def lane(self, request: messages.Request, run_seconds: float):
        """Whether a request is short or long."""
        long = (
            request.prompt_tokens > LONG_PROMPT_TOKENS
            or run_seconds > LONG_RUN_SECONDS
        )
        return queues.Lane.LONG if long else queues.Lane.SHORT

    def safe_seconds(
        self, pool: pools.Pool, request: messages.Request
    ) -> float:
        """Time to a rather long answer, between the fastest and slowest."""
        each = [
            self._alone_seconds(member, request, SAFE_DEVIATIONS)
            for member in pool.trusted
        ]
        return min(each) + SLOWNESS_SHARE * (max(each) - min(each))

    def choose(
        self, pool: pools.Pool, entry: queues.Entry, now: float
    ) -> Choice | None:
        """The endpoint that would finish first, if it does in time.

        Those on which even the longest answer would be in time go first.
        """
        urgent = entry.latest_start - now < URGENT_SECONDS
        if entry.lane is queues.Lane.SHORT or urgent:
            open_to = pool.serving
        else:
            open_to = _open_to_long(pool)
        choices = [
            self.predict(member, entry.request)
            for member in open_to
            if member.free_slots > 0
        ]
        left = entry.request.deadline - now
        return min(
            (choice for choice in choices if choice.safe_seconds <= left),
            key=lambda c: (
                c.longest_seconds > left,
                c.finish_seconds - PREFIX_SECONDS * c.holds_prefix,
                c.member.endpoint.name,
            ),
            default=None,
        )

    def predict(
        self, member: pools.Member, request: messages.Request
    ) -> Choice:
        """What is expected if the request is sent there now."""
        speed = self.speed(member)
        if request.output_tokens == 0:
            seconds = speed.call_seconds * (1 + member.outstanding)
            return Choice(member, 0.0, seconds, seconds, seconds, seconds)
        prefill = float(request.prompt_tokens)
        holds = request.prefix in member.prefixes
        if holds:
            prefill *= 1 - CACHED_SHARE
        pending = member.pending_prefill + prefill
        first = pending * speed.prefill_seconds + speed.token_seconds
        each = speed.token_seconds
        safe = self._estimates.length(request, SAFE_DEVIATIONS)
        return Choice(
            member,
            prefill,
            first,
            first + self._estimates.length(request) * each,
            first + safe * each,
            first + request.output_tokens * each * MARGIN,
            holds,
        )

    def _alone_seconds(
        self,
        member: pools.Member,
        request: messages.Request,
        deviations: float = 0.0,
    ) -> float:
        speed = self.speed(member)
        if request.output_tokens == 0:
            return speed.call_seconds
        length = self._estimates.length(request, deviations)
        return (
            request.prompt_tokens * speed.prefill_seconds
            + length * speed.token_seconds
        )


def _open_to_long(pool: pools.Pool) -> Iterator[pools.Member]:
    serving = pool.serving
    prefilling = sum(1 for member in serving if member.long_prefills)
    may_prefill = max(1, int(len(serving) * LONG_PREFILL_SHARE))
    if prefilling >= may_prefill:
        return
    for member in serving:
        if not member.long_prefills:
            yield member


def choose_peer(offers: Iterable[fleet.Offer]) -> messages.Peer | None:
    """The peer that could start a request soonest; None if there is none."""
    best = min(offers, key=_preference, default=None)
    return best.peer if best else None


def _preference(offer: fleet.Offer):
    digest = offer.digest
    return (-digest.free_slots, digest.wait_seconds, offer.peer.name)
