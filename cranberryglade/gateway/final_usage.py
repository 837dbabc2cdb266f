"""Usage of quotas before an instance was started again; performs no I/O.

Load pattern: a planned restart of many instances. What their requests used in
the present window is known to them alone if the allocator stops, too. So an
instance that stops tells its usage when it can use no more, and those that hear
it tell the next incarnation of its name, which reports it with its own usage.

A period of which nothing was told stays unknown: an instance that is killed
tells nothing, and the time between two incarnations counts as unknown, too, as
another one may have been killed in it.
"""

from collections.abc import Iterable
import dataclasses

from cranberryglade.gateway import datagrams
from cranberryglade.gateway import quotas

AGE_STEP_SECONDS = 0.25
"""Usage is summed by its age in steps of this length. It may count for one step
longer at each incarnation that it is told to."""

MAX_TOLD = 3
"""An instance is told its earlier usage by one other instance this often, as
datagrams may be lost."""


@dataclasses.dataclass(slots=True, frozen=True)
class Period:
    """A time of which all usage by an instance's requests is known.

    Attributes:
        began_at: its beginning, seconds of the loop's clock.
        ended_at: its end, seconds of the loop's clock.
    """

    began_at: float
    ended_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class FinalUsage:
    """All usage by the requests of an instance that has stopped.

    Attributes:
        incarnation: the incarnation that told it.
        periods: the times in which all usage is listed, that of earlier
            incarnations included.
        usages: the usage in them, with who granted it.
    """

    incarnation: str
    periods: tuple[Period, ...]
    usages: tuple[quotas.Usage, ...]

    @property
    def ended_at(self) -> float:
        """When the last of its periods ended, seconds of the loop's clock."""
        return max((each.ended_at for each in self.periods), default=0.0)


def known_seconds(
    periods: Iterable[Period], window_seconds: float, now: float
) -> float:
    """Returns how much of the window that ends now lies in some periods.

    >>> known_seconds([Period(1.0, 5.0), Period(6.0, 9.0)], 8.0, 9.0)
    7.0
    >>> known_seconds([Period(2.0, 8.0), Period(3.0, 7.0)], 8.0, 9.0)
    6.0
    >>> known_seconds([Period(-9.0, 0.0)], 8.0, 9.0)
    0
    """
    known = 0
    counted_until = now - window_seconds
    for period in sorted(periods, key=lambda each: each.began_at):
        ended_at = min(period.ended_at, now)
        if ended_at > counted_until:
            known += ended_at - max(period.began_at, counted_until)
            counted_until = ended_at
    return known


def known_seconds_of(
    uptime: float,
    earlier: tuple[Period, ...],
    window_seconds: float,
    now: float,
) -> float:
    """Returns for how long the usage of an instance is known.

    Args:
        uptime: seconds since its incarnation began, which it reports in full.
        earlier: times before of which it reports the usage, too.
        window_seconds: length of the window over which usage is counted.
        now: seconds of the loop's clock.

    Returns:
        Its uptime, or how much of the window is known if that is more.
    """
    if not earlier:
        return uptime
    periods = (*earlier, Period(now - uptime, now))
    return max(uptime, known_seconds(periods, window_seconds, now))


def encode_periods(
    periods: Iterable[Period], window_seconds: float, now: float
) -> list[datagrams.KnownPeriod]:
    """Returns the parts of periods that lie in the window, as ages."""
    oldest = now - window_seconds
    return [
        datagrams.KnownPeriod(
            now - max(each.began_at, oldest), now - each.ended_at
        )
        for each in periods
        if each.began_at < each.ended_at and oldest < each.ended_at <= now
    ]


def decode_periods(
    periods: Iterable[datagrams.KnownPeriod], now: float
) -> tuple[Period, ...]:
    """Returns periods with times of this loop's clock."""
    return tuple(
        Period(now - each.began_seconds, now - each.ended_seconds)
        for each in periods
        if each.ended_seconds < each.began_seconds
    )


def encode(
    name: str, final: FinalUsage, window_seconds: float, now: float
) -> datagrams.FinalUsage:
    """Returns the datagram of the final usage of an instance.

    Args:
        name: name of the instance.
        final: its usage; what is older than the window is left out.
        window_seconds: length of the window over which usage is counted.
        now: seconds of the loop's clock.
    """
    sums: dict[tuple[str, str, int], float] = {}
    for usage in final.usages:
        if usage.at > now - window_seconds:
            steps = max(0, int((now - usage.at) / AGE_STEP_SECONDS))
            key = (usage.organisation, usage.granter, steps)
            sums[key] = sums.get(key, 0.0) + usage.cost
    return datagrams.FinalUsage(
        name,
        final.incarnation,
        encode_periods(final.periods, window_seconds, now),
        [
            datagrams.GrantedUsage(
                organisation, cost, steps * AGE_STEP_SECONDS, granter
            )
            for (organisation, granter, steps), cost in sums.items()
        ],
    )


def decode(final: datagrams.FinalUsage, now: float) -> FinalUsage:
    """Returns the final usage of a datagram, with times of this clock."""
    return FinalUsage(
        final.incarnation,
        decode_periods(final.periods, now),
        tuple(
            quotas.Usage(
                each.organisation,
                each.cost,
                now - each.age_seconds,
                each.granter,
            )
            for each in final.usage
        ),
    )


@dataclasses.dataclass(slots=True)
class _Kept:
    final: FinalUsage
    successor: str = ""
    told: int = 0


class KeptUsage:
    """Final usage of other instances, until their next incarnation has it."""

    __slots__ = ("_kept",)

    def __init__(self):
        self._kept: dict[str, _Kept] = {}

    def keep(
        self, name: str, final: FinalUsage, latest_incarnation: str
    ) -> bool:
        """Keeps the final usage of an instance.

        Args:
            name: name of the instance.
            final: its usage.
            latest_incarnation: the incarnation of it that was heard last; ""
                if none was.

        Returns:
            Whether it is kept. It is not if another incarnation was heard
            since, which need not be the next one.
        """
        if latest_incarnation not in ("", final.incarnation):
            return False
        kept = self._kept.get(name)
        if kept is not None and kept.final.incarnation == final.incarnation:
            return False
        self._kept[name] = _Kept(final)
        return True

    def usage_before(self, name: str, incarnation: str) -> FinalUsage | None:
        """Returns what an incarnation that was heard is to be told.

        Args:
            name: name of the instance.
            incarnation: its incarnation that was heard.

        Returns:
            The final usage of the incarnation before; None if that is unknown,
            or was told often enough.
        """
        kept = self._kept.get(name)
        if kept is None or kept.final.incarnation == incarnation:
            return None
        if kept.successor not in ("", incarnation) or kept.told >= MAX_TOLD:
            del self._kept[name]
            return None
        kept.successor = incarnation
        kept.told += 1
        return kept.final

    def expire(self, oldest: float) -> None:
        """Drops usage that ended before a time of the loop's clock."""
        for name, kept in list(self._kept.items()):
            if kept.final.ended_at < oldest:
                del self._kept[name]
