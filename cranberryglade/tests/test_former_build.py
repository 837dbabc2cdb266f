"""This build and the one before it read what the other writes.

If one of these tests fails after a change of a format, an instance of the
former build could not work beside one of this build: the change must be made so
that the former build reads it, as fields behind the others that it ignores.
"""

import asyncio
import dataclasses
import enum
import random
import typing

import msgspec
import pytest
from returns.result import Success
import structlog

from cranberryglade.gateway import bounded_warnings
from cranberryglade.gateway import configuration
from cranberryglade.gateway import datagrams
from cranberryglade.gateway import membership
from cranberryglade.gateway import messages
from cranberryglade.gateway import origin_rows
from cranberryglade.gateway import peer_sync
from cranberryglade.gateway import ports
from cranberryglade.gateway import quarantine_sync
from cranberryglade.gateway import registration
from cranberryglade.gateway import shared_row
from cranberryglade.gateway import store_watch
from cranberryglade.gateway import tunnels
from cranberryglade.gateway import usage_sync
from cranberryglade.gateway import version_sync
from cranberryglade.platform import boot
from cranberryglade.platform import store
from cranberryglade.tests import former_build
from cranberryglade.tests import gateway_cluster
from cranberryglade.tests import wire_samples

KINDS_THAT_MAY_BE_LOST = {
    datagrams.OriginsStored.__struct_config__.tag,
    datagrams.FinalUsage.__struct_config__.tag,
    datagrams.Preempt.__struct_config__.tag,
    datagrams.Kept.__struct_config__.tag,
}
"""Tags of datagrams that the former build does not know: it drops them, so
nothing may depend on them while both builds run."""

PRESENT_KINDS = {
    kind.__struct_config__.tag: kind
    for kind in typing.get_args(datagrams.Datagram)
}


def assert_same(former, present):
    """Checks that all that the former build knows has the same values."""
    match former:
        case msgspec.Struct():
            for field in msgspec.structs.fields(former):
                assert_same(
                    getattr(former, field.name), getattr(present, field.name)
                )
        case list() | tuple():
            assert len(former) == len(present)
            for former_item, present_item in zip(former, present, strict=True):
                assert_same(former_item, present_item)
        case _:
            if isinstance(present, enum.Enum):
                present = present.value
            assert former == present


def decode_as_former_build(data: bytes):
    return msgspec.msgpack.decode(data, type=former_build.Datagram)


@pytest.mark.parametrize("name", former_build.DATAGRAMS)
def test_a_datagram_of_the_former_build_is_read(name):
    data = former_build.DATAGRAMS[name]
    assert_same(decode_as_former_build(data), datagrams.decode(data).unwrap())


@pytest.mark.parametrize("name", wire_samples.make_datagrams())
def test_the_former_build_reads_a_datagram(name):
    sent = wire_samples.make_datagrams()[name]
    tag = sent.__struct_config__.tag
    if tag in KINDS_THAT_MAY_BE_LOST:
        return
    read = decode_as_former_build(datagrams.encode(sent))
    assert read.__struct_config__.tag == tag
    assert_same(read, sent)


def test_each_kind_of_datagram_is_known_to_the_former_build_or_may_be_lost():
    former = {
        kind.__struct_config__.tag
        for kind in typing.get_args(former_build.Datagram)
    }
    assert former <= PRESENT_KINDS.keys()
    assert PRESENT_KINDS.keys() - former == KINDS_THAT_MAY_BE_LOST


def find_structs(value):
    """Returns all structs in a message, itself included."""
    match value:
        case msgspec.Struct():
            fields = [getattr(value, f) for f in value.__struct_fields__]
            return [value] + find_structs(fields)
        case list():
            return [found for item in value for found in find_structs(item)]
    return []


