"""Decides which requests are hedged, and when.

Load pattern: a twentieth of the answers takes ten times as long as the others,
without a sign of it before. A second endpoint is asked for the slowest of them,
as far as the share of extra requests goes that operators set. While there is no
room, extra requests would make all answers slower, so none is made.

Only plain requests that may be repeated are hedged, and all plain requests have
the same size of one unit of work. Streams are not hedged, see
docs/design/hedging.md.
"""

import dataclasses
import random

from cranberryglade.gateway import budgets
from cranberryglade.gateway import configuration
from cranberryglade.gateway import messages
from cranberryglade.hedging import latency
from cranberryglade.hedging import options
from cranberryglade.hedging import share

MIN_LATE_SECONDS = 0.01
"""No answer is late sooner; asking for a slot takes a few milliseconds."""

STOPPING = "stopping"
NO_ROOM = "no_room"
SHARE_USED_UP = "share_used_up"


@dataclasses.dataclass(slots=True)
class ServiceRecord:
    """What is known of one service.

    Attributes:
        latencies: times to its recent first answers.
        share: tokens for its hedges.
        lacks_room: whether its last slot request was refused for want of room.
    """

    latencies: latency.RecentLatencies
    share: share.HedgeShare
    lacks_room: bool = False


class HedgeControl:
    """Decides on hedges at one instance; performs no I/O.

    Times are seconds of the loop's clock.
    """

    __slots__ = ("_hedges", "_options", "_randomness", "_requests", "_services")

    def __init__(
        self,
        hedging_options: options.HedgingOptions,
        randomness: random.Random | None = None,
    ):
        """Creates one that knows no service.

        Args:
            hedging_options: what operators set.
            randomness: as in `share.HedgeShare`; None for one of its own.
        """
        self._options = hedging_options
        self._randomness = randomness or random.Random()
        self._services: dict[str, ServiceRecord] = {}
        self._requests = budgets.SlidingWindow(share.WINDOW_SECONDS)
        self._hedges = budgets.SlidingWindow(share.WINDOW_SECONDS)

    @property
    def enabled(self) -> bool:
        """Whether operators allow hedges."""
        return self._options.request_share > 0.0

    def set_options(self, hedging_options: options.HedgingOptions) -> None:
        """Sets new options; what was learnt stays."""
        self._options = hedging_options

    def extra_share(self, now: float) -> float:
        """Returns the hedges for each request of the last minute."""
        return self._hedges.total(now) / max(1.0, self._requests.total(now))

    def record_request(
        self, service: str, kind: configuration.Kind, now: float
    ) -> None:
        """Counts a request from a caller."""
        self._requests.add(1, now)
        if self.enabled:
            self._record_of(service).share.record_request(
                self._options.request_share, is_hedgeable(kind), now
            )

    def record_answer(
        self,
        service: str,
        kind: configuration.Kind,
        seconds: float,
        now: float,
    ) -> None:
        """Records the time to a first answer.

        Hedges are left out: the first attempts alone show what is usual.

        Args:
            service: the service that answered.
            kind: the kind of the request.
            seconds: the time since the request was sent. For an attempt that
                was given up for its hedge, the time until then.
            now: the present time.
        """
        if self.enabled and not kind.streams:
            self._record_of(service).latencies.record(seconds, now)

    def record_slot_decision(
        self, service: str, decision: messages.Decision
    ) -> None:
        """Records whether a service had room."""
        if not self.enabled:
            return
        match decision:
            case messages.Granted():
                self._record_of(service).lacks_room = False
            case messages.Denied(reason=reason) if reason in messages.NO_ROOM:
                self._record_of(service).lacks_room = True

    def late_after_seconds(
        self,
        service: str,
        kind: configuration.Kind,
        now: float,
        granted: float | None = None,
    ) -> float | None:
        """Returns after which time a request is to be hedged.

        The share of hedges would be used up by the first that are a little
        late if more were late than it covers. So the threshold is the larger of
        the operators' quantile, and the one that leaves as many late as the
        share covers.

        Args:
            service: the service that runs it.
            kind: its kind.
            now: the present time.
            granted: the threshold that came with its grant, which precedes what
                was learnt here; None without.

        Returns:
            Seconds from its sending; None if it is not to be hedged, or too
            little is known.
        """
        if not self.enabled or not is_hedgeable(kind):
            return None
        if granted is not None:
            return max(MIN_LATE_SECONDS, granted)
        record = self._record_of(service)
        covered = record.share.covered(self._options.request_share, now)
        fraction = max(self._options.quantile, 1.0 - covered)
        seconds = record.latencies.quantile(fraction, now)
        return None if seconds is None else max(MIN_LATE_SECONDS, seconds)

    def has_hedge(self, service: str) -> bool:
        """Returns whether the share has a hedge."""
        return self._record_of(service).share.has_token

    def try_take(
        self, service: str, stopping: bool, now: float, common: bool = False
    ) -> str:
        """Takes a hedge from the share.

        Args:
            service: the service that the hedge is for.
            stopping: whether the instance shuts down.
            now: the present time.
            common: whether the allocator holds the share, so that none is taken
                here.

        Returns:
            Why there is none; "" if there is one.
        """
        record = self._record_of(service)
        if stopping:
            return STOPPING
        if record.lacks_room:
            return NO_ROOM
        if not common and not record.share.try_take():
            return SHARE_USED_UP
        self._hedges.add(1, now)
        return ""

    def give_back(
        self, service: str, taken_at: float, common: bool = False
    ) -> None:
        """Gives a hedge back that was taken at a time and not sent."""
        if not common:
            self._record_of(service).share.give_back()
        self._hedges.subtract(1, taken_at)

    def _record_of(self, service: str) -> ServiceRecord:
        record = self._services.get(service)
        if record is None:
            record = self._services[service] = ServiceRecord(
                latency.RecentLatencies(), share.HedgeShare(self._randomness)
            )
        return record


def is_hedgeable(kind: configuration.Kind) -> bool:
    """Returns whether requests of a kind may be hedged."""
    return kind is configuration.Kind.IDEMPOTENT
