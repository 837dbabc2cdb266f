"""Finds endpoints that are slower than they usually are, for a short time.

Load pattern: an endpoint slows down by a factor of 2.5 for some 600 ms, 15% of
the time. The moving average of its pace follows too late, and not at all once
it is over. What tells earlier is the last part of each answer, from its first
events to its end. An endpoint that is always slow is as fast as usual.
"""

from collections.abc import Iterable
import dataclasses

from cranberryglade.gateway import configuration
from cranberryglade.gateway import endpoint_states
from cranberryglade.gateway import messages

SLOWED_FACTOR = 1.5
"""From this factor above its usual pace on, an endpoint is slowed. A spell that
covers half of the last part of an answer slows that part by 1.75."""

MEMORY_SECONDS = 0.3
"""An endpoint counts as slowed for this time after it was found to be: half of
the spells that the load has."""

MAX_SLOWED_SHARE = 1 / 3
"""If more endpoints are slowed than this share, load is the reason, and it
makes no difference which of them gets a request."""

USUAL_RATE = 0.1
"""Weight of a new sample in the usual pace of an endpoint."""

MIN_SAMPLES = 4
"""Samples from which on the usual pace of an endpoint is known."""


STREAMED_KINDS = frozenset(
    (configuration.Kind.STREAM, configuration.Kind.RESUMABLE)
)


@dataclasses.dataclass(slots=True, frozen=True)
class Sample:
    """What a whole answer tells of the pace of its endpoint.

    Attributes:
        pace: seconds for each unit of the latest work that was measured.
        is_streamed: whether that is the pace of the events.
    """

    pace: float
    is_streamed: bool


def make_sample(
    request: messages.SlotRequest,
    first_answer_seconds: float,
    whole_seconds: float,
) -> Sample:
    """Returns what an answer tells.

    Args:
        request: its request.
        first_answer_seconds: time to the first answer or events.
        whole_seconds: time to its end.
    """
    later_seconds = whole_seconds - first_answer_seconds
    if (
        request.kind in STREAMED_KINDS
        and request.output_tokens > 0
        and later_seconds > 0
    ):
        return Sample(later_seconds / request.output_tokens, True)
    size = endpoint_states.work_units(request)
    return Sample(first_answer_seconds / size, False)


@dataclasses.dataclass(slots=True)
class UsualPace:
    """Moving average of the paces of one kind of sample.

    Attributes:
        value: seconds for each unit of work.
        samples: number of samples.
    """

    value: float = 0.0
    samples: int = 0

    def ratio(self, pace: float) -> float:
        """Returns how much slower a pace is than usual; 1 if not known."""
        if self.samples < MIN_SAMPLES or self.value <= 0:
            return 1.0
        return pace / self.value

    def add(self, pace: float) -> None:
        """Includes a sample; a slowed one counts as the limit at most."""
        if self.samples >= MIN_SAMPLES:
            pace = min(pace, SLOWED_FACTOR * self.value)
        rate = max(USUAL_RATE, 1 / (self.samples + 1))
        self.value += rate * (pace - self.value)
        self.samples += 1


@dataclasses.dataclass(slots=True)
class RecentPace:
    """The present pace of one endpoint beside its usual one.

    Attributes:
        streamed: usual pace of the events of its answers.
        whole: usual pace of answers that come at once.
        factor: how much slower than usual it was found to be last.
        slowed_until: until when that counts, seconds of the loop's clock.
    """

    streamed: UsualPace = dataclasses.field(default_factory=UsualPace)
    whole: UsualPace = dataclasses.field(default_factory=UsualPace)
    factor: float = 1.0
    slowed_until: float = 0.0

    def record(self, sample: Sample, now: float) -> bool:
        """Includes an answer that has just ended.

        Returns:
            Whether it shows that the endpoint has become slowed.
        """
        usual = self.streamed if sample.is_streamed else self.whole
        ratio = usual.ratio(sample.pace)
        usual.add(sample.pace)
        if ratio < SLOWED_FACTOR:
            return False
        begins = self.slowed_until <= now
        self.factor = ratio
        self.slowed_until = now + MEMORY_SECONDS
        return begins


class RecentPaces:
    """The present paces of the endpoints; performs no I/O."""

    __slots__ = ("_paces", "_slowed")

    def __init__(self):
        self._paces: dict[str, RecentPace] = {}
        self._slowed: dict[str, float] = {}

    def record(self, endpoint: str, sample: Sample, now: float) -> bool:
        """Includes an answer of an endpoint that has just ended.

        Returns:
            Whether it shows that the endpoint has become slowed.
        """
        pace = self._paces.get(endpoint)
        if pace is None:
            pace = self._paces[endpoint] = RecentPace()
        begins = pace.record(sample, now)
        if pace.slowed_until > now:
            self._slowed.pop(endpoint, None)
            self._slowed[endpoint] = pace.slowed_until
        return begins

    def factor(self, endpoint: str, now: float) -> float:
        """Returns how much slower than usual an endpoint is now; 1 if not."""
        pace = self._paces.get(endpoint)
        if pace is None or pace.slowed_until <= now:
            return 1.0
        self._expire(now)
        if len(self._slowed) > MAX_SLOWED_SHARE * len(self._paces):
            return 1.0
        return pace.factor

    def forget(self, listed: Iterable[str]) -> None:
        """Drops what is kept of endpoints that are gone."""
        for name in self._paces.keys() - set(listed):
            del self._paces[name]
            self._slowed.pop(name, None)

    def _expire(self, now: float) -> None:
        # They are in the order in which they were found, and so of the ends.
        while self._slowed:
            name = next(iter(self._slowed))
            if self._slowed[name] > now:
                return
            del self._slowed[name]