@pytest.mark.parametrize(
    "kind",
    [
        each
        for each in vars(datagrams).values()
        if isinstance(each, type) and issubclass(each, msgspec.Struct)
    ],
    ids=lambda kind: kind.__name__,
)
def test_each_field_of_each_datagram_has_a_sample(kind):
    found = [
        each
        for sample in wire_samples.make_datagrams().values()
        for each in find_structs(sample)
        if type(each) is kind
    ]
    for field in msgspec.structs.fields(kind):
        values = [getattr(each, field.name) for each in found]
        empty = (None, [], field.default)
        assert any(value not in empty for value in values), field.name


@pytest.mark.parametrize(
    "former, present",
    [
        (former_build.Kind, configuration.Kind),
        (former_build.Outcome, messages.Outcome),
    ],
)
def test_the_former_build_knows_all_words_of_datagrams(former, present):
    assert {each.value for each in present} == set(typing.get_args(former))


async def test_rows_have_the_keys_and_contents_of_the_former_build():
    written = await wire_samples.write_rows()
    assert written.keys() == former_build.ROWS.keys()
    for name, data in written.items():
        former_type = next(
            kind
            for prefix, kind in former_build.ROW_TYPES.items()
            if name.startswith(prefix)
        )
        read = msgspec.json.decode(data, type=former_type)
        expected = msgspec.json.decode(
            former_build.ROWS[name], type=former_type
        )
        if isinstance(read, former_build.QuarantineRow):
            read.seconds = expected.seconds = round(read.seconds)
        assert read == expected


def test_tables_have_the_names_of_the_former_build():
    names = {
        table: store.TABLES[ports.Table(table)] for table in former_build.TABLES
    }
    assert names == former_build.TABLES


class FormerStore:
    """Holds the rows that the former build wrote."""

    def find_rows(self, table):
        prefix = f"{table.value}/"
        return [
            ports.Row(name.removeprefix(prefix), ports.Version(0, 1), value)
            for name, value in former_build.ROWS.items()
            if name.startswith(prefix)
        ]

    async def read_table(self, table):
        return Success(ports.Rows(ports.Version(0, 1), self.find_rows(table)))

    async def read_row(self, table, key):
        (row,) = [row for row in self.find_rows(table) if row.key == key]
        return Success(row)

    async def write(self, table, key, value, expected):
        del table, key, value, expected
        return Success(ports.Version(0, 2))


async def test_member_rows_of_the_former_build_are_read():
    now = asyncio.get_running_loop().time()
    members = membership.Membership("gate-1", "north", now)
    entry = registration.MemberRow("10.1.0.26:7600", "north")
    await registration.register(FormerStore(), "gate-1", entry, members)
    (member,) = members.all
    assert member.name == "gate-0"
    assert member.address == "10.1.0.25:7600"
    assert member.capacity == 1.5


async def test_shared_rows_of_the_former_build_are_read():
    former = FormerStore()
    usage = shared_row.SharedRow(
        former, usage_sync.KEY, list[datagrams.QuotaUsage]
    )
    assert await usage.read() == Success([wire_samples.USAGE])
    versions = shared_row.SharedRow(
        former, version_sync.KEY, version_sync.StoredVersions
    )
    assert await versions.read() == Success({"writers": ["v1", "v2"]})


async def test_origins_of_the_former_build_are_read():
    rows = origin_rows.OriginRows(FormerStore(), lambda: False)
    assert await rows.read() == [wire_samples.ORIGIN]


async def test_the_quarantine_of_the_former_build_is_read():
    shared = wire_samples.make_state()
    sync = quarantine_sync.QuarantineSync(FormerStore(), shared)
    assert await sync._load()
    (entry,) = shared.quarantine.entries
    assert entry.parts == ("p-1", "p-2")
    assert entry.generation == 4
    left = entry.until - asyncio.get_running_loop().time()
    assert 29.0 < left < 30.1


class NoDecoder:
    """Keeps rows that it is to decode, and decodes none."""

    def __init__(self):
        self.rows = []

    def decode_configuration(self, row):
        self.rows.append(row)
        return Success(configuration.Configuration(7, [], [], None, []))


