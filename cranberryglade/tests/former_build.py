"""The formats of an earlier build, which runs beside this one in an upgrade.

The bytes were written by the encoders of that build (commit 2922232), by
`wire_samples`. The types are those by which it decodes; neither is to be
changed. That build ignores fields that it does not know, and drops datagrams
of a kind that it does not know.
"""

from typing import Literal

import msgspec

Kind = Literal["idempotent", "once", "stream", "resumable"]
"""It raises an error in the handling of a datagram with another one."""

Outcome = Literal[
    "served",
    "failed",
    "refused",
    "overloaded",
    "unreachable",
    "misdirected",
    "lost",
    "crashed",
    "abandoned",
]
"""As with Kind."""


class HeldSlot(msgspec.Struct, array_like=True):
    id: str
    endpoint: str


class QuotaUsage(msgspec.Struct, array_like=True):
    organisation: str
    cost: float
    age_seconds: float


class Report(msgspec.Struct, array_like=True):
    held: list[HeldSlot]
    usage: list[QuotaUsage]


class Status(msgspec.Struct, array_like=True):
    configuration: int
    confirmed_ms: int
    endpoints: int
    members: int
    age_ms: int
    era: int = 0
    cut_off: bool = False


class LeavingEndpoint(msgspec.Struct, array_like=True):
    id: str
    started_ms: int


class EndpointLimit(msgspec.Struct, array_like=True, tag=12):
    endpoint: str
    started_ms: int
    per_second: float
    ended: bool
    age_ms: int


class QuarantineEntry(msgspec.Struct, array_like=True):
    parts: list[str]
    remaining_ms: int
    generation: int
    lifted: bool


class SuspectPart(msgspec.Struct, array_like=True):
    part: str
    crashes: int
    endpoints: int


class Ping(msgspec.Struct, array_like=True, tag=1):
    name: str
    incarnation: str
    address: str
    domain: str
    sequence: int
    status: Status
    report: Report | None
    leaving: list[LeavingEndpoint] = []
    quarantine: list[QuarantineEntry] = []
    suspects: list[SuspectPart] | None = None
    limits: list[EndpointLimit] = []
    capacity: float = 1.0


class MemberInfo(msgspec.Struct, array_like=True):
    name: str
    address: str
    domain: str
    capacity: float = 1.0


class Pong(msgspec.Struct, array_like=True, tag=2):
    name: str
    incarnation: str
    sequence: int
    status: Status
    other: MemberInfo | None
    quarantine: list[QuarantineEntry] = []


class SlotRequest(msgspec.Struct, array_like=True, tag=3):
    name: str
    id: str
    service: str
    rank: int
    kind: Kind
    prompt_tokens: int
    output_tokens: int
    wait_ms: int
    target_ms: int
    avoid: list[str]
    organisation: str
    cost: float
    software_version: str | None = None
    parts: list[str] = []


class Queued(msgspec.Struct, array_like=True, tag=4):
    id: str


class Grant(msgspec.Struct, array_like=True, tag=5):
    id: str
    endpoint: str


class Deny(msgspec.Struct, array_like=True, tag=6):
    id: str
    reason: str
    retry_after_ms: int
    waiting: int


class Release(msgspec.Struct, array_like=True, tag=7):
    id: str
    outcome: Outcome
    parts: list[str] = []


class Leaving(msgspec.Struct, array_like=True, tag=8):
    name: str
    incarnation: str


class OriginRecord(msgspec.Struct, array_like=True):
    attempt: str
    service: str
    software_version: str


class Origins(msgspec.Struct, array_like=True, tag=9):
    records: list[OriginRecord]


class OriginQuery(msgspec.Struct, array_like=True, tag=10):
    name: str
    number: int
    attempt: str
    service: str


class OriginReply(msgspec.Struct, array_like=True, tag=11):
    number: int
    origin: OriginRecord | None
    software_versions: list[str]


