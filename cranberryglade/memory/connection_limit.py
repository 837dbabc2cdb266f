"""Decides which connection is closed when too many are open; performs no I/O.

Load pattern: callers open connections and send nothing, or begin heads and do
not end them, until the process has no descriptor left for endpoints, the other
instances and the store.
"""

from typing import Generic
from typing import TypeVar

FILE_DESCRIPTORS = 200
"""Descriptors that are left for files."""

CALLER_SHARE = 0.6
"""Fraction of the others that callers' connections may take; the rest is for
endpoints, other instances and the store."""

MIN_CONNECTIONS = 64
"""Callers' connections that are allowed however few descriptors there are."""

ConnectionT = TypeVar("ConnectionT")


def callers_limit(max_descriptors: int) -> int:
    """Returns how many connections of callers may be open.

    >>> callers_limit(4096), callers_limit(100)
    (2337, 64)
    """
    usable = max_descriptors - FILE_DESCRIPTORS
    return max(MIN_CONNECTIONS, int(CALLER_SHARE * usable))


class ConnectionLimit(Generic[ConnectionT]):
    """Open connections by what their callers do, the longest first.

    Attributes:
        most: connections that may be open.
        closed: connections that were closed for being too many.
    """

    __slots__ = ("_idle", "_reading", "_serving", "closed", "most")

    def __init__(self, most: int):
        self.most = most
        self._idle: dict[ConnectionT, None] = {}
        self._reading: dict[ConnectionT, None] = {}
        self._serving: set[ConnectionT] = set()
        self.closed = 0

    @property
    def count(self) -> int:
        """Number of open connections."""
        return len(self._idle) + len(self._reading) + len(self._serving)

    def rest(self, connection: ConnectionT) -> None:
        """Records that no request is in progress from now on."""
        self.remove(connection)
        self._idle[connection] = None

    def read(self, connection: ConnectionT) -> None:
        """Records that a request is being read from now on."""
        self.remove(connection)
        self._reading[connection] = None

    def serve(self, connection: ConnectionT) -> None:
        """Records that a request is being served from now on."""
        self.remove(connection)
        self._serving.add(connection)

    def remove(self, connection: ConnectionT) -> None:
        """Takes a connection out; one that is not there is ignored."""
        self._idle.pop(connection, None)
        self._reading.pop(connection, None)
        self._serving.discard(connection)

    def find_excess(self) -> ConnectionT | None:
        """Returns the connection to close so that a new one may stay open.

        The one that was idle for the longest time; else the one whose request
        has been read for the longest time, which has not run. None if there
        are not too many, or if all serve requests.
        """
        if self.count <= self.most:
            return None
        return next(iter(self._idle), None) or next(iter(self._reading), None)
