"""Encodes gossip messages as compressed JSON arrays."""

import dataclasses
from typing import Any
import zlib

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import decoding
from cranberryglade.scheduling import gossip_messages
from cranberryglade.scheduling import messages

MAXIMUM_MESSAGE_BYTES = 262_144
DECIMAL_PLACES = 2
DIGEST_FIELDS = [
    field.name for field in dataclasses.fields(messages.TargetDigest)
]


class EntryRow(msgspec.Struct, array_like=True):
    """State of one instance.

    Attributes:
        instance: name of the instance.
        incarnation: the process of that name.
        address: "host:port" of its interface for peers.
        failure_domain: failure domain it runs in.
        heartbeat: counts the messages of that process; the highest is the
            newest.
        version: newest version of the configuration it knows.
        age_ms: age of the entry in milliseconds; 0 if it describes the sender.
        digests: values of a `messages.TargetDigest` for each target, in the
            order of DIGEST_FIELDS.
        owner: whether it can own endpoints; not while it stops.
    """

    instance: str
    incarnation: str
    address: str
    failure_domain: str
    heartbeat: decoding.Integer
    version: decoding.Integer
    age_ms: decoding.Integer
    digests: list[list[Any]]
    owner: bool = True


class ProcessRow(msgspec.Struct, array_like=True):
    """An endpoint process that leaves, or an instance process that is lost."""

    name: str
    incarnation: str


class AttemptRow(msgspec.Struct, array_like=True):
    """A part that ran in a crash, and for how long in milliseconds."""

    part: str
    running_ms: decoding.Integer


class CrashRow(msgspec.Struct, array_like=True):
    """A crash of an endpoint; its age is in milliseconds."""

    endpoint: str
    incarnation: str
    age_ms: decoding.Integer
    attempts: list[AttemptRow]


class QuarantineRow(msgspec.Struct, array_like=True):
    """A quarantine; the time until its end is in milliseconds."""

    prefixes: list[str]
    remaining_ms: decoding.Integer
    generation: decoding.Integer
    lifted: bool


class MessageRow(msgspec.Struct, array_like=True):
    """One gossip message.

    Attributes:
        own: entry of the sender.
        relayed: entries of other instances.
        leaving: endpoint processes known to be leaving.
        unreachable: instance processes that did not answer the sender.
        crashes: recent crashes of endpoints.
        quarantines: quarantines of prefixes.
    """

    own: EntryRow
    relayed: list[EntryRow] = []
    leaving: list[ProcessRow] = []
    unreachable: list[ProcessRow] = []
    crashes: list[CrashRow] = []
    quarantines: list[QuarantineRow] = []


def encode(message: gossip_messages.GossipMessage) -> bytes:
    """Returns a message as zlib-compressed JSON.

    Numbers with fractions are rounded to DECIMAL_PLACES decimals.
    """
    row = MessageRow(
        _to_row(message.own, 0.0),
        [_to_row(item.entry, item.age_seconds) for item in message.relayed],
        [ProcessRow(s.name, s.incarnation) for s in message.leaving],
        [ProcessRow(s.name, s.incarnation) for s in message.unreachable],
        [_to_crash_row(crash) for crash in message.crashes],
        [
            QuarantineRow(
                list(each.prefixes),
                _milliseconds(each.remaining_seconds),
                each.generation,
                each.lifted,
            )
            for each in message.quarantines
        ],
    )
    return zlib.compress(msgspec.json.encode(row))


def decode(data: bytes) -> Result[gossip_messages.GossipMessage, str]:
    """Decodes a message.

    At most MAXIMUM_MESSAGE_BYTES are decompressed, so that a small message
    cannot exhaust the memory.

    Returns:
        The message, or a description of the error.
    """
    try:
        decompressed = zlib.decompressobj().decompress(
            data, MAXIMUM_MESSAGE_BYTES
        )
        row = msgspec.json.decode(decompressed, type=MessageRow)
        return Success(
            gossip_messages.GossipMessage(
                _to_entry(row.own),
                tuple(
                    gossip_messages.RelayedEntry(
                        _to_entry(item), max(0, item.age_ms) / 1000
                    )
                    for item in row.relayed
                ),
                tuple(
                    gossip_messages.LeavingNotice(s.name, s.incarnation)
                    for s in row.leaving
                ),
                tuple(
                    gossip_messages.UnreachableNotice(s.name, s.incarnation)
                    for s in row.unreachable
                ),
                tuple(_to_crash(crash) for crash in row.crashes),
                tuple(
                    messages.QuarantineReported(
                        tuple(each.prefixes),
                        each.remaining_ms / 1000,
                        each.generation,
                        each.lifted,
                    )
                    for each in row.quarantines
                ),
            )
        )
    except (*decoding.ERRORS, TypeError, zlib.error) as error:
        return Failure(str(error))


def _to_row(
    entry: gossip_messages.HeartbeatEntry, age_seconds: float
) -> EntryRow:
    peer = entry.peer
    return EntryRow(
        peer.name,
        peer.incarnation,
        peer.address,
        peer.failure_domain,
        entry.heartbeat,
        entry.version,
        _milliseconds(age_seconds),
        [_values(digest) for digest in entry.digests],
        entry.owner,
    )


def _to_crash_row(crash: messages.CrashReported) -> CrashRow:
    return CrashRow(
        crash.process.endpoint,
        crash.process.incarnation,
        _milliseconds(crash.age_seconds),
        [
            AttemptRow(attempt.part, _milliseconds(attempt.running_seconds))
            for attempt in crash.attempts
        ],
    )


def _to_crash(row: CrashRow) -> messages.CrashReported:
    return messages.CrashReported(
        messages.EndpointProcess(row.endpoint, row.incarnation),
        tuple(
            messages.LostAttempt(attempt.part, attempt.running_ms / 1000)
            for attempt in row.attempts
        ),
        max(0, row.age_ms) / 1000,
    )


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000)


def _values(digest: messages.TargetDigest) -> list[Any]:
    return [_rounded(getattr(digest, name)) for name in DIGEST_FIELDS]


def _rounded(value: Any) -> Any:
    match value:
        case float():
            return round(value, DECIMAL_PLACES)
        case tuple():
            return [_rounded(item) for item in value]
        case _:
            return value


def _to_entry(row: EntryRow) -> gossip_messages.HeartbeatEntry:
    return gossip_messages.HeartbeatEntry(
        messages.Peer(
            row.instance, row.incarnation, row.address, row.failure_domain
        ),
        row.heartbeat,
        row.version,
        tuple(_to_digest(values) for values in row.digests),
        row.owner,
    )


def _to_digest(values: list[Any]) -> messages.TargetDigest:
    values_by_name = dict(zip(DIGEST_FIELDS, values, strict=False))
    return msgspec.convert(values_by_name, messages.TargetDigest)
