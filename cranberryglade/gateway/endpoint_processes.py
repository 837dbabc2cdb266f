"""Which process of an endpoint answers on a connection.

Load pattern: an endpoint ends and starts again under its id, as another
software version, and its row does not show that yet; for as long as the store
is down, if it is. What it answers meanwhile must not be joined with answers of
the version in its row.

A connection ends with the process that accepted it. So it leads to the listed
process if the row was confirmed after the connection was opened, or if another
connection that leads there is open still.
"""

from collections.abc import Callable
import dataclasses

from cranberryglade.gateway import endpoint_directory
from cranberryglade.gateway import messages
from cranberryglade.gateway import outbound
from cranberryglade.gateway import store_watch

MAX_STEP_AGE_SECONDS = 2.5
"""An instance is out of step when the store, or a peer, last confirmed what it
knows longer ago; longer than the time between two confirmations."""

SETTLE_SECONDS = (
    endpoint_directory.RECOVERY_GRACE_SECONDS + store_watch.FEED_LAG_SECONDS
)
"""Time after which all rows that endpoints could not write meanwhile are known
to an instance that is in step again."""

MAX_IDLE_SECONDS = 15.0
"""A connection that was idle for longer shows nothing: if the machine of its
endpoint failed, nobody has closed it."""


@dataclasses.dataclass(slots=True)
class OpenConnection:
    """A connection to a process.

    Attributes:
        channel: the connection.
        since: when it was first used, seconds of the loop's clock.
        is_certain: whether it certainly leads to the listed process.
    """

    channel: outbound.Channel
    since: float
    is_certain: bool


class EndpointProcesses:
    """Connections to the listed process of each endpoint; performs no I/O.

    Times are seconds of the loop's clock.
    """

    __slots__ = ("_age", "_confirmed_until", "_connections", "_out_of_step_at")

    def __init__(self, age: Callable[[], float]):
        """Initialises without connections.

        Args:
            age: returns the seconds since the store, or a peer, last confirmed
                what this instance knows.
        """
        self._age = age
        self._confirmed_until = float("-inf")
        self._out_of_step_at = float("-inf")
        self._connections: dict[
            messages.EndpointProcess, dict[int, OpenConnection]
        ] = {}

    @property
    def confirmed_until(self) -> float:
        """The listed processes are those that answered before this time."""
        return self._confirmed_until

    def is_in_step(self, now: float) -> bool:
        """Returns whether rows are reported to this instance as usual."""
        return now - self._out_of_step_at >= SETTLE_SECONDS

    def has_all_rows(self, now: float) -> bool:
        """Returns whether a read of the endpoints shows all processes.

        Those that started while this instance was out of step, perhaps with the
        store down, have written their rows by then.
        """
        seconds = now - self._out_of_step_at
        return seconds >= endpoint_directory.RECOVERY_GRACE_SECONDS

    def tick(self, now: float) -> None:
        """Applies the age of what this instance knows."""
        age = self._age()
        if age == float("inf"):
            # It has just started and serves nobody.
            return
        if age > MAX_STEP_AGE_SECONDS:
            self._out_of_step_at = now
        elif self.is_in_step(now):
            until = now - age - store_watch.FEED_LAG_SECONDS
            self._confirmed_until = max(self._confirmed_until, until)

    def keep_only(self, listed: dict[str, messages.Endpoint]) -> None:
        """Forgets the connections to processes that are not listed."""
        processes = {endpoint.process for endpoint in listed.values()}
        for process in self._connections.keys() - processes:
            del self._connections[process]

    def observe(
        self,
        endpoint: messages.Endpoint,
        channel: outbound.Channel,
        now: float,
        was_certain: bool = False,
    ) -> bool:
        """Records that a connection to an endpoint is used.

        Args:
            endpoint: the endpoint.
            channel: the connection.
            now: the present time.
            was_certain: whether the listed process certainly answered just
                before the connection was opened.

        Returns:
            Whether it certainly leads to the listed process.
        """
        connections = self._connections.setdefault(endpoint.process, {})
        known = connections.get(id(channel))
        if known is None or known.channel is not channel:
            is_certain = was_certain or self.is_certain(endpoint)
            known = OpenConnection(channel, now, is_certain)
            _drop_closed(connections)
            connections[id(channel)] = known
        return self._update(known)

    def is_certain(self, endpoint: messages.Endpoint) -> bool:
        """Returns whether the listed process certainly answers now."""
        connections = self._connections.get(endpoint.process, {})
        return any(
            self._update(each) and each.channel.is_live(MAX_IDLE_SECONDS)
            for each in connections.values()
        )

    def _update(self, connection: OpenConnection) -> bool:
        if connection.since <= self._confirmed_until:
            connection.is_certain = True
        return connection.is_certain


def is_replaced(
    earlier: messages.Endpoint, listed: dict[str, messages.Endpoint]
) -> bool:
    """Returns whether an endpoint has started again as another version.

    When it did is not known by this machine's clock. What it answered on a
    connection that is not certain may be of either version.

    Args:
        earlier: the endpoint as it was listed when it answered.
        listed: the endpoints as they are listed now.
    """
    later = listed.get(earlier.id)
    return (
        later is not None
        and later.process != earlier.process
        and later.software_version != earlier.software_version
    )


def _drop_closed(connections: dict[int, OpenConnection]) -> None:
    for key, each in list(connections.items()):
        if not each.channel.is_live(MAX_IDLE_SECONDS):
            del connections[key]
