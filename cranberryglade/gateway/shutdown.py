"""Which requests an instance that shuts down still accepts; no I/O.

Load pattern: callers keep their connections open and send on them until the
process has ended, while a balancer still sends new ones for some seconds. A
request that is accepted late is dropped with the process, although another
instance would have served it.

All times are seconds of one clock that also advances while the machine is
suspended, since the time until SIGKILL does not wait for it either.
"""

import dataclasses
import math

BALANCER_SECONDS = 2.9
"""Time after SIGTERM during which new connections are still accepted, until
the balancer has seen that the instance is not ready."""

END_MARGIN_SECONDS = 0.8
"""Time kept free between the end of the shutdown and SIGKILL."""

FLUSH_SECONDS = 0.3
"""How long last answers may take on their way, if half of that margin is not
shorter."""

END_MARGIN_SHARE = 1 / 6
"""The same as a share of the grace time, if that is shorter. An endpoint may be
at work for all the time before, and its request is not cut then."""


@dataclasses.dataclass(slots=True, frozen=True)
class Schedule:
    """Times of a shutdown.

    Attributes:
        began_at: when SIGTERM was handled.
        balancer_until: until when the balancer may send new connections.
        ends_at: when all requests have to be answered.
        flush_seconds: how long last answers may take on their way then.
    """

    began_at: float
    balancer_until: float
    ends_at: float
    flush_seconds: float


class Shutdown:
    """The shutdown of an instance, from SIGTERM to the end of the process."""

    __slots__ = ("_schedule",)

    def __init__(self):
        self._schedule: Schedule | None = None

    @property
    def begun(self) -> bool:
        """Whether the instance is shutting down."""
        return self._schedule is not None

    def begin(self, now: float, grace_seconds: float) -> Schedule:
        """Begins the shutdown; a repeated call changes nothing.

        Args:
            now: time of SIGTERM.
            grace_seconds: time from SIGTERM to SIGKILL.

        Returns:
            The times of the shutdown.
        """
        if self._schedule is None:
            margin = min(END_MARGIN_SECONDS, END_MARGIN_SHARE * grace_seconds)
            ends_at = now + grace_seconds - margin
            self._schedule = Schedule(
                began_at=now,
                balancer_until=min(now + BALANCER_SECONDS, ends_at),
                ends_at=ends_at,
                flush_seconds=min(FLUSH_SECONDS, margin / 2),
            )
        return self._schedule

    def accepts(self, now: float, timeout_seconds: float) -> bool:
        """Returns whether a request that has just been read is accepted.

        Until the balancer has seen that the instance is not ready, a refused
        request could come back to it. After that, a request is accepted only if
        its timeout ends before the shutdown does.

        Args:
            now: the present time.
            timeout_seconds: time until the request's final answer is due.
        """
        match self._schedule:
            case None:
                return True
            case Schedule(balancer_until=until) if now < until:
                return True
            case Schedule(ends_at=ends_at):
                return now + timeout_seconds <= ends_at

    def has_ended(self, now: float) -> bool:
        """Returns whether all requests should have been answered."""
        return self.seconds_left(now) <= 0.0

    def seconds_left(self, now: float) -> float:
        """Returns the time until the shutdown ends; infinite before SIGTERM."""
        if self._schedule is None:
            return math.inf
        return self._schedule.ends_at - now

    def log_fields(self, now: float) -> dict[str, int]:
        """Returns log fields: the time since SIGTERM; none before it."""
        if self._schedule is None:
            return {}
        return {"stopping_ms": round((now - self._schedule.began_at) * 1000)}
