"""Decides the steps of one rollout.

Load pattern: a new version is started beside the old one under full traffic. It
first gets few requests (canary phase), then all new ones while the old version
drains (promotion). A version that is found bad gets no more at once.
"""

from collections.abc import Sequence
import dataclasses

from cranberryglade import log
from cranberryglade.gateway import messages
from cranberryglade.rollouts import bars
from cranberryglade.rollouts import canary
from cranberryglade.rollouts import comparison
from cranberryglade.rollouts import exposure
from cranberryglade.rollouts import options
from cranberryglade.rollouts import orders

MIN_ANSWERS = 50
"""Answers of the new version that a promotion waits for."""

LATEST_PROMOTION = 0.8
"""Fraction of the period at which a version is promoted with fewer answers."""

MIN_PROMOTION = 0.1
"""Fraction of the period that a promotion takes at least."""

END_MARGIN_SECONDS = 1.0
"""The last status is written this long before the end of the period."""

MAX_END_MARGIN = 0.1
"""As a fraction of the period at most."""

MAX_LISTED = 20
"""Most requests at old endpoints that one line of the log lists."""

logger = log.get_logger(__name__)


@dataclasses.dataclass(slots=True)
class Endpoints:
    """Endpoints of a service that accept requests, by software version.

    Attributes:
        new: those of the new version, in the order of the canary phase.
        old: those of other versions.
    """

    new: Sequence[messages.Endpoint] = ()
    old: Sequence[messages.Endpoint] = ()

    @property
    def old_versions(self) -> frozenset[str]:
        """Software versions other than the new one."""
        return frozenset(each.software_version for each in self.old)


