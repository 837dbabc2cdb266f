"""What endpoints say of themselves: state, load and cache, late and with gaps.

An endpoint that publishes events is followed by one stream each; others are
asked for their load. Only endpoints that this instance feeds are followed, and
those that are no longer listed, to find out whether they still answer.
"""

import asyncio
import collections
from collections.abc import AsyncIterator

import aiohttp
import reactivex
from reactivex import subject
from returns.result import Failure
from returns.result import Success

from cranberryglade import log
from cranberryglade import membership
from cranberryglade import wire
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import pools
from cranberryglade.scheduling import scheduler

EVENTS_PATH = "/v1/events"
LOAD_PATH = "/v1/load"
CHECK_SECONDS = 0.5
LOAD_SECONDS = 2.0
SILENT_SECONDS = 5.0
RETRY_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 0.5
KEPT_PREFIXES = 4096

logger = log.get_logger(__name__)


class EventLine(wire.Document, omit_defaults=True):
    """One line of an endpoint's stream of events.

    Attributes:
        sequence: counts the lines; a gap means that some were lost.
        state: "live" or "leaving".
        incarnation: the process that speaks; "" if it does not know.
        running: requests in its batch.
        waiting: requests let in and not in the batch.
        age_ms: how old the figures are.
        held: prefixes cached since the last line.
        dropped: prefixes dropped since the last line.
    """

    sequence: int
    state: str = "live"
    incarnation: str = ""
    running: int = 0
    waiting: int = 0
    age_ms: int = 0
    held: list[str] = []
    dropped: list[str] = []


class LoadDocument(wire.Document, forbid_unknown_fields=False):
    """Answer of an endpoint that is asked for its load.

    Attributes:
        running: requests in its batch.
        waiting: requests let in and not in the batch.
        state: "live" or "leaving".
    """

    running: int = 0
    waiting: int = 0
    state: str = "live"


class _Followed:
    """One endpoint process that is followed."""

    __slots__ = ("endpoint", "heard_at", "prefixes", "sequence", "silent")

    def __init__(self, endpoint: messages.Endpoint, now: float):
        self.endpoint = endpoint
        self.heard_at = now
        self.sequence: int | None = None
        self.silent = False
        self.prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )


class Reports:
    """Follows endpoints and turns what they say into events for the core."""

    __slots__ = (
        "_core",
        "_membership",
        "_session",
        "_subject",
        "_tasks",
    )

    def __init__(
        self, core: scheduler.Scheduler, members: membership.Membership
    ):
        self._core = core
        self._membership = members
        self._tasks: dict[messages.Endpoint, asyncio.Task] = {}
        self._subject: subject.Subject = subject.Subject()
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(
                total=None,
                sock_connect=CONNECT_TIMEOUT_SECONDS,
                sock_read=SILENT_SECONDS,
            ),
            skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent"),
        )

    @property
    def stream(self) -> reactivex.Observable:
        """Events for the core."""
        return self._subject

    async def run(self) -> None:
        """Starts and ends followers for ever, as ownership moves."""
        while True:
            wanted = {
                member.endpoint
                for pool in self._core.all_pools()
                for member in pool.members.values()
                if self._is_wanted(member)
            }
            for endpoint in self._tasks.keys() - wanted:
                self._tasks.pop(endpoint).cancel()
            for endpoint in wanted - self._tasks.keys():
                self._tasks[endpoint] = asyncio.create_task(
                    self._follow(endpoint)
                )
            await asyncio.sleep(CHECK_SECONDS)

    async def close(self) -> None:
        """Ends all followers."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        await self._session.close()

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _is_wanted(self, member: pools.Member) -> bool:
        name = member.endpoint.name
        if not self._membership.is_listed(name):
            return True
        return self._core.owns(name)

    async def _follow(self, endpoint: messages.Endpoint) -> None:
        followed = _Followed(endpoint, self._now)
        while True:
            try:
                async for line in self._lines(endpoint):
                    self._take(followed, line)
            except aiohttp.ClientConnectorError:
                self._heard(followed, False)
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                logger.debug(
                    "endpoint not heard",
                    endpoint=endpoint.name,
                    error=type(error).__name__,
                )
            followed.sequence = None
            self._check_silence(followed)
            await asyncio.sleep(RETRY_SECONDS)

    async def _lines(
        self, endpoint: messages.Endpoint
    ) -> AsyncIterator[EventLine | None]:
        url = f"http://{endpoint.address}{EVENTS_PATH}"
        async with self._session.get(url) as response:
            if response.status == 200:
                async for data in response.content:
                    yield wire.decode(data, EventLine).value_or(None)
                return
        while True:
            yield await self._ask_load(endpoint)
            await asyncio.sleep(LOAD_SECONDS)

    async def _ask_load(self, endpoint: messages.Endpoint) -> EventLine | None:
        url = f"http://{endpoint.address}{LOAD_PATH}"
        async with self._session.get(url) as response:
            data = await response.read()
        if response.status != 200:
            return None
        match wire.decode(data, LoadDocument):
            case Success(load):
                return EventLine(
                    sequence=0,
                    state=load.state,
                    running=load.running,
                    waiting=load.waiting,
                )
            case Failure(_):
                return None

    def _take(self, followed: _Followed, line: EventLine | None) -> None:
        endpoint = followed.endpoint
        followed.heard_at = self._now
        if line is None:
            self._heard(followed, True)
            return
        if line.incarnation not in ("", endpoint.incarnation):
            self._heard(followed, False)
            return
        self._heard(followed, True)
        if line.state == "leaving":
            self._membership.announce(
                messages.EndpointLeaving(
                    endpoint.name, endpoint.incarnation, "own report"
                )
            )
        self._take_cache(followed, line)
        self._subject.on_next(
            messages.LoadReported(
                endpoint.name, line.running, line.waiting, line.age_ms / 1000
            )
        )

    def _take_cache(self, followed: _Followed, line: EventLine) -> None:
        former = followed.sequence
        followed.sequence = line.sequence
        if former is None or line.sequence > former + 1:
            for prefix in list(followed.prefixes):
                self._cached(followed, prefix, False)
        for prefix in line.dropped:
            self._cached(followed, prefix, False)
        for prefix in line.held:
            self._cached(followed, prefix, True)
        while len(followed.prefixes) > KEPT_PREFIXES:
            self._cached(followed, next(iter(followed.prefixes)), False)

    def _cached(self, followed: _Followed, prefix: str, held: bool) -> None:
        if held:
            followed.prefixes[prefix] = None
        else:
            followed.prefixes.pop(prefix, None)
        self._subject.on_next(
            messages.CacheReported(followed.endpoint.name, prefix, held)
        )

    def _check_silence(self, followed: _Followed) -> None:
        if self._now - followed.heard_at < SILENT_SECONDS:
            return
        self._heard(followed, False)
        name = followed.endpoint.name
        if not self._membership.is_listed(name):
            self._subject.on_next(messages.EndpointGone(name))

    def _heard(self, followed: _Followed, answers: bool) -> None:
        if followed.silent == (not answers):
            return
        followed.silent = not answers
        endpoint = followed.endpoint
        self._subject.on_next(
            messages.EndpointHeard(endpoint.name, endpoint.incarnation, answers)
        )