Datagram = (
    Ping
    | Pong
    | SlotRequest
    | Queued
    | Grant
    | Deny
    | Release
    | Leaving
    | EndpointLimit
    | Origins
    | OriginQuery
    | OriginReply
)


class MemberRow(msgspec.Struct):
    address: str
    domain: str
    capacity: float = 1.0


class QuarantineRow(msgspec.Struct):
    parts: list[str]
    seconds: float
    generation: int


class Version(msgspec.Struct):
    era: int
    number: int


class Row(msgspec.Struct):
    key: str
    version: Version
    value: bytes | None


class Endpoint(msgspec.Struct):
    id: str
    service: str
    address: str
    domain: str
    slots: int
    leaving: bool
    started_ms: int
    software_version: str
    report_number: int = 0


class Entry(msgspec.Struct):
    endpoint: Endpoint
    version: Version


class EndpointList(msgspec.Struct, array_like=True):
    version: Version
    entries: list[Entry]


ROW_TYPES = {
    "members": MemberRow,
    "usage/usage": list[QuotaUsage],
    "usage/versions": dict[str, list[str]],
    "origins": list[OriginRecord],
    "quarantine": QuarantineRow,
}
"""Types of the stored rows, by the beginnings of their tables and keys."""

ANSWER_TYPES = {"/configuration": Row, "/endpoints": EndpointList}
"""Types of the answers to peers, by path."""

TABLES = {
    "configuration": "op",
    "endpoints": "servers",
    "members": "cranberryglade-members",
    "quarantine": "cranberryglade-quarantine",
    "usage": "cranberryglade-usage",
    "origins": "cranberryglade-origins",
}
"""Names of the tables in the store that gateways use."""

DATAGRAMS = {
    "ping": bytes.fromhex(
        "9d01a6676174652d30a66c6966652d31ae31302e312e302e32353a37363030a5"
        "6e6f7274680c9707ccfa2903cd232802c3929192a8676174652d302e31a3692d"
        "319193a673747564696fcb405e200000000000cb3ff40000000000009192a369"
        "2d33cf0000018bcfe56803919492a3702d31a3702d32cd753004c29193a3702d"
        "31030291960ca3692d31cf0000018bcfe56801cb4029000000000000c2cd01f4"
        "cb3ff8000000000000"
    ),
    "short_ping": bytes.fromhex(
        "9d01a6676174652d30a66c6966652d31ae31302e312e302e32353a37363030a5"
        "6e6f7274680d9700ff00010000c2c09090c090cb3ff0000000000000"
    ),
    "pong": bytes.fromhex(
        "9702a6676174652d31a66c6966652d320c9707ccfa2903cd232802c394a66761"
        "74652d32ae31302e322e302e31373a37363030a5736f757468cb3fe000000000"
        "0000919492a3702d31a3702d32cd753004c2"
    ),
    "short_pong": bytes.fromhex(
        "9702a6676174652d31a66c6966652d320c9707ccfa2903cd232802c3c090"
    ),
    "slot_request": bytes.fromhex(
        "9f03a6676174652d30a8676174652d302e31a77772697465727364a972657375"
        "6d61626c65cd03e864cd05dccd01f491a3692d32a673747564696fcb40913000"
        "00000000a2763192a3702d31a3702d32"
    ),
    "plain_slot_request": bytes.fromhex(
        "9f03a6676174652d30a8676174652d302e32a76c6f6f6b75707300aa6964656d"
        "706f74656e74000000d1fc1890a0cb0000000000000000c090"
    ),
    "queued": bytes.fromhex("9204a8676174652d302e31"),
    "grant": bytes.fromhex("9305a8676174652d302e31a3692d31"),
    "deny": bytes.fromhex(
        "9506a8676174652d302e31aa6f7665725f71756f7461cd019000"
    ),
    "release": bytes.fromhex(
        "9407a8676174652d302e31a76372617368656491a3702d31"
    ),
    "leaving": bytes.fromhex("9308a6676174652d30a66c6966652d31"),
    "origins": bytes.fromhex("92099193a3612d31a777726974657273a27631"),
    "origin_query": bytes.fromhex(
        "950aa6676174652d3005a3612d31a777726974657273"
    ),
    "origin_reply": bytes.fromhex(
        "940b0593a3612d31a777726974657273a2763192a27631a27632"
    ),
    "unknown_origin": bytes.fromhex("940b05c090"),
    "endpoint_limit": bytes.fromhex(
        "960ca3692d31cf0000018bcfe56801cb4029000000000000c2cd01f4"
    ),
}

