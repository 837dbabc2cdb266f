"""Limits that endpoints name for the requests of all instances together.

Load pattern: an endpoint in need states in its answers how many requests a
second it takes. Each instance hears it with the answers that it gets; the
allocator, which grants the slots of all, keeps to it.
"""

from collections.abc import Container
import dataclasses
import heapq
import math

from cranberryglade import log
from cranberryglade.gateway import messages

MIN_LIMIT_PER_SECOND = 0.1
"""Lowest limit that is applied; with none at all, the end of a limit would
never be noticed."""

BURST_SECONDS = 0.25
"""Time for which an endpoint may get what it did not use of its limit."""

DOUBLING_SECONDS = 1.0
RETURN_DOUBLINGS = 6
"""After a limit the load returns gradually: it may double each second, this
many times."""

REMEMBERED_SECONDS = 60.0
"""How long the end of a limit is remembered, against older news of it."""

MIN_REFRESH_SECONDS = 1.0
"""News of the same limit is applied only if it is newer by this much."""

MAX_LIMITS = 4096

SHARED_LIMITS = 16
"""Limits that a heartbeat holds; those observed last."""

logger = log.get_logger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointLimit:
    """What an endpoint's answers state of its limit.

    Attributes:
        endpoint: id of the endpoint.
        started_ms: when its process started, milliseconds of Unix time.
        per_second: the limit, or the last one if it has ended.
        ended: whether answers do not name it any more.
        observed_at: when it was last observed; when its end was, if it has
            ended. Seconds of the loop's clock.
    """

    endpoint: str
    started_ms: int
    per_second: float
    ended: bool
    observed_at: float

    def rate(self, now: float) -> float:
        """Returns the requests a second that may be sent now."""
        if not self.ended:
            return self.per_second
        doublings = (now - self.observed_at) / DOUBLING_SECONDS
        if doublings >= RETURN_DOUBLINGS:
            return math.inf
        return self.per_second * 2.0 ** max(0.0, doublings)

    def says_the_same(self, other: "EndpointLimit") -> bool:
        """Returns whether two observations differ in their time only."""
        return (
            self.started_ms == other.started_ms
            and self.per_second == other.per_second
            and self.ended == other.ended
        )


class EndpointLimits:
    """The limits that are known; performs no I/O."""

    __slots__ = ("_limits",)

    def __init__(self):
        self._limits: dict[str, EndpointLimit] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no endpoint names a limit, or did so lately."""
        return not self._limits

    @property
    def count(self) -> int:
        """Number of endpoints that name a limit at present."""
        return sum(not limit.ended for limit in self._limits.values())

    def observe(
        self,
        endpoint: messages.Endpoint,
        named: tuple[float, ...],
        sent_at: float | None,
        now: float,
    ) -> EndpointLimit | None:
        """Applies what the head of an answer states.

        Args:
            endpoint: the endpoint that sent it.
            named: the limits that it names; NaN for an unreadable one.
            sent_at: when the request was sent; None if the answer belongs to
                another request.
            now: the present time.

        Returns:
            What changed, to be told to the allocator; None if nothing did.
        """
        known = self._known(endpoint)
        if named:
            return self._observe_limit(endpoint, named, known, now)
        if known is None or known.ended or sent_at is None:
            return None
        if sent_at <= known.observed_at:
            # The answer may be older than the one that named the limit.
            return None
        return self._put(
            dataclasses.replace(known, ended=True, observed_at=now)
        )

    def merge(self, news: EndpointLimit) -> bool:
        """Applies what another instance observed.

        Returns:
            Whether it was news.
        """
        known = self._limits.get(news.endpoint)
        if known is not None:
            newer_by = news.observed_at - known.observed_at
            if news.started_ms < known.started_ms or newer_by <= 0:
                return False
            same = news.says_the_same(known)
            if same and newer_by < MIN_REFRESH_SECONDS:
                return False
            if same:
                self._limits[news.endpoint] = news
                return False
        self._put(news)
        return True

    def rate(self, endpoint: messages.Endpoint, now: float) -> float:
        """Returns the requests a second that an endpoint takes from all."""
        known = self._known(endpoint)
        return math.inf if known is None else known.rate(now)

    def observed_at(self, endpoint: messages.Endpoint) -> float | None:
        """Returns when an endpoint's limit, or its end, was last observed.

        None if no limit of it is known.
        """
        known = self._known(endpoint)
        return None if known is None else known.observed_at

    def shared(self) -> list[EndpointLimit]:
        """Returns the limits for the next heartbeat."""
        return heapq.nlargest(
            SHARED_LIMITS,
            self._limits.values(),
            key=lambda limit: limit.observed_at,
        )

    def expire(self, listed: Container[str], now: float) -> None:
        """Drops limits that ended long ago, and those of removed endpoints."""
        for limit in list(self._limits.values()):
            over = limit.ended or limit.endpoint not in listed
            if over and now - limit.observed_at >= REMEMBERED_SECONDS:
                del self._limits[limit.endpoint]

    def _known(self, endpoint: messages.Endpoint) -> EndpointLimit | None:
        known = self._limits.get(endpoint.id)
        if known is None or known.started_ms != endpoint.started_ms:
            return None
        return known

    def _observe_limit(
        self,
        endpoint: messages.Endpoint,
        named: tuple[float, ...],
        known: EndpointLimit | None,
        now: float,
    ) -> EndpointLimit | None:
        readable = [limit for limit in named if not math.isnan(limit)]
        if not readable:
            logger.warning("endpoint.limit_unreadable", endpoint=endpoint.id)
            return None
        per_second = max(MIN_LIMIT_PER_SECOND, min(readable))
        limit = EndpointLimit(
            endpoint.id, endpoint.started_ms, per_second, False, now
        )
        if known is not None and limit.says_the_same(known):
            self._limits[endpoint.id] = limit
            return None
        return self._put(limit)

    def _put(self, limit: EndpointLimit) -> EndpointLimit:
        self._limits[limit.endpoint] = limit
        if len(self._limits) > MAX_LIMITS:
            oldest = min(self._limits.values(), key=lambda x: x.observed_at)
            del self._limits[oldest.endpoint]
        logger.info(
            "endpoint.limit_ended" if limit.ended else "endpoint.limited",
            endpoint=limit.endpoint,
            per_second=limit.per_second,
        )
        return limit


class TokenBucket:
    """Tokens for the requests that an endpoint may get.

    Keeps since when the endpoint got nothing, as the rate may change: what may
    be granted here rises when an instance becomes the allocator.
    """

    __slots__ = ("_emptied_at", "_latest", "_most", "_rate")

    def __init__(self, emptied_at: float):
        """Creates a bucket.

        Args:
            emptied_at: since when the endpoint got no request.
        """
        self._emptied_at = emptied_at
        self._latest = emptied_at
        self._most = 1.0
        self._rate = MIN_LIMIT_PER_SECOND

    def refill(self, rate: float, now: float) -> float:
        """Returns the number of tokens.

        Args:
            rate: tokens a second, above 0.
            now: the present time.
        """
        self._rate = rate
        self._most = max(1.0, rate * BURST_SECONDS)
        self._latest = now
        return min(self._most, rate * max(0.0, now - self._emptied_at))

    def take(self) -> None:
        """Takes one token of those that `refill` returned last."""
        full_since = self._latest - self._most / self._rate
        self._emptied_at = max(self._emptied_at, full_since) + 1 / self._rate
