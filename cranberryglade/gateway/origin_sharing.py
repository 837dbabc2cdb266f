"""Shares among the instances which software version began each stream.

A caller that resumes a stream names the attempt that brought its first event,
and mostly reaches another instance than that attempt did; the first instance
may be gone. Each origin is therefore kept by the instance that relayed the
first event and by a few others, which are chosen by the id of the attempt, so
that every instance knows whom to ask.

While the endpoints of a service have a single version, origins are not sent:
an unknown stream then began at that version.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from cranberryglade import log
from cranberryglade.gateway import datagrams
from cranberryglade.gateway import membership
from cranberryglade.gateway import mesh
from cranberryglade.gateway import messages
from cranberryglade.gateway import origin_rows
from cranberryglade.gateway import software_versions
from cranberryglade.gateway import stream_origins

REPLICAS = 3
"""Other instances that have a copy of an origin."""

QUERIED_REPLICAS = 4
"""Instances that are asked; more than have a copy, as one may have failed."""

REPLY_TIMEOUT_SECONDS = 0.04
QUERY_ROUNDS = 2
"""Number of times that an instance without a reply is asked."""

RECORDS_PER_DATAGRAM = 16

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


class OriginSharing:
    """Records the origins of streams and finds those of resumed ones."""

    __slots__ = (
        "_learn_earlier_versions",
        "_mesh",
        "_name",
        "_next_number",
        "_own",
        "_pending",
        "_received",
        "_rows",
        "_versions",
    )

    def __init__(
        self,
        name: str,
        versions: software_versions.SoftwareVersions,
        learn_earlier_versions: Callable[[], Awaitable[bool]],
        rows: origin_rows.OriginRows,
    ):
        """Initialises the records; `set_mesh` must be called before use.

        Args:
            name: name of this instance.
            versions: software versions of the endpoints.
            learn_earlier_versions: adds those of the time before the start;
                returns whether they are known.
            rows: origins in the store.
        """
        self._name = name
        self._learn_earlier_versions = learn_earlier_versions
        self._rows = rows
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

    def set_mesh(self, instances: mesh.Mesh) -> None:
        """Connects it to the other instances."""
        self._mesh = instances

    def observe_endpoints(self, listed: dict[str, messages.Endpoint]) -> None:
        """Applies the current list of endpoints.

        When a service gets a further version, the origins of its streams so
        far are sent, as from now on they cannot be inferred.
        """
        now = _now()
        for service in self._versions.observe(listed.values(), now):
            if self._has_single_version(service, now):
                continue
            self._send(self._own.of_service(service, now), now)

    def record(self, attempt: str, origin: messages.StreamOrigin) -> None:
        """Records what began a stream, before its first event is relayed.

        Args:
            attempt: id of the caller's attempt; "" if it has none, so that
                the stream cannot be resumed.
            origin: the service and software version of the endpoint.
        """
        if not attempt:
            return
        now = _now()
        self._own.record(attempt, origin, now)
        if not self._has_single_version(origin.service, now):
            self._send({attempt: origin}, now)

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
        now = _now()
        known = self._lookup(attempt, now)
        if known is not None:
            return known
        service = services[0] if len(services) == 1 else ""
        targets = self._mesh.members.replicas(attempt, QUERIED_REPLICAS, now)
        replies = await self._ask(targets, attempt, service)
        for reply in replies:
            if reply.origin is not None:
                origin = _decode(reply.origin)
                self._received.record(attempt, origin, _now())
                return origin
        if not replies and self._mesh.members.instance_count(now) > 1:
            logger.warning("origin.unanswered", attempt=attempt)
            return await self._find_stored(attempt)
        if not await self._learn_earlier_versions():
            return None
        inferred = self._infer(service, replies)
        return inferred or await self._find_stored(attempt)

    async def _find_stored(self, attempt: str) -> messages.StreamOrigin | None:
        for record in await self._rows.read():
            self._received.record(record.attempt, _decode(record), _now())
        return self._lookup(attempt, _now())

    def receive(self, sender: str, message: datagrams.OriginMessage) -> None:
        """Handles a datagram from another instance."""
        now = _now()
        match message:
            case datagrams.Origins(records=records):
                self._rows.add(records)
                for record in records:
                    self._received.record(record.attempt, _decode(record), now)
            case datagrams.OriginQuery():
                self._reply(message, now)
            case datagrams.OriginReply():
                self._receive_reply(sender, message)

    def _lookup(self, attempt: str, now: float) -> messages.StreamOrigin | None:
        own = self._own.find(attempt, now)
        return own or self._received.find(attempt, now)

    def _infer(
        self, service: str, replies: list[datagrams.OriginReply]
    ) -> messages.StreamOrigin | None:
        """Returns the origin if all know a single version of the service."""
        versions = self._versions.versions(service, _now())
        for reply in replies:
            versions |= set(reply.software_versions)
        if len(versions) != 1:
            logger.info(
                "origin.unknown", service=service, versions=sorted(versions)
            )
            return None
        return messages.StreamOrigin(service, versions.pop())

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
        self._rows.add(batches.pop(self._name, []))
        for name, records in batches.items():
            for start in range(0, len(records), RECORDS_PER_DATAGRAM):
                batch = records[start : start + RECORDS_PER_DATAGRAM]
                self._mesh.send_to(name, datagrams.Origins(batch))

    async def _ask(
        self, targets: list[membership.Member], attempt: str, service: str
    ) -> list[datagrams.OriginReply]:
        if not targets:
            return []
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
        return list(pending.replies.values())

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
