"""Exchanges the configuration and the list of endpoints between instances.

An instance that cannot read the platform's store, or whose feed reports no
changes, fetches newer versions from a peer.
"""

import asyncio
from urllib import parse

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import decoding
from cranberryglade import log
from cranberryglade.gateway import bounded_warnings
from cranberryglade.gateway import datagrams
from cranberryglade.gateway import endpoint_checks
from cranberryglade.gateway import endpoint_directory
from cranberryglade.gateway import fetching
from cranberryglade.gateway import membership
from cranberryglade.gateway import messages
from cranberryglade.gateway import ports
from cranberryglade.gateway import responding
from cranberryglade.gateway import state
from cranberryglade.gateway import store_watch

CONFIGURATION_PATH = "/configuration"
ENDPOINTS_PATH = "/endpoints"
FETCH_TIMEOUT_SECONDS = 1.0
STORE_WAIT_SECONDS = 0.35
"""How long the store may take to deliver a version that a peer has, before the
peer is asked for it."""

logger = log.get_logger(__name__)


class EndpointList(msgspec.Struct, array_like=True):
    """All endpoints that an instance knows.

    Attributes:
        version: newest row version that the instance has applied.
        entries: the endpoints with the versions of their rows.
    """

    version: ports.Version
    entries: list[endpoint_directory.Entry]


