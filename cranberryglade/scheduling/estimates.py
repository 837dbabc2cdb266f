"""How long answers are, learnt by kind from those that ended."""

import collections
import dataclasses
import math

from cranberryglade.scheduling import messages

KEPT_KINDS = 1_000
LEARNING_RATE = 0.05
FIRST_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class _Length:
    mean: float
    variance: float = 0.0
    samples: int = 0

    def learn(self, tokens: int) -> None:
        self.samples += 1
        rate = max(LEARNING_RATE, 1 / self.samples)
        step = tokens - self.mean
        self.mean += rate * step
        self.variance = (1 - rate) * (self.variance + rate * step * step)


class Estimates:
    """Lengths of answers by kind; the kind not used for longest is forgotten.

    >>> from cranberryglade.tests import builders
    >>> learnt = Estimates()
    >>> request = builders.request(output_tokens=100)
    >>> learnt.length(request)
    50.0
    >>> learnt.learn(request, 30)
    >>> learnt.length(request)
    30.0
    """

    __slots__ = ("_lengths",)

    def __init__(self):
        self._lengths: collections.OrderedDict[str, _Length] = (
            collections.OrderedDict()
        )

    def length(self, request: messages.Request, deviations: float = 0) -> float:
        """Expected length of the answer in tokens.

        Args:
            request: what will be answered.
            deviations: how many standard deviations above the mean.
        """
        learnt = self._lengths.get(request.kind)
        if learnt is None:
            return request.output_tokens * FIRST_SHARE
        expected = learnt.mean + deviations * math.sqrt(learnt.variance)
        return min(expected, request.output_tokens)

    def learn(self, request: messages.Request, output_tokens: int) -> None:
        """Takes in the length of a whole answer."""
        learnt = self._lengths.get(request.kind)
        if learnt is None:
            learnt = self._lengths[request.kind] = _Length(output_tokens)
            if len(self._lengths) > KEPT_KINDS:
                self._lengths.popitem(last=False)
        self._lengths.move_to_end(request.kind)
        learnt.learn(output_tokens)
