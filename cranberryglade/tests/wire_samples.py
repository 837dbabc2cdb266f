"""What a gateway writes for others to read, by the encoders of this build.

Run as a program in another build, it prints what that build writes.
"""

import asyncio
import json

from returns.result import Success

from cranberryglade import crash_evidence
from cranberryglade import quarantine
from cranberryglade.gateway import configuration
from cranberryglade.gateway import configuration_age
from cranberryglade.gateway import conversions
from cranberryglade.gateway import datagrams
from cranberryglade.gateway import endpoint_limits
from cranberryglade.gateway import messages
from cranberryglade.gateway import origin_rows
from cranberryglade.gateway import peer_sync
from cranberryglade.gateway import ports
from cranberryglade.gateway import quarantine_sync
from cranberryglade.gateway import registration
from cranberryglade.gateway import shared_row
from cranberryglade.gateway import state
from cranberryglade.gateway import telemetry
from cranberryglade.gateway import tunnels
from cranberryglade.gateway import usage_sync
from cranberryglade.gateway import version_sync

NOW = 100.0
STATUS = datagrams.Status(7, 250, 41, 3, 9000, 2, True, True)
STATUS_WITHOUT_CONFIGURATION = datagrams.Status(0, -1, 0, 1, 0)
USAGE = datagrams.QuotaUsage("studio", 120.5, 1.25)
PERIOD = datagrams.KnownPeriod(7.5, 3.25)
LIMIT = endpoint_limits.EndpointLimit("i-1", 1700000000001, 12.5, False, 99.5)
QUARANTINE = quarantine.Entry(("p-1", "p-2"), NOW + 30.0, 4)
SUSPICION = crash_evidence.Suspicion("p-1", 3, 2)
ORIGIN = datagrams.OriginRecord("a-1", "writers", "v1")
REQUEST = messages.SlotRequest(
    id="gate-0.1",
    service="writers",
    rank=100,
    kind=configuration.Kind.RESUMABLE,
    prompt_tokens=1000,
    output_tokens=100,
    wait_until=NOW + 1.5,
    first_answer_due=NOW + 0.5,
    excluded_endpoints=("i-2",),
    organisation="studio",
    cost=1100.0,
    software_version="v1",
    parts=("p-1", "p-2"),
    yields=True,
)
PLAIN_REQUEST = messages.SlotRequest(
    id="gate-0.2",
    service="lookups",
    rank=0,
    kind=configuration.Kind.IDEMPOTENT,
    prompt_tokens=0,
    output_tokens=0,
    wait_until=NOW - 1.0,
    first_answer_due=NOW - 1.0,
)
ENDPOINT = messages.Endpoint(
    "i-1", "writers", "10.1.0.9:80", "north", 4, True, 1700000000001, "v1", 12
)
ROW = ports.Row("config", ports.Version(2, 40), b'{"version": 7}')


def make_datagrams() -> dict[str, datagrams.Datagram]:
    """Returns one of each kind of datagram, and those with less in them."""
    return {
        "ping": datagrams.Ping(
            "gate-0",
            "life-1",
            "10.1.0.25:7600",
            "north",
            12,
            STATUS,
            datagrams.Report(
                [datagrams.HeldSlot("gate-0.1", "i-1")], [USAGE], [PERIOD]
            ),
            [datagrams.LeavingEndpoint("i-3", 1700000000003)],
            [conversions.encode_quarantine(QUARANTINE, NOW)],
            [conversions.encode_suspicion(SUSPICION)],
            [conversions.encode_limit(LIMIT, NOW)],
            1.5,
        ),
        "short_ping": datagrams.Ping(
            "gate-0",
            "life-1",
            "10.1.0.25:7600",
            "north",
            13,
            STATUS_WITHOUT_CONFIGURATION,
            None,
        ),
        "pong": datagrams.Pong(
            "gate-1",
            "life-2",
            12,
            STATUS,
            datagrams.MemberInfo("gate-2", "10.2.0.17:7600", "south", 0.5),
            [conversions.encode_quarantine(QUARANTINE, NOW)],
        ),
        "short_pong": datagrams.Pong("gate-1", "life-2", 12, STATUS, None),
        "slot_request": conversions.encode_slot_request("gate-0", REQUEST, NOW),
        "plain_slot_request": conversions.encode_slot_request(
            "gate-0", PLAIN_REQUEST, NOW
        ),
        "queued": datagrams.Queued("gate-0.1"),
        "grant": conversions.encode_decision(
            messages.Granted("gate-0.1", "i-1")
        ),
        "grant_with_threshold": conversions.encode_decision(
            messages.Granted("gate-0.1", "i-1", 0.12)
        ),
        "deny": conversions.encode_decision(
            messages.Denied("gate-0.1", messages.OVER_QUOTA, 0.4)
        ),
        "release": datagrams.Release(
            "gate-0.1", messages.Outcome.CRASHED, ["p-1"], 250
        ),
        "preempt": datagrams.Preempt("gate-0.1"),
        "kept": datagrams.Kept("gate-0.1"),
        "leaving": datagrams.Leaving("gate-0", "life-1"),
        "origins": datagrams.Origins([ORIGIN]),
        "origin_query": datagrams.OriginQuery("gate-0", 5, "a-1", "writers"),
        "origin_reply": datagrams.OriginReply(5, ORIGIN, ["v1", "v2"]),
        "origins_stored": datagrams.OriginsStored(["a-1"]),
        "unknown_origin": datagrams.OriginReply(5, None, []),
        "endpoint_limit": conversions.encode_limit(LIMIT, NOW),
        "final_usage": datagrams.FinalUsage(
            "gate-0",
            "life-1",
            [PERIOD],
            [datagrams.GrantedUsage("studio", 120.5, 1.25, "life-2")],
        ),
    }