async def test_answers_of_the_former_build_to_peers_are_read():
    shared = wire_samples.make_state()
    decoder = NoDecoder()
    watcher = store_watch.StoreWatcher(
        None, decoder, shared, random.Random(1), lambda: None, lambda: None
    )
    sync = peer_sync.PeerSync(shared, watcher)
    member = membership.Member("gate-1", "10.1.0.26:7600", "north", 0.0)
    for path, body in former_build.ANSWERS.items():
        sync._apply_reply(path, body, member)
    assert decoder.rows == [wire_samples.ROW]
    (entry,) = shared.directory.entries
    assert entry.endpoint == wire_samples.ENDPOINT
    assert entry.endpoint.report_number == wire_samples.ENDPOINT.report_number
    assert entry.version == ports.Version(2, 41)
    assert shared.directory.version == ports.Version(2, 41)


async def test_the_former_build_reads_answers_to_peers():
    answers = await wire_samples.answer_peers()
    assert answers.keys() == former_build.ANSWERS.keys()
    for path, body in answers.items():
        former_type = former_build.ANSWER_TYPES[path]
        assert msgspec.msgpack.decode(
            body, type=former_type
        ) == msgspec.msgpack.decode(
            former_build.ANSWERS[path], type=former_type
        )


def test_the_bytes_of_tunnels_are_those_of_the_former_build():
    assert wire_samples.make_tunnel_bytes() == former_build.TUNNEL


class RecordingTransport:
    """Keeps what is written."""

    def __init__(self):
        self.written = b""

    def write(self, data):
        self.written += data

    def get_extra_info(self, name):
        del name


async def test_a_tunnel_of_the_former_build_is_asked_for_and_read():
    tunnel = tunnels._Tunnel("10.1.0.9:80")
    transport = RecordingTransport()
    tunnel.connection_made(transport)
    asked = b"POST /tunnel/10.1.0.9:80 HTTP/1.1\r\nHost: peer\r\n\r\n"
    assert transport.written == asked
    tunnel.data_received(former_build.TUNNEL["opened"])
    assert tunnel.opened.done()
    assert tunnel.opened.exception() is None


def test_settings_are_read_as_by_the_former_build(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(former_build.SETTINGS, encoding="utf-8")
    read = dataclasses.asdict(boot.read(str(path)).unwrap())
    known = {name: read[name] for name in former_build.READ_SETTINGS}
    assert known == former_build.READ_SETTINGS


@pytest.mark.parametrize("name", wire_samples.make_datagrams())
def test_fields_of_a_later_build_are_ignored(name):
    sent = wire_samples.make_datagrams()[name]
    fields = msgspec.msgpack.decode(datagrams.encode(sent))
    longer = msgspec.msgpack.encode([*fields, {"new": [1, 2]}])
    assert datagrams.decode(longer) == Success(sent)


UNKNOWN = [
    msgspec.msgpack.encode([99, "gate-9", {"new": 1}]),
    msgspec.msgpack.encode(["new", "gate-9"]),
    msgspec.msgpack.encode([7, "gate-0.1", "new_outcome", []]),
    msgspec.msgpack.encode({"new": "shape"}),
    b"",
    b"\xc1" * 100,
]


async def test_kinds_of_a_later_build_are_ignored_and_logged_in_bounds(
    monkeypatch,
):
    async with gateway_cluster.Cluster(gateways=2) as cluster:
        (first, second) = (gateway._mesh for gateway in cluster.gateways)
        monkeypatch.setattr(bounded_warnings, "WINDOW_SECONDS", 60.0)
        with structlog.testing.capture_logs() as lines:
            for _ in range(50):
                for data in UNKNOWN:
                    first.datagram_received(data, ("127.0.0.1", 1))
        unreadable = [
            line for line in lines if line["event"] == "datagram.unreadable"
        ]
        assert 1 <= len(unreadable) <= 2
        assert all(len(str(line)) < 500 for line in unreadable)
        member = second.members.get("gate-0")
        before = member.answered_at
        await gateway_cluster.wait_until(
            lambda: member.answered_at > before, 1.0
        )
        assert (await cluster.send_request()).status == 200
