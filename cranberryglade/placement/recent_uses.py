"""Endpoints that were used lately for a key; performs no I/O.

Load pattern: many instances and many endpoints, so that each pair is rarely
used and its connection has been idle for too long by then; and prompts with
common parts, which an endpoint need not read again for some seconds.
"""

import collections
import math

MAX_FOUND = 2
"""Most endpoints that are found for a key, the latest ones."""

MAX_USES = 16
"""Most uses that are kept for a key."""

MAX_KEYS = 4096
"""Most keys that are kept, those that were used last."""


class RecentUses:
    """Endpoints by key, each with the time of its last use."""

    __slots__ = ("_period_seconds", "_uses")

    def __init__(self, period_seconds: float):
        """Creates an empty record.

        Args:
            period_seconds: time after which a use does not count any more.
        """
        self._period_seconds = period_seconds
        self._uses: collections.OrderedDict[str, dict[str, float]] = (
            collections.OrderedDict()
        )

    def record(self, key: str, endpoint: str, now: float) -> bool:
        """Records that an endpoint was used for a key.

        Returns:
            Whether it was so lately, too.
        """
        uses = self._uses.setdefault(key, {})
        self._uses.move_to_end(key)
        before = uses.pop(endpoint, -math.inf)
        uses[endpoint] = now
        if len(uses) > MAX_USES:
            del uses[next(iter(uses))]
        if len(self._uses) > MAX_KEYS:
            self._uses.popitem(last=False)
        return now - before <= self._period_seconds

    def discard(self, key: str, endpoint: str) -> None:
        """Forgets that an endpoint was used for a key."""
        if key in self._uses:
            self._uses[key].pop(endpoint, None)

    def find(self, key: str, now: float) -> list[str]:
        """Returns the endpoints that were used for a key, the latest first."""
        uses = self._uses.get(key)
        found: list[str] = []
        if uses is None:
            return found
        for endpoint, used_at in reversed(uses.items()):
            if now - used_at > self._period_seconds:
                break
            found.append(endpoint)
            if len(found) == MAX_FOUND:
                break
        return found