ROWS = {
    "members/gate-0": (
        b'{"address":"10.1.0.25:7600","domain":"north","capacity":1.5}'
    ),
    "usage/usage": (b'[["studio",120.5,1.25]]'),
    "usage/versions": (b'{"writers":["v1","v2"]}'),
    "origins/000": (b'[["a-1","writers","v1"]]'),
    "quarantine/39a5d2f08dc9392b": (
        b'{"parts":["p-1","p-2"],"seconds":29.999994403999608,"generation":4}'
    ),
}

ANSWERS = {
    "/configuration": bytes.fromhex(
        "83a36b6579a6636f6e666967a776657273696f6e82a365726102a66e756d6265"
        "7228a576616c7565c40e7b2276657273696f6e223a20377d"
    ),
    "/endpoints": bytes.fromhex(
        "9282a365726102a66e756d626572299182a8656e64706f696e7489a26964a369"
        "2d31a773657276696365a777726974657273a761646472657373ab31302e312e"
        "302e393a3830a6646f6d61696ea56e6f727468a5736c6f747304a76c65617669"
        "6e67c3aa737461727465645f6d73cf0000018bcfe56801b0736f667477617265"
        "5f76657273696f6ea27631ad7265706f72745f6e756d6265720ca77665727369"
        "6f6e82a365726102a66e756d62657229"
    ),
}

TUNNEL = {
    "path": bytes.fromhex("2f74756e6e656c2f"),
    "opened": bytes.fromhex("000000066f70656e6564"),
    "data": bytes.fromhex("00000011485454502f312e3120323030204f4b0d0a"),
    "end": bytes.fromhex("00000000"),
}

SETTINGS = """
node = "front-1"
role = "gateway"
machine_class = "front"
serves = ["front"]
ip = "10.1.0.25"
zone = "north"
region = "east"
internal_port_range = [7600, 7615]
seed_addrs = ["10.1.0.25:8229"]
heartbeat_ms = 1200
[listen]
front = "10.1.0.25:8221"
ready = "10.1.0.25:8224"
[limits]
cpu_share = 0.5
cpu_cores = 3
memory_mb = 300
max_fds = 4100
link_mbps = 20.0
[bounds]
revoke_ms = 5000
enforce_revocation = true
grace_s = 8
retry_budget_ratio = 0.2
retry_budget_slack = 54
budget_window_s = 10
quota_window_s = 8
quota_overage = 0.1
quota_slack = 190000
[platform]
address = "10.200.1.7:8225"
"""
"""A settings file, and below what that build read in it."""

READ_SETTINGS = {
    "instance": "front-1",
    "failure_domain": "north",
    "host": "10.1.0.25",
    "front_address": "10.1.0.25:8221",
    "ready_address": "10.1.0.25:8224",
    "peer_port": 7600,
    "store_address": "10.200.1.7:8225",
    "revoke_seconds": 5.0,
    "grace_seconds": 8.0,
    "retry_ratio": 0.2,
    "retry_slack": 54.0,
    "retry_window_seconds": 10.0,
    "quota_window_seconds": 8.0,
    "quota_ratio": 0.1,
    "quota_slack": 190000.0,
    "processor_cores": 1.5,
    "link_mbps": 20.0,
}
