"""Tests whether the endpoints of a version are slower than those of another.

Load pattern: a version is slow in all its answers while engines of one version
differ several times in speed. Single endpoints are then within what the slowest
old one takes, but their distribution is not that of the old version.
"""

import math

ALTERNATIVES = (0.1, 0.2, 0.3, 0.36, 0.42, 0.5, 0.6)
"""Under each alternative the rank of a new endpoint is at most this high."""

CERTAINTY = 0.9
"""Part of the new endpoints for which an alternative holds."""

RANK_MARGIN = 1.1
"""Factor by which a good version may have more slow engines."""

MIN_RANK = 0.02
"""Added to each rank: part of the new endpoints that may be slow although no
old one is."""

MIN_VALUE = 1e-300
"""Least value of an alternative, which some hundred good endpoints would bring
to 0."""


class VersionTest:
    """A likelihood ratio against a mixture of alternatives.

    Each endpoint counts once, by its first answers. While the ranks of good
    endpoints are uniform and independent, the ratio is a supermartingale that
    begins at 1, so the probability that it ever reaches A is at most 1 / A. The
    margins cover that both versions are small samples of the hardware.
    """

    __slots__ = ("_counted", "_values")

    def __init__(self):
        self._values = [1.0] * len(ALTERNATIVES)
        self._counted: set[str] = set()

    @property
    def logarithm(self) -> float:
        """Natural logarithm of the ratio."""
        return math.log(sum(self._values) / len(self._values))

    def has_counted(self, endpoint: str) -> bool:
        """Returns whether an endpoint has been included."""
        return endpoint in self._counted

    def observe(self, endpoint: str, rank: float) -> None:
        """Includes an endpoint of the new version.

        Args:
            endpoint: its id.
            rank: part of the old endpoints that are at least as slow.
        """
        self._counted.add(endpoint)
        rank = MIN_RANK + RANK_MARGIN * rank
        for index, highest in enumerate(ALTERNATIVES):
            ratio = 1 - CERTAINTY
            if rank <= highest:
                ratio += CERTAINTY / highest
            self._values[index] = max(MIN_VALUE, self._values[index] * ratio)


def alarm_logarithm(tests: int, error_rate: float) -> float:
    """Returns the logarithm from which on a version counts as bad.

    Args:
        tests: number of tests that may raise the alarm.
        error_rate: probability of a false alarm by any of them.
    """
    return math.log(tests / error_rate)
