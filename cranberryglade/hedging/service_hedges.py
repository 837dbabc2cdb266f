"""Learns at the allocator when answers are late; shares hedges of services.

Load pattern: the repeatable plain requests of a service are 17 a second, over
59 instances. One instance sees one of them in three seconds, too few to learn a
threshold or to earn a hedge within a minute. The allocator sees all of them.
"""

import math
import random

from cranberryglade.gateway import endpoint_states
from cranberryglade.gateway import messages
from cranberryglade.hedging import control
from cranberryglade.hedging import options

LEARNT_FROM = frozenset((messages.Outcome.SERVED, messages.Outcome.ABANDONED))
"""Outcomes whose time to the first answer counts. Of an attempt that is no
hedge, an abandoned one has a time only if its hedge overtook it: that until
then."""

NEVER_SENT = frozenset(
    (messages.Outcome.ABANDONED, messages.Outcome.UNREACHABLE)
)
"""Outcomes of a hedge that was not sent if it has no time."""


class ServiceHedges:
    """Thresholds and shares over all instances; performs no I/O.

    It decides only while its instance is the allocator. Times `now` are seconds
    of the loop's clock.
    """

    __slots__ = (
        "_control",
        "_is_allocating",
        "_options",
        "_randomness",
        "_since",
    )

    def __init__(
        self,
        hedging_options: options.HedgingOptions,
        randomness: random.Random | None = None,
    ):
        """Creates one that knows no service and does not decide yet.

        Args:
            hedging_options: what operators set.
            randomness: as in `share.HedgeShare`; None for one of its own.
        """
        self._options = hedging_options
        self._randomness = randomness or random.Random()
        self._is_allocating = False
        self._since = -math.inf
        self._forget()

    @property
    def decides(self) -> bool:
        """Whether hedges are taken from the shares here."""
        return self._is_allocating and self._control.enabled

    def set_options(self, hedging_options: options.HedgingOptions) -> None:
        """Sets new options; what was learnt stays."""
        self._options = hedging_options
        self._control.set_options(hedging_options)

    def set_allocating(self, allocating: bool, now: float) -> None:
        """Records whether this instance is the allocator.

        A new allocator learns from the beginning, and has less than one hedge
        of each service.
        """
        if allocating and not self._is_allocating:
            self._forget()
            self._since = now
        self._is_allocating = allocating

    def extra_share(self, now: float) -> float:
        """Returns the hedges for each request of the last minute."""
        return self._control.extra_share(now) if self.decides else 0.0

    def deny(self, request: messages.SlotRequest) -> messages.Denied | None:
        """Returns why a slot request is denied for want of a hedge, if it is.

        Args:
            request: a slot request that has not been seen before.
        """
        if request.rank != messages.HEDGE_RANK:
            return None
        if self._is_allocating:
            if self.decides and self._control.has_hedge(request.service):
                return None
        elif not request.takes_common_hedge:
            return None
        return messages.Denied(request.id, messages.HEDGES_USED_UP, 0.0)

    def record_request(self, request: messages.SlotRequest, now: float) -> None:
        """Counts a slot request of any kind, which earns a share of a hedge."""
        if self.decides and request.rank != messages.HEDGE_RANK:
            self._control.record_request(request.service, request.kind, now)

    def record_grant(
        self, request: messages.SlotRequest, now: float
    ) -> float | None:
        """Records a grant; one to a hedge takes it from its share.

        Returns:
            As `late_after_seconds`.
        """
        if self.decides and request.rank == messages.HEDGE_RANK:
            self._control.try_take(request.service, stopping=False, now=now)
        return self.late_after_seconds(request, now)

    def late_after_seconds(
        self, request: messages.SlotRequest | None, now: float
    ) -> float | None:
        """Returns after which time the answer to a request is late.

        Returns:
            Seconds; None if it is not to be hedged, or too little is known.
        """
        if request is None or not self.decides or not is_counted(request):
            return None
        return self._control.late_after_seconds(
            request.service, request.kind, now
        )

    def record_release(
        self,
        lease: endpoint_states.Lease,
        outcome: messages.Outcome,
        first_answer_seconds: float | None,
        now: float,
    ) -> None:
        """Learns from an attempt that has ended.

        Args:
            lease: its lease.
            outcome: how it ended.
            first_answer_seconds: the time to its first answer, or until its
                hedge overtook it; of a hedge that was abandoned, the time since
                it was sent. None without.
            now: the present time.
        """
        request = lease.request
        if request is None or not lease.granted_here or not self.decides:
            return
        if lease.granted_at < self._since:
            # An earlier share paid for it.
            return
        if request.rank == messages.HEDGE_RANK:
            if first_answer_seconds is None and outcome in NEVER_SENT:
                self._control.give_back(request.service, lease.granted_at)
        elif first_answer_seconds is not None and outcome in LEARNT_FROM:
            self._control.record_answer(
                request.service, request.kind, first_answer_seconds, now
            )

    def _forget(self) -> None:
        self._control = control.HedgeControl(self._options, self._randomness)


def is_counted(request: messages.SlotRequest) -> bool:
    """Returns whether a slot request is plain and not that of a hedge."""
    return not request.kind.streams and request.rank != messages.HEDGE_RANK
