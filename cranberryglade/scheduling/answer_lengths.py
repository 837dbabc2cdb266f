"""Estimates of answer lengths, by kind of request."""

import collections
import dataclasses
import math

from cranberryglade.scheduling import messages

MAX_KINDS = 1_000
SMOOTHING_FACTOR = 0.05
INITIAL_LENGTH_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class _LengthStats:
    mean: float
    variance: float = 0.0
    samples: int = 0

    def record(self, tokens: int) -> None:
        self.samples += 1
        rate = max(SMOOTHING_FACTOR, 1 / self.samples)
        error = tokens - self.mean
        self.mean += rate * error
        self.variance = (1 - rate) * (self.variance + rate * error * error)


class AnswerLengths:
    """Answer lengths by kind; evicts the least recently updated kind.

    >>> from cranberryglade.tests import builders
    >>> lengths = AnswerLengths()
    >>> request = builders.request(output_tokens=100)
    >>> lengths.length(request)
    50.0
    >>> lengths.record(request, 30)
    >>> lengths.length(request)
    30.0
    """

    __slots__ = ("_lengths",)

    def __init__(self):
        self._lengths: collections.OrderedDict[str, _LengthStats] = (
            collections.OrderedDict()
        )

    def length(self, request: messages.Request, deviations: float = 0) -> float:
        """Returns the expected length of the answer in tokens.

        It is at most the length allowed, and INITIAL_LENGTH_SHARE of that for a
        kind without an answer so far.

        Args:
            request: the request to be answered.
            deviations: number of standard deviations to add to the mean.
        """
        stats = self._lengths.get(request.kind)
        if stats is None:
            return request.output_tokens * INITIAL_LENGTH_SHARE
        expected = stats.mean + deviations * math.sqrt(stats.variance)
        return min(expected, request.output_tokens)

    def record(self, request: messages.Request, output_tokens: int) -> None:
        """Updates the estimate of a kind with the length of an answer."""
        stats = self._lengths.get(request.kind)
        if stats is None:
            stats = self._lengths[request.kind] = _LengthStats(output_tokens)
            if len(self._lengths) > MAX_KINDS:
                self._lengths.popitem(last=False)
        self._lengths.move_to_end(request.kind)
        stats.record(output_tokens)
