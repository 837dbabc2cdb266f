"""Looks up an endpoint that was granted before this instance has listed it.

Load pattern: many endpoints join at once while requests wait. The allocator
reads them from the store and grants their slots at once; the other instances
learn of them from their peers up to a second later. Without a lookup they give
these slots back, and their requests wait anew at the end of the queue.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import functools

from cranberryglade import log

MAX_WAIT_SECONDS = 0.15
"""Longest time that a request waits for a lookup; a peer answers within a few
milliseconds, and the slot stays unused meanwhile."""

Fetch = Callable[[str, str], Awaitable[bool]]
"""Fetches one endpoint, by its id, from a peer, by its name, and lists it.
Returns whether it is listed then."""

logger = log.get_logger(__name__)


class EndpointLookup:
    """Asks the instance that granted a slot for the endpoint of the slot."""

    __slots__ = ("_count_event", "_fetch", "_is_listed", "_tasks")

    def __init__(
        self,
        is_listed: Callable[[str], bool],
        fetch: Fetch,
        count_event: Callable[[str], None],
    ):
        """Creates a lookup without pending questions.

        Args:
            is_listed: returns whether this instance has listed an endpoint.
            fetch: asks a peer.
            count_event: counts an event in the metrics, by its name.
        """
        self._is_listed = is_listed
        self._fetch = fetch
        self._count_event = count_event
        self._tasks: dict[tuple[str, str], asyncio.Task] = {}

    async def ensure_listed(self, id_: str, granter: str) -> None:
        """Returns when an endpoint is listed, or cannot be for now.

        Requests that are granted slots of the same endpoint share one call.

        Args:
            id_: id of the endpoint.
            granter: name of the instance that granted its slot.
        """
        if self._is_listed(id_):
            return
        key = (id_, granter)
        task = self._tasks.get(key)
        if task is None:
            task = asyncio.create_task(self._ask(id_, granter))
            self._tasks[key] = task
            task.add_done_callback(functools.partial(self._end, key))
        await asyncio.wait([task], timeout=MAX_WAIT_SECONDS)

    async def _ask(self, id_: str, granter: str) -> None:
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        found = await self._fetch(id_, granter)
        self._count_event("endpoint_looked_up")
        logger.info(
            "endpoint.looked_up",
            endpoint=id_,
            granter=granter,
            found=found,
            took_ms=round((loop.time() - asked_at) * 1000, 1),
        )

    def _end(self, key: tuple[str, str], task: asyncio.Task) -> None:
        del self._tasks[key]
        log.report_failed_task(logger, task, task="endpoint_lookup")
