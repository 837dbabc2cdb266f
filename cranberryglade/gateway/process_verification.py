"""Verifies that the listed process of an endpoint is the one that answers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from cranberryglade import log
from cranberryglade.gateway import endpoint_processes
from cranberryglade.gateway import messages
from cranberryglade.gateway import state

logger = log.get_logger(__name__)


class ProcessVerifier:
    """Asks the open connections, then the platform's store."""

    __slots__ = ("_processes", "_read_endpoints", "_state")

    def __init__(
        self,
        shared: state.InstanceState,
        processes: endpoint_processes.EndpointProcesses,
        read_endpoints: Callable[[], Awaitable[bool | None]],
    ):
        """Initialises it.

        Args:
            shared: has the list of endpoints.
            processes: connections to the endpoints.
            read_endpoints: brings the list up to date; returns whether it
                could be read.
        """
        self._state = shared
        self._processes = processes
        self._read_endpoints = read_endpoints

    async def find_unusable(self, endpoint: messages.Endpoint) -> list[str]:
        """Returns which endpoints a stream cannot go on at for now.

        Args:
            endpoint: the endpoint that it is to go on at.

        Returns:
            Ids; none if the endpoint answers as the process in its row. If the
            store cannot tell, all endpoints that may be another process, so
            that the stream does not wait for the store once more.
        """
        if self._processes.is_certain(endpoint):
            return []
        if not await self._read_endpoints():
            _log(endpoint, "unconfirmed")
            return [
                each.id
                for each in self._state.endpoints.values()
                if each.service == endpoint.service
                and not self._processes.is_certain(each)
            ]
        listed = self._state.endpoints.get(endpoint.id)
        if listed is not None and listed.process == endpoint.process:
            return []
        _log(endpoint, "started_again" if listed else "removed")
        return [endpoint.id]

    def is_confirmed(self, begun: float) -> bool:
        """Returns whether the rows of a time are confirmed, without asking.

        Args:
            begun: the time, seconds of the loop's clock.
        """
        return begun <= self._processes.confirmed_until

    async def began(self, endpoint: messages.Endpoint, begun: float) -> bool:
        """Returns whether a stream began at the process in an endpoint's row.

        Args:
            endpoint: the endpoint as it was listed then.
            begun: when that was, seconds of the loop's clock.
        """
        if self.is_confirmed(begun):
            return True
        problem = ""
        if not await self._read_endpoints():
            problem = "unconfirmed"
        elif endpoint_processes.is_replaced(endpoint, self._state.endpoints):
            problem = "started_again"
        elif not self._processes.has_all_rows(
            asyncio.get_running_loop().time()
        ):
            problem = "out_of_step"
        if problem:
            _log(endpoint, problem)
        return not problem


def _log(endpoint: messages.Endpoint, reason: str) -> None:
    logger.info(
        "endpoint.unverified",
        endpoint=endpoint.id,
        started_ms=endpoint.started_ms,
        software_version=endpoint.software_version,
        reason=reason,
    )
