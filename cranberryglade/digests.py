"""The wire form of gossip messages: compressed JSON arrays."""

import dataclasses
from typing import Any
import zlib

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade.scheduling import messages
from cranberryglade.scheduling import news

MESSAGE_BYTES = 262_144
DIGITS = 2
DIGEST_FIELDS = [
    field.name for field in dataclasses.fields(messages.TargetDigest)
]


class EntryRow(msgspec.Struct, array_like=True):
    """One entry; `age_ms` is 0 for what the sender says of itself."""

    instance: str
    incarnation: str
    address: str
    failure_domain: str
    beat: int
    version: int
    age_ms: int
    digests: list[list[Any]]
    feeds: bool = True


class ProcessRow(msgspec.Struct, array_like=True):
    """One process that leaves or is lost."""

    name: str
    incarnation: str


class MessageRow(msgspec.Struct, array_like=True):
    """One gossip message."""

    own: EntryRow
    relayed: list[EntryRow] = []
    leaving: list[ProcessRow] = []
    lost: list[ProcessRow] = []


def encode(message: news.Message) -> bytes:
    """Writes a message."""
    row = MessageRow(
        _row(message.own, 0.0),
        [_row(item.entry, item.age_seconds) for item in message.relayed],
        [ProcessRow(s.name, s.incarnation) for s in message.leaving],
        [ProcessRow(s.name, s.incarnation) for s in message.lost],
    )
    return zlib.compress(msgspec.json.encode(row))


def decode(data: bytes) -> Result[news.Message, str]:
    """Reads a message; the failure says what is wrong with it."""
    try:
        plain = zlib.decompressobj().decompress(data, MESSAGE_BYTES)
        row = msgspec.json.decode(plain, type=MessageRow)
        return Success(
            news.Message(
                _entry(row.own),
                tuple(
                    news.Relayed(_entry(item), max(0, item.age_ms) / 1000)
                    for item in row.relayed
                ),
                tuple(news.Leaving(s.name, s.incarnation) for s in row.leaving),
                tuple(news.Lost(s.name, s.incarnation) for s in row.lost),
            )
        )
    except (
        msgspec.MsgspecError,
        UnicodeDecodeError,
        RecursionError,
        zlib.error,
    ) as error:
        return Failure(str(error))


def _row(entry: news.Entry, age_seconds: float) -> EntryRow:
    peer = entry.peer
    return EntryRow(
        peer.name,
        peer.incarnation,
        peer.address,
        peer.failure_domain,
        entry.beat,
        entry.version,
        round(age_seconds * 1000),
        [_values(digest) for digest in entry.digests],
        entry.feeds,
    )


def _values(digest: messages.TargetDigest) -> list[Any]:
    return [_rounded(getattr(digest, name)) for name in DIGEST_FIELDS]


def _rounded(value: Any) -> Any:
    match value:
        case float():
            return round(value, DIGITS)
        case tuple():
            return [_rounded(item) for item in value]
        case _:
            return value


def _entry(row: EntryRow) -> news.Entry:
    return news.Entry(
        messages.Peer(
            row.instance, row.incarnation, row.address, row.failure_domain
        ),
        row.beat,
        row.version,
        tuple(_digest(values) for values in row.digests),
        row.feeds,
    )


def _digest(values: list[Any]) -> messages.TargetDigest:
    named = dict(zip(DIGEST_FIELDS, values, strict=False))
    return msgspec.convert(named, messages.TargetDigest)