class _RecordingStore:
    """Keeps what is written; its tables are empty."""

    def __init__(self):
        self.written: dict[str, bytes] = {}

    async def write(self, table, key, value, expected):
        del expected
        self.written[f"{table.value}/{key}"] = value
        return Success(ports.Version(0, 1))

    async def read_table(self, table):
        del table
        return Success(ports.Rows(ports.Version(0, 1), []))


class _RecordingResponder:
    """Keeps the body of an answer."""

    def __init__(self):
        self.body = b""

    def whole(self, status, headers, body):
        del status, headers
        self.body = body


async def write_rows() -> dict[str, bytes]:
    """Returns the rows that a gateway writes, by table and key."""
    store = _RecordingStore()
    entry = registration.MemberRow("10.1.0.25:7600", "north", 1.5)
    await registration._write_and_read(store, "gate-0", entry)
    usage = shared_row.SharedRow(
        store, usage_sync.KEY, list[datagrams.QuotaUsage]
    )
    await usage.write([USAGE])
    versions = shared_row.SharedRow(
        store, version_sync.KEY, version_sync.StoredVersions
    )
    await versions.write({"writers": ["v1", "v2"]})
    origins = origin_rows.OriginRows(store, lambda: True)
    origins.add([ORIGIN])
    await origins._save()
    shared = make_state()
    saving = quarantine_sync.QuarantineSync(store, shared)
    now = asyncio.get_running_loop().time()
    lasting = quarantine.Entry(QUARANTINE.parts, now + 30.0, 4)
    await saving._save([lasting])
    return store.written


async def answer_peers() -> dict[str, bytes]:
    """Returns the answers to peers that fetch, by path."""
    shared = make_state()
    shared.configuration_row = ROW
    shared.directory.put(ENDPOINT, ports.Version(2, 41))
    sync = peer_sync.PeerSync(shared, None)
    answers = {}
    for path in (peer_sync.CONFIGURATION_PATH, peer_sync.ENDPOINTS_PATH):
        responder = _RecordingResponder()
        request = messages.Request(
            b"GET", path.encode(), [], b"", False, True, 0.0
        )
        await sync.handle(request, responder)
        answers[path] = responder.body
    return answers


def make_state() -> state.InstanceState:
    """Returns the state of an instance that knows nothing yet."""
    return state.InstanceState(
        "life-1",
        configuration_age.ConfigurationAge(5.0),
        telemetry.Telemetry(),
    )


def make_tunnel_bytes() -> dict[str, bytes]:
    """Returns what passes between two instances on a tunnel."""
    return {
        "path": tunnels.PATH,
        "opened": tunnels.encode_frame(tunnels.OPENED),
        "data": tunnels.encode_frame(b"HTTP/1.1 200 OK\r\n"),
        "end": tunnels.END,
    }


async def _print_all() -> None:
    sent = {
        name: datagrams.encode(message)
        for name, message in make_datagrams().items()
    }
    for title, found in {
        "DATAGRAMS": sent,
        "ROWS": await write_rows(),
        "ANSWERS": await answer_peers(),
        "TUNNEL": make_tunnel_bytes(),
    }.items():
        texts = {name: data.hex() for name, data in found.items()}
        print(f"{title} = {json.dumps(texts, indent=4)}")


if __name__ == "__main__":
    asyncio.run(_print_all())
