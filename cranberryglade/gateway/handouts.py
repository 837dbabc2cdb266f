"""Passes the configuration and the list of endpoints between instances.

An instance that the platform's store turns away, or whose feed has gone
silent, gets them from a peer that knows more.
"""

import asyncio

import msgspec
from returns.result import Failure
from returns.result import Success

from cranberryglade import log
from cranberryglade.gateway import datagrams
from cranberryglade.gateway import directory
from cranberryglade.gateway import fetching
from cranberryglade.gateway import following
from cranberryglade.gateway import members
from cranberryglade.gateway import messages
from cranberryglade.gateway import ports
from cranberryglade.gateway import responding
from cranberryglade.gateway import state

CONFIGURATION_PATH = "/configuration"
ENDPOINTS_PATH = "/endpoints"
FETCH_SECONDS = 1.0
PATIENCE_SECONDS = 0.35
"""How long the store may take to bring what a peer has."""

logger = log.get_logger(__name__)


class Listing(msgspec.Struct, array_like=True):
    """All endpoints that an instance knows, and how new its knowledge is."""

    version: int
    entries: list[directory.Entry]


class Handouts:
    """Serves peers, and fetches from them what they have newer."""

    __slots__ = ("_busy", "_fetchers", "_follower", "_state", "_tasks")

    def __init__(self, known: state.State, follower: following.Follower):
        self._state = known
        self._follower = follower
        self._fetchers: dict[str, fetching.Fetcher] = {}
        self._busy: set[str] = set()
        self._tasks: set[asyncio.Task] = set()

    async def answer(
        self, request: messages.Request, responder: responding.Responder
    ) -> None:
        """Serves a peer."""
        path = request.target.decode("latin-1")
        configuration = self._state.raw_catalogue
        if path == CONFIGURATION_PATH and configuration is not None:
            responder.whole(200, [], msgspec.msgpack.encode(configuration))
        elif path == ENDPOINTS_PATH:
            responder.whole(200, [], msgspec.msgpack.encode(self._list()))
        else:
            responder.whole(404, [], b"")

    def compare(
        self, member: members.Member, standing: datagrams.Standing
    ) -> None:
        """Takes in what a peer knows, and fetches what is newer."""
        if standing.configuration > self._state.version:
            self._begin(CONFIGURATION_PATH, member, standing.configuration)
        if standing.endpoints > self._state.directory.version:
            self._begin(ENDPOINTS_PATH, member, standing.endpoints)

    def _begin(self, path: str, member: members.Member, version: int) -> None:
        if path in self._busy:
            return
        self._busy.add(path)
        task = asyncio.create_task(self._fetch(path, member, version))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fetch(
        self, path: str, member: members.Member, version: int
    ) -> None:
        try:
            await self._ask_store(path)
            if self._present(path) >= version:
                return
            fetcher = self._fetchers.get(member.address)
            if fetcher is None:
                fetcher = fetching.Fetcher(member.address)
                self._fetchers[member.address] = fetcher
            call = fetching.Call("GET", path, b"", FETCH_SECONDS)
            match await fetcher.fetch(call):
                case Success(fetching.Reply(status=200, body=body)):
                    self._take(path, body, member)
                case Success(reply):
                    logger.warning(
                        "peer.fetch", peer=member.name, status=reply.status
                    )
                case Failure(reason):
                    logger.warning(
                        "peer.fetch", peer=member.name, reason=reason
                    )
        finally:
            self._busy.discard(path)

    async def _ask_store(self, path: str) -> None:
        if not self._follower.informed:
            await asyncio.sleep(PATIENCE_SECONDS)
        elif path == CONFIGURATION_PATH:
            # A large configuration is read where the bandwidth is: on a
            # narrow link few peers could hand it out in time.
            try:
                async with asyncio.timeout(PATIENCE_SECONDS):
                    await self._follower.refresh()
            except TimeoutError:
                logger.warning("store.slow", what=path)

    def _present(self, path: str) -> int:
        if path == CONFIGURATION_PATH:
            return self._state.version
        return self._state.directory.version

    def _take(self, path: str, body: bytes, member: members.Member) -> None:
        kind = ports.Row if path == CONFIGURATION_PATH else Listing
        try:
            read = msgspec.msgpack.decode(body, type=kind)
        except msgspec.DecodeError as error:
            logger.warning(
                "peer.unreadable", peer=member.name, problem=str(error)
            )
            return
        logger.info("peer.handout", peer=member.name, what=path)
        if isinstance(read, Listing):
            self._follower.take_listing(read.entries, read.version)
        else:
            self._follower.take_catalogue(read)

    def _list(self) -> Listing:
        book = self._state.directory
        return Listing(book.version, book.entries)