class Rollout:
    """One rollout, as the allocator conducts it; performs no I/O.

    A step that gives the new version more is taken once it is stored
    (`confirm`); what takes from it holds at once.

    Attributes:
        order: the order.
        stored: the status that is stored; None before the first write.
        endpoints: the endpoints of its service.
        comparison: answers of the new version against those of the old one.
        rejection: why the new version was stopped; "" if it was not.
    """

    __slots__ = (
        "_began_at",
        "_budget",
        "_closing",
        "_next",
        "_promoted_at",
        "_rotation",
        "_schedule",
        "comparison",
        "endpoints",
        "order",
        "rejection",
        "stored",
    )

    def __init__(
        self,
        order: orders.Order,
        limit: exposure.Limit,
        schedule: options.RolloutOptions,
        initial: orders.Status,
        began_at: float,
    ):
        """Creates one that continues from a status.

        Args:
            order: the order.
            limit: most requests for a version that may be bad.
            schedule: the steps, as fractions of the period.
            initial: the status to begin with, or that predecessors stored.
            began_at: when the rollout began, seconds of the loop's clock.
        """
        self.order = order
        self.stored: orders.Status | None = None
        self.endpoints = Endpoints()
        self.comparison = comparison.Comparison()
        self.rejection = ""
        self._schedule = schedule
        self._budget = exposure.ExposureBudget(
            limit, initial.requests, initial.reserved
        )
        self._rotation = canary.CanaryRotation()
        self._next = initial
        self._began_at = began_at
        self._promoted_at = began_at
        self._closing = False

    @property
    def reserved(self) -> int:
        """Grants of the new version in the canary phase, at most."""
        return self._budget.reserved

    @property
    def is_over(self) -> bool:
        """Whether the last status is stored."""
        return (
            self.stored is not None
            and self.stored.state is not orders.State.RUNNING
        )

    @property
    def barred(self) -> bars.Bars:
        """The versions that get no slots, except in the canary's turn."""
        new = frozenset((self.order.version,))
        if self._next.state is orders.State.ROLLED_BACK or self.stored is None:
            return bars.bar(new)
        old = self.endpoints.old_versions
        match self.stored:
            case orders.Status(state=orders.State.COMPLETED):
                return bars.bar(old)
            case orders.Status(phase=orders.Phase.PROMOTION):
                return bars.bar(old) if self._closing else bars.Bars(old)
        return bars.bar(new)

    def canary_endpoint(self, now: float) -> str:
        """Returns the new endpoint that gets the next request; "" for none."""
        if (
            self.stored is None
            or self._next.state is not orders.State.RUNNING
            or self.stored.phase is not orders.Phase.CANARY
        ):
            return ""
        new = self.endpoints.new
        return self._rotation.current(new, self._budget.unused, now)

    def record_request(self) -> None:
        """Counts a request that reaches the service."""
        self._budget.requests += 1

    def record_grant(self, version: str) -> None:
        """Counts a grant of an endpoint of a version."""
        if version == self.order.version:
            self._budget.use()
            self._rotation.use()

    def record_answer(self, version: str, answer: comparison.Answer) -> None:
        """Includes an answer in the verdict."""
        if version == self.order.version:
            self.comparison.add_new(
                answer, len(self.endpoints.new), len(self.endpoints.old)
            )
        else:
            self.comparison.add_old(answer)
        if self.comparison.reason:
            self.roll_back(self.comparison.reason)

    def roll_back(self, reason: str) -> None:
        """Stops the new version, unless the rollout has ended."""
        if self._next.state is not orders.State.RUNNING or self.is_over:
            return
        self.rejection = reason
        self._next = dataclasses.replace(
            self._next, state=orders.State.ROLLED_BACK
        )
        logger.warning(
            "rollout.rolled_back", reason=reason, **self._log_fields()
        )

    def advance(
        self, running_at_old: Sequence[str], all_heard: bool, now: float
    ) -> None:
        """Takes the next step if it is time.

        Args:
            running_at_old: ids of the requests at endpoints of old versions.
            all_heard: whether all instances report their requests.
            now: seconds of the loop's clock.
        """
        if self.stored is None or self._next.state is not orders.State.RUNNING:
            return
        elapsed = now - self._began_at
        if not self.endpoints.new:
            promoted = self.stored.phase is orders.Phase.PROMOTION
            if promoted or elapsed >= self._end:
                self.roll_back("no endpoint of the version")
            return
        match self.stored.phase:
            case orders.Phase.CANARY:
                self._end_canary(elapsed)
            case orders.Phase.PROMOTION:
                self._end_promotion(running_at_old, all_heard, elapsed, now)

    def status_to_store(self) -> orders.Status | None:
        """Returns the status to store; None if the stored one holds."""
        status = dataclasses.replace(
            self._next,
            requests=self._budget.requests,
            reserved=self._reservation(),
        )
        stored = self.stored
        if stored is not None and (
            status.state,
            status.phase,
            status.reserved,
        ) == (stored.state, stored.phase, stored.reserved):
            return None
        return status

    def confirm(self, status: orders.Status, now: float) -> None:
        """Acts on a status that is stored."""
        if (
            self.stored is not None
            and self.stored.phase is not status.phase
            and status.phase is orders.Phase.PROMOTION
        ):
            self._promoted_at = now
        self._budget.confirm(status.reserved)
        self.stored = status

    @property
    def _end(self) -> float:
        """When the last status is to be written, seconds after the begin."""
        period = self.order.period_seconds
        return period - min(END_MARGIN_SECONDS, MAX_END_MARGIN * period)

    def _reservation(self) -> int:
        running = self._next.state is orders.State.RUNNING
        in_canary = running and self._next.phase is orders.Phase.CANARY
        if not in_canary or not self.endpoints.new:
            return self._budget.reserved
        return self._budget.wanted

    def _end_canary(self, elapsed: float) -> None:
        period = self.order.period_seconds
        if elapsed < self._schedule.canary_fraction * period:
            return
        latest = elapsed >= LATEST_PROMOTION * period
        if self.comparison.doubt:
            if latest:
                self.roll_back(f"undecided: {self.comparison.doubt}")
        elif latest or self.comparison.answers >= MIN_ANSWERS:
            self._promote()

    def _promote(self) -> None:
        if self._next.phase is orders.Phase.PROMOTION:
            return
        self._next = dataclasses.replace(
            self._next, phase=orders.Phase.PROMOTION
        )
        logger.info("rollout.promoted", **self._log_fields())

    def _end_promotion(
        self,
        running_at_old: Sequence[str],
        all_heard: bool,
        elapsed: float,
        now: float,
    ) -> None:
        if elapsed >= self._end:
            if self.comparison.doubt:
                self.roll_back(f"undecided: {self.comparison.doubt}")
            else:
                self._complete(running_at_old)
            return
        dwell = MIN_PROMOTION * self.order.period_seconds
        if now - self._promoted_at < dwell or self.comparison.doubt:
            return
        # What was granted before the old version was closed may still begin.
        drained = all_heard and not running_at_old
        if self._closing and drained:
            self._complete(())
        self._closing = drained

    def _complete(self, running_at_old: Sequence[str]) -> None:
        self._closing = True
        self._next = dataclasses.replace(
            self._next, state=orders.State.COMPLETED
        )
        logger.info(
            "rollout.completed",
            running=len(running_at_old),
            ids=list(running_at_old[:MAX_LISTED]),
            **self._log_fields(),
        )

    def _log_fields(self) -> dict[str, str | int]:
        return {
            "service": self.order.service,
            "to": self.order.version,
            "requests": self._budget.requests,
            "reserved": self._budget.reserved,
            "answers": self.comparison.answers,
            "bad": self.comparison.bad_answers,
        }
