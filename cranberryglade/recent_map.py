"""A map that keeps what was set last, up to a number and an age."""

import collections
from collections.abc import Hashable
from collections.abc import Iterator
from typing import Generic
from typing import TypeVar

Key = TypeVar("Key", bound=Hashable)
Value = TypeVar("Value")


class RecentMap(Generic[Key, Value]):
    """Values by key; performs no I/O.

    Times are seconds of the loop's clock.

    >>> recent = RecentMap(retention_seconds=10.0, most=2)
    >>> for number, key in enumerate("abc"):
    ...     recent.set(key, number, now=float(number))
    >>> "a" in recent, recent.get("c")
    (False, 2)
    >>> recent.expire(now=11.5)
    >>> list(recent)
    ['c']
    """

    __slots__ = ("_most", "_retention_seconds", "_values")

    def __init__(self, retention_seconds: float, most: int):
        """Creates an empty map.

        Args:
            retention_seconds: how long a value is kept after it was set.
            most: number of values that are kept.
        """
        self._retention_seconds = retention_seconds
        self._most = most
        self._values: collections.OrderedDict[Key, tuple[Value, float]] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Returns the number of values."""
        return len(self._values)

    def __iter__(self) -> Iterator[Key]:
        """Returns the keys, in the order in which they were set."""
        return iter(self._values)

    def __contains__(self, key: Key) -> bool:
        """Returns whether there is a value."""
        return key in self._values

    def get(self, key: Key) -> Value | None:
        """Returns the value of a key, if there is one."""
        value, _ = self._values.get(key, (None, 0.0))
        return value

    def items(self) -> Iterator[tuple[Key, Value]]:
        """Returns the keys and values."""
        return ((key, value) for key, (value, _) in self._values.items())

    def set(self, key: Key, value: Value, now: float) -> None:
        """Sets a value; the oldest one is dropped if there are too many."""
        self._values[key] = value, now
        self._values.move_to_end(key)
        if len(self._values) > self._most:
            self._values.popitem(last=False)

    def discard(self, key: Key) -> None:
        """Drops the value of a key, if there is one."""
        self._values.pop(key, None)

    def clear(self) -> None:
        """Drops all values."""
        self._values.clear()

    def expire(self, now: float) -> None:
        """Drops the values that were set too long ago."""
        while self._values:
            _, set_at = next(iter(self._values.values()))
            if now - set_at < self._retention_seconds:
                return
            self._values.popitem(last=False)
