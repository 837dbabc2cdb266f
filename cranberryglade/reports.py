"""Receives the reports of endpoints: state, load and cached prefixes.

Reports may arrive late or with gaps. One stream is read from each endpoint
that publishes events; the load of the others is polled. An instance follows
the endpoints that it owns, and those that are no longer on the platform's
list, to detect whether they still answer.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
import functools

import aiohttp
import reactivex
from reactivex import subject
from returns.result import Failure
from returns.result import Success

from cranberryglade import bodies
from cranberryglade import decoding
from cranberryglade import limited_reading
from cranberryglade import log
from cranberryglade import membership
from cranberryglade import supervision
from cranberryglade import wire
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import pools
from cranberryglade.scheduling import scheduler

EVENTS_PATH = "/v1/events"
LOAD_PATH = "/v1/load"
OWNERSHIP_CHECK_SECONDS = 0.5
LOAD_POLL_SECONDS = 2.0
REPORT_TIMEOUT_SECONDS = 5.0
RETRY_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 0.5
MAXIMUM_PREFIXES = 4096
MAX_LOAD_BYTES = 1_048_576

logger = log.get_logger(__name__)


class EventLine(wire.Document, omit_defaults=True):
    """One line of an endpoint's event stream.

    Attributes:
        sequence: number of the line; a gap means that lines were lost.
        state: "live" or "leaving".
        incarnation: the reporting process; "" if it does not know its own.
        running: requests in its batch.
        waiting: requests accepted that are not yet in the batch.
        age_ms: age of the load figures, in milliseconds.
        held: prefixes added to the cache since the last line.
        dropped: prefixes evicted from the cache since the last line.
    """

    sequence: decoding.Integer
    state: str = "live"
    incarnation: str = ""
    running: decoding.Integer = 0
    waiting: decoding.Integer = 0
    age_ms: decoding.Integer = 0
    held: list[str] = []
    dropped: list[str] = []


class LoadDocument(wire.Document, forbid_unknown_fields=False):
    """An endpoint's answer to a load query.

    Attributes:
        running: requests in its batch.
        waiting: requests accepted that are not yet in the batch.
        state: "live" or "leaving".
    """

    running: decoding.Integer = 0
    waiting: decoding.Integer = 0
    state: str = "live"


class _FollowedEndpoint:
    """What one endpoint process has reported so far.

    Attributes:
        endpoint: the process.
        last_report_at: when a report was last read from its address, in
            seconds of the event loop's clock; at first, when following began.
        sequence: number of the last line; None at the start of a stream.
        is_unreachable: whether it was last published as unreachable.
        prefixes: those it has reported as cached, the oldest report first.
    """

    __slots__ = (
        "endpoint",
        "is_unreachable",
        "last_report_at",
        "prefixes",
        "sequence",
    )

    def __init__(self, endpoint: messages.Endpoint, now: float):
        self.endpoint = endpoint
        self.last_report_at = now
        self.sequence: int | None = None
        self.is_unreachable = False
        self.prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )


class ReportReader:
    """Follows endpoints and publishes their reports as scheduler events."""

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
            request_class=bodies.CheckedRequest,
            timeout=aiohttp.ClientTimeout(
                total=None,
                sock_connect=CONNECT_TIMEOUT_SECONDS,
                sock_read=REPORT_TIMEOUT_SECONDS,
            ),
            skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent"),
        )

    @property
    def events(self) -> reactivex.Observable:
        """Endpoint events for the scheduler."""
        return self._subject

    async def run(self) -> None:
        """Starts and ends followers as ownership changes, until cancelled."""
        while True:
            wanted = {
                member.endpoint
                for pool in self._core.all_pools()
                for member in pool.members.values()
                if self._should_follow(member)
            }
            for endpoint in self._tasks.keys() - wanted:
                self._tasks.pop(endpoint).cancel()
            for endpoint in wanted - self._tasks.keys():
                self._tasks[endpoint] = asyncio.create_task(
                    supervision.keep_running(
                        "reports_of_endpoint",
                        functools.partial(self._follow, endpoint),
                    )
                )
            await asyncio.sleep(OWNERSHIP_CHECK_SECONDS)

    async def close(self) -> None:
        """Cancels all followers and closes the HTTP session."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        await self._session.close()

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _should_follow(self, member: pools.EndpointState) -> bool:
        name = member.endpoint.name
        if not self._membership.is_listed(name):
            return True
        return self._core.owns(name)

    async def _follow(self, endpoint: messages.Endpoint) -> None:
        followed = _FollowedEndpoint(endpoint, self._now)
        while True:
            try:
                async for line in self._lines(endpoint):
                    self._apply_line(followed, line)
            except aiohttp.ClientConnectorError:
                self._set_reachable(followed, False)
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                logger.debug(
                    "endpoint.report_failed",
                    endpoint=endpoint.name,
                    error=type(error).__name__,
                )
            followed.sequence = None
            self._check_timeout(followed)
            await asyncio.sleep(RETRY_SECONDS)

    async def _lines(
        self, endpoint: messages.Endpoint
    ) -> AsyncIterator[EventLine | None]:
        """Yields the lines of the event stream, or else the polled load.

        None stands for a line or load that cannot be decoded.
        """
        url = f"http://{endpoint.address}{EVENTS_PATH}"
        async with self._session.get(url) as response:
            if response.status == 200:
                while data := await _read_line(response):
                    yield wire.decode(data, EventLine).value_or(None)
                return
        while True:
            yield await self._fetch_load(endpoint)
            await asyncio.sleep(LOAD_POLL_SECONDS)

    async def _fetch_load(
        self, endpoint: messages.Endpoint
    ) -> EventLine | None:
        url = f"http://{endpoint.address}{LOAD_PATH}"
        async with self._session.get(url) as response:
            data = await limited_reading.read_body(response, MAX_LOAD_BYTES)
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

    def _apply_line(
        self, followed: _FollowedEndpoint, line: EventLine | None
    ) -> None:
        endpoint = followed.endpoint
        followed.last_report_at = self._now
        if line is None:
            self._set_reachable(followed, True)
            return
        if line.incarnation not in ("", endpoint.incarnation):
            self._set_reachable(followed, False)
            return
        self._set_reachable(followed, True)
        if line.state == "leaving":
            self._membership.announce_departure(
                messages.EndpointLeaving(
                    endpoint.name, endpoint.incarnation, "own report"
                )
            )
        self._apply_cache_changes(followed, line)
        self._subject.on_next(
            messages.LoadReported(
                endpoint.name, line.running, line.waiting, line.age_ms / 1000
            )
        )

    def _apply_cache_changes(
        self, followed: _FollowedEndpoint, line: EventLine
    ) -> None:
        previous = followed.sequence
        followed.sequence = line.sequence
        if previous is None or line.sequence > previous + 1:
            for prefix in list(followed.prefixes):
                self._set_cached(followed, prefix, False)
        for prefix in line.dropped:
            self._set_cached(followed, prefix, False)
        for prefix in line.held:
            self._set_cached(followed, prefix, True)
        while len(followed.prefixes) > MAXIMUM_PREFIXES:
            self._set_cached(followed, next(iter(followed.prefixes)), False)

    def _set_cached(
        self, followed: _FollowedEndpoint, prefix: str, held: bool
    ) -> None:
        if held:
            followed.prefixes[prefix] = None
        else:
            followed.prefixes.pop(prefix, None)
        self._subject.on_next(
            messages.CacheReported(followed.endpoint.name, prefix, held)
        )

    def _check_timeout(self, followed: _FollowedEndpoint) -> None:
        if self._now - followed.last_report_at < REPORT_TIMEOUT_SECONDS:
            return
        self._set_reachable(followed, False)
        name = followed.endpoint.name
        if not self._membership.is_listed(name):
            self._subject.on_next(messages.EndpointGone(name))

    def _set_reachable(
        self, followed: _FollowedEndpoint, reachable: bool
    ) -> None:
        if followed.is_unreachable == (not reachable):
            return
        followed.is_unreachable = not reachable
        endpoint = followed.endpoint
        self._subject.on_next(
            messages.EndpointReachability(
                endpoint.name, endpoint.incarnation, reachable
            )
        )


async def _read_line(response: aiohttp.ClientResponse) -> bytes:
    try:
        return await response.content.readline()
    except (ValueError, aiohttp.http_exceptions.LineTooLong) as error:
        raise limited_reading.BodyTooLongError("line too long") from error
