"""Shares among the instances which software version began each stream.

A caller that resumes a stream names the attempt that brought its first event,
and mostly reaches another instance than that attempt did; the first instance
may be gone. Each origin is therefore kept by the instance that relayed the
first event and by a few others, which are chosen by the id of the attempt, so
that every instance knows whom to ask.

While the endpoints of a service have a single version, origins are not sent:
an unknown stream then began at that version. An instance that is out of step
may not know of a further one, so this holds only if all other instances, or the
store, confirm it after the stream is resumed. While the store confirms nothing,
origins are sent in any case.

All instances may be gone at once. While a service has several versions, the
first event of a stream therefore waits, for a short time, until the store has
its origin.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from cranberryglade import log
from cranberryglade.gateway import datagrams
from cranberryglade.gateway import endpoint_processes
from cranberryglade.gateway import membership
from cranberryglade.gateway import mesh
from cranberryglade.gateway import messages
from cranberryglade.gateway import origin_rows
from cranberryglade.gateway import software_versions
from cranberryglade.gateway import stream_origins
from cranberryglade.gateway import tentative_origins
from cranberryglade.gateway import version_sync

REPLICAS = 3
"""Other instances that have a copy of an origin."""

QUERIED_REPLICAS = 4
"""Instances that are asked; more than have a copy, as one may have failed."""

MAX_HOLD_SECONDS = 0.05
"""Longest time that a first event waits until its origin is stored."""

REPLY_TIMEOUT_SECONDS = 0.04
QUERY_ROUNDS = 2
"""Number of times that an instance without a reply is asked."""

RECORDS_PER_DATAGRAM = 16

MAX_AGE_OF_REPLIES_SECONDS = membership.MEMBER_TIMEOUT_SECONDS / 2
"""The replies of the other instances suffice for an instance that was confirmed
within this time: no instance that it lost since is forgotten yet."""

logger = log.get_logger(__name__)


@dataclasses.dataclass(slots=True)
class PendingQuery:
    """A query that waits for replies.

    Attributes:
        complete: is resolved when an origin is known or all have replied.
        expected: number of instances that were asked.
        replies: replies by the name of the instance.
    """

    complete: asyncio.Future
    expected: int
    replies: dict[str, datagrams.OriginReply] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class FindQuery:
    """The search for the origin of one stream.

    Attributes:
        attempt: id of the attempt that brought its first event; "" if unknown.
        service: the service that its route allows; "" if there are several.
        age_seconds: as `OriginSharing` knows it at the beginning.
        replies: those of other instances, by name.
        versions: versions that the instances and the store know.
        reason: what the decision rests on, for the log.
    """

    attempt: str
    service: str
    age_seconds: float
    replies: dict[str, datagrams.OriginReply] = dataclasses.field(
        default_factory=dict
    )
    versions: set[str] = dataclasses.field(default_factory=set)
    reason: str = ""

    @property
    def fields(self) -> dict[str, str | int | float | list[str]]:
        """Its log fields."""
        return {
            "attempt": self.attempt,
            "service": self.service,
            "reason": self.reason,
            "versions": sorted(self.versions),
            "replies": len(self.replies),
            "age_s": min(self.age_seconds, 9999.0),
        }


class OriginSharing:
    """Records the origins of streams and finds those of resumed ones."""

    __slots__ = (
        "_age",
        "_learn_earlier_versions",
        "_mesh",
        "_name",
        "_next_number",
        "_own",
        "_pending",
        "_processes",
        "_read_endpoints",
        "_read_versions",
        "_received",
        "_rows",
        "_sharing_all",
        "_tentative",
        "_unstored",
        "_versions",
    )

    def __init__(
        self,
        name: str,
        versions: software_versions.SoftwareVersions,
        learn_earlier_versions: Callable[[], Awaitable[bool]],
        rows: origin_rows.OriginRows,
        read_endpoints: Callable[[], Awaitable[bool | None]],
        read_versions: Callable[
            [], Awaitable[version_sync.StoredVersions | None]
        ],
        age: Callable[[], float],
        processes: endpoint_processes.EndpointProcesses,
    ):
        """Initialises the records; `set_mesh` must be called before use.

        Args:
            name: name of this instance.
            versions: software versions of the endpoints.
            learn_earlier_versions: adds those of the time before the start;
                returns whether they are known.
            rows: origins in the store.
            read_endpoints: brings `versions` up to date with the store;
                returns whether it could be read.
            read_versions: returns the stored versions, or None.
            age: returns the seconds since the store, or a peer, last confirmed
                what this instance knows.
            processes: until when the listed processes are confirmed.
        """
        self._name = name
        self._read_endpoints = read_endpoints
        self._read_versions = read_versions
        self._age = age
        self._processes = processes
        self._tentative = tentative_origins.TentativeOrigins()
        self._sharing_all = False
        self._unstored: dict[str, asyncio.Future] = {}
        self._learn_earlier_versions = learn_earlier_versions
        self._rows = rows
        self._rows.set_listener(self._announce_stored)
        self._mesh: mesh.Mesh | None = None
        self._own = stream_origins.StreamOrigins()
        self._received = stream_origins.StreamOrigins()
        self._versions = versions
        self._pending: dict[int, PendingQuery] = {}
        self._next_number = 0

    @property
    def count(self) -> int:
        """Number of origins that this instance keeps."""
        return len(self._own) + len(self._received)

    @property
    def unsaved_count(self) -> int:
        """Number of origins that this instance would store as allocator."""
        return self._rows.unsaved_count

    @property
    def _is_out_of_step(self) -> bool:
        return self._age() > endpoint_processes.MAX_STEP_AGE_SECONDS

    def set_mesh(self, instances: mesh.Mesh) -> None:
        """Connects it to the other instances."""
        self._mesh = instances

    def observe_endpoints(self, listed: dict[str, messages.Endpoint]) -> None:
        """Applies the current list of endpoints.

        When a service gets a further version, the origins of its streams so
        far are sent, as from now on they cannot be inferred.
        """
        now = _now()
        refuted = self._tentative.take_refuted(listed)
        self._refute(refuted, "started_again")
        for service in self._versions.observe(listed.values(), now):
            if self._has_single_version(service, now):
                continue
            self._send(self._own.of_service(service, now), now)

    def tick(self) -> None:
        """Sends all own origins once this instance is out of step.

        Nobody can confirm then that a service has a single version, nor a
        tentative origin.
        """
        now = _now()
        out_of_step = self._is_out_of_step
        self._tentative.confirm(self._processes.confirmed_until)
        if not self._processes.is_in_step(now):
            self._refute(self._tentative.take_all(), "out_of_step")
        if out_of_step and not self._sharing_all:
            origins = self._own.all(now)
            logger.info(
                "origins.shared",
                count=len(origins),
                age_s=round(self._age(), 2),
            )
            self._send(origins, now)
        self._sharing_all = out_of_step

    def record(
        self,
        attempt: str,
        origin: messages.StreamOrigin,
        tentative: tentative_origins.TentativeOrigin | None = None,
    ) -> None:
        """Records what began a stream, before its first event is relayed.

        Args:
            attempt: id of the caller's attempt; "" if it has none, so that
                the stream cannot be resumed.
            origin: the service and software version of the endpoint.
            tentative: what it rests on if another process than the listed one
                may have begun the stream.
        """
        if not attempt:
            return
        now = _now()
        if tentative is not None:
            self._tentative.add(attempt, tentative)
        self._own.record(attempt, origin, now)
        if self._sharing_all or not self._has_single_version(
            origin.service, now
        ):
            self._send({attempt: origin}, now)

    async def store(
        self,
        attempt: str,
        origin: messages.StreamOrigin,
        tentative: tentative_origins.TentativeOrigin | None = None,
    ) -> None:
        """Records as `record`, and waits until the store has the origin.

        Returns at once if it can be inferred without the store, or while the
        store confirms nothing; else after MAX_HOLD_SECONDS at the latest.
        """
        self.record(attempt, origin, tentative)
        if not self._is_held(attempt, origin):
            return
        stored = asyncio.get_running_loop().create_future()
        self._unstored[attempt] = stored
        try:
            await asyncio.wait([stored], timeout=MAX_HOLD_SECONDS)
            if not stored.done():
                logger.info("origin.released_unstored", attempt=attempt)
        finally:
            if self._unstored.get(attempt) is stored:
                del self._unstored[attempt]

    def _is_held(self, attempt: str, origin: messages.StreamOrigin) -> bool:
        several = not self._has_single_version(origin.service, _now())
        return bool(attempt) and several and not self._is_out_of_step

    def refute(self, attempt: str, service: str) -> None:
        """Records that it is not known which version began a stream."""
        self._tentative.discard(attempt)
        if attempt:
            origin = messages.StreamOrigin(service, messages.UNKNOWN_VERSION)
            self._own.record(attempt, origin, _now())
            self._send({attempt: origin}, _now())

    def _refute(
        self,
        refuted: dict[str, tentative_origins.TentativeOrigin],
        reason: str,
    ) -> None:
        for attempt, tentative in refuted.items():
            logger.info(
                "origin.refuted",
                attempt=attempt,
                endpoint=tentative.endpoint.id,
                software_version=tentative.endpoint.software_version,
                reason=reason,
                age_s=round(self._age(), 2),
            )
            self.refute(attempt, tentative.endpoint.service)

    async def find(
        self, attempt: str, services: list[str]
    ) -> messages.StreamOrigin | None:
        """Finds what began a stream that a caller resumes.

        Args:
            attempt: id of the attempt that brought its first event; "" if the
                caller does not name it.
            services: the services that its route allows.

        Returns:
            The origin; None if it is unknown and cannot be inferred.
        """
        service = services[0] if len(services) == 1 else ""
        query = FindQuery(attempt, service, round(self._age(), 2))
        origin = await self._decide(query)
        if origin is not None and not origin.is_known:
            query.reason = "process_unknown"
            origin = None
        version = origin.software_version if origin else None
        logger.info("origin.decided", software_version=version, **query.fields)
        return origin

    async def _decide(self, query: FindQuery) -> messages.StreamOrigin | None:
        now = _now()
        known = self._lookup(query.attempt, now)
        if known is not None:
            query.reason = "known"
            return known
        members = self._mesh.members
        targets = (
            members.reachable(now)
            if members.full_mesh
            else members.replicas(query.attempt, QUERIED_REPLICAS, now)
        )
        query.replies = await self._ask(targets, query.attempt, query.service)
        for reply in query.replies.values():
            if reply.origin is not None:
                self._learn(reply.origin, _now())
                query.reason = "peer"
                return _decode(reply.origin)
        if not query.replies and members.instance_count(now) > 1:
            query.reason = "unanswered"
            return await self._find_stored(query)
        if not await self._learn_earlier_versions():
            query.reason = "earlier_versions_unread"
            return None
        return await self._infer(query) or await self._find_stored(query)

    async def _find_stored(
        self, query: FindQuery
    ) -> messages.StreamOrigin | None:
        # Rows of an earlier release may be among them.
        for record in await self._rows.read():
            self._received.record(record.attempt, _decode(record), _now())
        origin = self._lookup(query.attempt, _now())
        if origin is not None:
            query.reason = "stored"
        return origin

    def receive(self, sender: str, message: datagrams.OriginMessage) -> None:
        """Handles a datagram from another instance."""
        now = _now()
        match message:
            case datagrams.Origins(records=records):
                self._rows.add(records, sender)
                for record in records:
                    self._learn(record, now)
            case datagrams.OriginQuery():
                self._reply(message, now)
            case datagrams.OriginReply():
                self._receive_reply(sender, message)
            case datagrams.OriginsStored(attempts=attempts):
                self._release(attempts)

    def _announce_stored(self, sender: str, attempts: list[str]) -> None:
        """Tells the instance that began streams that the store has them."""
        if sender == self._name:
            self._release(attempts)
            return
        for start in range(0, len(attempts), RECORDS_PER_DATAGRAM):
            batch = attempts[start : start + RECORDS_PER_DATAGRAM]
            self._mesh.send_to(sender, datagrams.OriginsStored(batch))

    def _release(self, attempts: list[str]) -> None:
        for attempt in attempts:
            stored = self._unstored.get(attempt)
            if stored is not None and not stored.done():
                stored.set_result(None)

    def _lookup(self, attempt: str, now: float) -> messages.StreamOrigin | None:
        own = self._own.find(attempt, now)
        return own or self._received.find(attempt, now)

    def _learn(self, record: datagrams.OriginRecord, now: float) -> None:
        """Keeps an origin of another instance; its version was in service."""
        self._received.record(record.attempt, _decode(record), now)
        if record.software_version == messages.UNKNOWN_VERSION:
            return
        known = self._versions.versions(record.service, now)
        if record.software_version not in known:
            versions = [record.software_version]
            self._versions.record_earlier(record.service, versions, now)

    async def _infer(self, query: FindQuery) -> messages.StreamOrigin | None:
        """Returns the origin if the service certainly has a single version."""
        query.versions |= self._known_versions(query)
        query.reason = "instances"
        if len(query.versions) == 1 and not self._replies_suffice(
            query.replies
        ):
            query.reason = "store"
            stored = None
            if await self._read_endpoints():
                stored = await self._read_versions()
            if stored is None:
                query.reason = "unconfirmed"
                return None
            query.versions |= self._known_versions(query)
            query.versions |= set(stored.get(query.service, []))
        if len(query.versions) != 1:
            query.reason = (
                "several_versions" if query.versions else "no_version"
            )
            return None
        (version,) = query.versions
        return messages.StreamOrigin(query.service, version)

    def _known_versions(self, query: FindQuery) -> set[str]:
        """Returns those that this instance and those that replied know."""
        versions = self._versions.versions(query.service, _now())
        for reply in query.replies.values():
            versions |= set(reply.software_versions)
        return versions

    def _replies_suffice(
        self, replies: dict[str, datagrams.OriginReply]
    ) -> bool:
        """Returns whether replies show that no other version began a stream.

        An instance that began one knows its version, unless it has started
        again since.
        """
        now = _now()
        age = self._age()
        members = self._mesh.members
        count = 0
        for name, reply in replies.items():
            member = members.get(name)
            started_since = member is None or member.started_at > now - age
            count += bool(reply.software_versions) and not started_since
        if not members.full_mesh:
            in_step = age <= endpoint_processes.MAX_STEP_AGE_SECONDS
            return in_step and count >= REPLICAS
        all_others = max(1, members.instance_count(now) - 1)
        return age <= MAX_AGE_OF_REPLIES_SECONDS and count >= all_others

    def _has_single_version(self, service: str, now: float) -> bool:
        return len(self._versions.versions(service, now)) == 1

    def _send(
        self, origins: dict[str, messages.StreamOrigin], now: float
    ) -> None:
        batches: dict[str, list[datagrams.OriginRecord]] = (
            collections.defaultdict(list)
        )
        for attempt, origin in origins.items():
            record = _encode(attempt, origin)
            replicas = self._mesh.members.replicas(attempt, REPLICAS, now)
            names = {member.name for member in replicas}
            # The allocator stores them.
            for name in names | {self._mesh.allocator}:
                batches[name].append(record)
        self._rows.add(batches.pop(self._name, []), self._name)
        for name, records in batches.items():
            for start in range(0, len(records), RECORDS_PER_DATAGRAM):
                batch = records[start : start + RECORDS_PER_DATAGRAM]
                self._mesh.send_to(name, datagrams.Origins(batch))

    async def _ask(
        self, targets: list[membership.Member], attempt: str, service: str
    ) -> dict[str, datagrams.OriginReply]:
        if not targets:
            return {}
        loop = asyncio.get_running_loop()
        self._next_number += 1
        number = self._next_number
        pending = PendingQuery(loop.create_future(), len(targets))
        self._pending[number] = pending
        query = datagrams.OriginQuery(self._name, number, attempt, service)
        try:
            for _ in range(QUERY_ROUNDS):
                for member in targets:
                    if member.name not in pending.replies:
                        self._mesh.send(member, query)
                await asyncio.wait(
                    [pending.complete], timeout=REPLY_TIMEOUT_SECONDS
                )
                if pending.complete.done():
                    break
        finally:
            del self._pending[number]
        return pending.replies

    def _reply(self, query: datagrams.OriginQuery, now: float) -> None:
        origin = self._lookup(query.attempt, now)
        record = _encode(query.attempt, origin) if origin else None
        versions = sorted(self._versions.versions(query.service, now))
        reply = datagrams.OriginReply(query.number, record, versions)
        self._mesh.send_to(query.name, reply)

    def _receive_reply(self, sender: str, reply: datagrams.OriginReply) -> None:
        pending = self._pending.get(reply.number)
        if pending is None:
            return
        pending.replies[sender] = reply
        complete = len(pending.replies) >= pending.expected
        if (complete or reply.origin) and not pending.complete.done():
            pending.complete.set_result(None)


def _encode(
    attempt: str, origin: messages.StreamOrigin
) -> datagrams.OriginRecord:
    return datagrams.OriginRecord(
        attempt, origin.service, origin.software_version
    )


def _decode(record: datagrams.OriginRecord) -> messages.StreamOrigin:
    return messages.StreamOrigin(record.service, record.software_version)


def _now() -> float:
    return asyncio.get_running_loop().time()