class PeerSync:
    """Serves configuration and endpoints to peers, and fetches newer ones."""

    __slots__ = (
        "_fetchers",
        "_store_watcher",
        "_pending_paths",
        "_state",
        "_tasks",
        "_unreadable",
    )

    def __init__(
        self,
        instance_state: state.InstanceState,
        store_watcher: store_watch.StoreWatcher,
    ):
        self._state = instance_state
        self._store_watcher = store_watcher
        self._fetchers: dict[str, fetching.Fetcher] = {}
        self._pending_paths: set[str] = set()
        self._tasks: set[asyncio.Task] = set()
        self._unreadable = bounded_warnings.BoundedWarning(
            "endpoint.unreadable"
        )

    async def handle(
        self, request: messages.Request, responder: responding.Responder
    ) -> None:
        """Answers a request of a peer.

        Sends the configuration in force, the list of endpoints, or one
        endpoint by its id, encoded as MessagePack. The status is 404 for other
        paths, for the configuration while none is in force, and for an endpoint
        that is not listed.
        """
        path = request.target.decode("latin-1")
        configuration = self._state.configuration_row
        entry = self._state.directory.entry(_endpoint_id(path))
        if path == CONFIGURATION_PATH and configuration is not None:
            responder.whole(200, [], msgspec.msgpack.encode(configuration))
        elif path == ENDPOINTS_PATH:
            responder.whole(200, [], msgspec.msgpack.encode(self._listing()))
        elif entry is not None:
            responder.whole(200, [], msgspec.msgpack.encode(entry))
        else:
            responder.whole(404, [], b"")

    def fetch_newer(
        self, member: membership.Member, status: datagrams.Status
    ) -> None:
        """Starts to fetch what a peer reports to have in a newer version.

        Args:
            member: the peer.
            status: the versions that it reported.
        """
        if status.configuration > self._state.version:
            self._start_fetch(CONFIGURATION_PATH, member, status.configuration)
        endpoints = ports.Version(status.era, status.endpoints)
        if endpoints > self._state.directory.version:
            self._start_fetch(ENDPOINTS_PATH, member, endpoints)

    async def fetch_endpoint(self, id_: str, member: membership.Member) -> bool:
        """Fetches one endpoint from a peer, and lists it.

        Returns:
            Whether it is listed then. A peer of a build that does not serve
            single endpoints has none.
        """
        path = f"{ENDPOINTS_PATH}/{parse.quote(id_, safe='')}"
        match await self._call(path, member):
            case Success(fetching.Reply(status=200, body=body)):
                return self._apply_entry(id_, body, member)
            case _:
                return False

    def _apply_entry(
        self, id_: str, body: bytes, member: membership.Member
    ) -> bool:
        match decoding.from_msgpack(body, endpoint_directory.Entry):
            case Success(entry) if entry.endpoint.id == id_ and self._is_usable(
                entry, member
            ):
                self._store_watcher.apply_entry(entry)
            case Failure(problem):
                logger.warning(
                    "peer.unreadable", peer=member.name, problem=problem
                )
        return self._state.directory.entry(id_) is not None

    def _start_fetch(
        self,
        path: str,
        member: membership.Member,
        version: int | ports.Version,
    ) -> None:
        if path in self._pending_paths:
            return
        self._pending_paths.add(path)
        task = asyncio.create_task(self._fetch(path, member, version))
        self._tasks.add(task)
        task.add_done_callback(self._end_fetch)

    def _end_fetch(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        log.report_failed_task(logger, task, task="fetch")

    async def _fetch(
        self,
        path: str,
        member: membership.Member,
        version: int | ports.Version,
    ) -> None:
        try:
            await self._try_store_first(path)
            if self._known_version(path) >= version:
                return
            match await self._call(path, member):
                case Success(fetching.Reply(status=200, body=body)):
                    self._apply_reply(path, body, member)
                case Success(reply):
                    logger.warning(
                        "peer.fetch", peer=member.name, status=reply.status
                    )
                case Failure(reason):
                    logger.warning(
                        "peer.fetch", peer=member.name, reason=reason
                    )
        finally:
            self._pending_paths.discard(path)

    async def _call(
        self, path: str, member: membership.Member
    ) -> Result[fetching.Reply, str]:
        fetcher = self._fetchers.get(member.address)
        if fetcher is None:
            fetcher = fetching.Fetcher(member.address)
            self._fetchers[member.address] = fetcher
        call = fetching.Call("GET", path, b"", FETCH_TIMEOUT_SECONDS)
        return await fetcher.fetch(call)

    async def _try_store_first(self, path: str) -> None:
        if self._state.version and not self._store_watcher.peers_asked:
            # A store that came back from an old copy does not have it.
            return
        if not self._store_watcher.relies_on_peers:
            await asyncio.sleep(STORE_WAIT_SECONDS)
        elif path == CONFIGURATION_PATH:
            # The store has more bandwidth than a peer: over a narrow link,
            # only few peers could serve a large configuration in time.
            try:
                async with asyncio.timeout(STORE_WAIT_SECONDS):
                    await self._store_watcher.refresh()
            except TimeoutError:
                logger.warning("store.slow", what=path)

    def _known_version(self, path: str) -> int | ports.Version:
        if path == CONFIGURATION_PATH:
            return self._state.version
        return self._state.directory.version

    def _apply_reply(
        self, path: str, body: bytes, member: membership.Member
    ) -> None:
        reply_type = ports.Row if path == CONFIGURATION_PATH else EndpointList
        match decoding.from_msgpack(body, reply_type):
            case Failure(problem):
                logger.warning(
                    "peer.unreadable", peer=member.name, problem=problem
                )
            case Success(EndpointList(version=version, entries=entries)):
                logger.info("peer.handout", peer=member.name, what=path)
                usable = [
                    each for each in entries if self._is_usable(each, member)
                ]
                self._store_watcher.apply_listing(usable, version)
            case Success(row):
                logger.info("peer.handout", peer=member.name, what=path)
                self._store_watcher.apply_configuration(row)

    def _listing(self) -> EndpointList:
        endpoints = self._state.directory
        return EndpointList(endpoints.version, endpoints.entries)

    def _is_usable(
        self, entry: endpoint_directory.Entry, member: membership.Member
    ) -> bool:
        problem = endpoint_checks.find_problem(entry.endpoint)
        if problem is not None:
            self._unreadable.log(
                endpoint=entry.endpoint.id, problem=problem, peer=member.name
            )
        return problem is None


def _endpoint_id(path: str) -> str:
    """Returns the id of the endpoint that a path asks for; "" if it is none."""
    prefix = f"{ENDPOINTS_PATH}/"
    return parse.unquote(path[len(prefix) :]) if path.startswith(prefix) else ""
