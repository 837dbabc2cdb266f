"""How each reply of a peer is interpreted, and what follows from it."""

import asyncio
import types

from aiohttp import web
import pytest

from cranberryglade import exchanges
from cranberryglade import forwarding
from cranberryglade import listeners
from cranberryglade import metrics
from cranberryglade import peer_interface
from cranberryglade import peers
from cranberryglade import snapshots
from cranberryglade import streams
from cranberryglade import submissions
from cranberryglade import tickets
from cranberryglade import tracing
from cranberryglade import verdict_counts
from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.tests import builders
from cranberryglade.tests import scripted

R = verdicts.Reason
LOST = verdicts.MayHaveRun(R.ANSWER_LOST)
NOT_WHOLE = verdicts.MayHaveRun(R.ANSWER_NOT_WHOLE)
SILENT = verdicts.MayHaveRun(R.PEER_LOST)
GONE = verdicts.MayHaveRun(R.HOME_UNREACHABLE)
SHED = verdicts.NotRun(R.SHED, 1.0)
HOME = builders.peer("entry-9")
HOME_ISSUER = tickets.TicketIssuer(
    HOME.failure_domain, HOME.name, HOME.incarnation, b"0" * 16
)
CONTACT_ISSUER = tickets.TicketIssuer(
    HOME.failure_domain, "entry-8", "i8", b"0" * 16
)
TICKET = HOME_ISSUER.issue("store-1")
WHOLE = scripted.token(0) + scripted.end(1, TICKET.encode())


def refused(reason, request_id=TICKET):
    document = wire.verdict_document(request_id, verdicts.NotRun(reason, 1.0))
    return scripted.refusal(b"503 No", wire.encode(document))


def snapshot(**changes):
    values = {"floor": 0, "ran": [], "uncertain": [], "answers": []}
    return snapshots.Snapshot(home=HOME.home, **{**values, **changes})


class FakeSnapshotStore:
    def __init__(self, kept):
        self._kept = kept

    async def find(self, request_id):
        if self._kept is None:
            return None
        return snapshots.find(self._kept, request_id)


@pytest.fixture
async def client(monkeypatch):
    monkeypatch.setattr(peers, "IDLE_TIMEOUT_MARGIN_SECONDS", 0.2)
    opened = peers.PeerClient(peers.PeerKey(b"0" * 16), 0.5)
    yield opened
    await opened.close()


REPLIES = {
    "whole": (
        [scripted.keep_alive_response(WHOLE)],
        streams.Complete(1),
        streams.Complete(1),
    ),
    "refused": ([refused(R.SHED)], SHED, SHED),
    "another refused": ([refused(R.SHED, "r2")], LOST, LOST),
    "malformed": (
        [refused(R.MALFORMED, "")],
        verdicts.NotRun(R.MALFORMED, 1.0),
        GONE,
    ),
    "unknown kind": (
        [refused(R.UNKNOWN_KIND, "")],
        verdicts.NotRun(R.UNKNOWN_KIND, 1.0),
        GONE,
    ),
    "accepted, then dead": ([b""], streams.Interrupted(), GONE),
    "cut": (
        [scripted.CLOSING_HEAD + scripted.token(0)],
        streams.Interrupted(),
        streams.Interrupted(),
    ),
    "crossed": (
        [scripted.CLOSING_HEAD + scripted.token(0) + scripted.end(1)],
        NOT_WHOLE,
        NOT_WHOLE,
    ),
    "redirected": (
        [scripted.refusal(b"307 Go", b"", b"Location: /elsewhere\r\n")],
        LOST,
        LOST,
    ),
    "silent": ([None], SILENT, SILENT),
    "not listening": (
        None,
        verdicts.NotRun(R.CONNECTION_REFUSED, 0.1),
        GONE,
    ),
}


def delegated_request(request_id=TICKET):
    return wire.DelegatedRequest(
        request=wire.RequestDocument(kind="reservation"),
        request_id=request_id,
        organisation="store-1",
        remaining_ms=0,
        first_token_ms=0,
    )


def relay(client, stored, home, contacts=(), issuer=HOME_ISSUER):
    members = types.SimpleNamespace(
        find=lambda instance, incarnation: home, peers=contacts
    )
    forwarder = forwarding.Forwarder(
        client,
        members,
        issuer,
        FakeSnapshotStore(stored),
        verdict_counts.VerdictCounter(metrics.Metrics("")),
        tracing.Tracing("entry-1", ""),
    )
    now = asyncio.get_running_loop().time()
    submission = submissions.Submission(
        builders.request(TICKET, deadline=now, first_token_deadline=now),
        wire.RequestDocument(kind="reservation"),
        None,
    )
    return forwarder.relay(submission, TICKET, lambda events: None)


@pytest.mark.parametrize("name", REPLIES)
async def test_a_reply_of_a_peer(client, name):
    replies, from_peer, from_home = REPLIES[name]
    for expected, is_home in ((from_peer, False), (from_home, True)):
        async with scripted.ScriptedServer(replies or []) as fake:
            peer = builders.peer("entry-9", address=fake.address)
            if replies is None:
                await fake.__aexit__()
            if is_home:
                ending = await relay(client, None, peer)
            else:
                ending = await client.delegate(
                    peer, delegated_request(), {}, lambda events: None
                )
            assert ending == expected
            assert fake.count(b"POST") == (replies is not None)


ANSWER = snapshots.KeptAnswer(sequence=1, tokens=1, events=scripted.token(0))
CUT = snapshots.Uncertain(sequence=1, reason="instance_cut")


@pytest.mark.parametrize(
    ("kept", "expected"),
    [
        (None, GONE),
        (snapshot(), verdicts.NotRun(R.STOPPING, 0.0)),
        (snapshot(ran=[1], answers=[ANSWER]), streams.Complete(1)),
        (snapshot(ran=[1]), verdicts.MayHaveRun(R.RETENTION_PASSED)),
        (snapshot(floor=1), verdicts.MayHaveRun(R.RETENTION_PASSED)),
        (snapshot(uncertain=[CUT]), verdicts.MayHaveRun(R.INSTANCE_CUT)),
    ],
)
async def test_outcome_from_the_snapshot_of_a_stopped_home(
    client, kept, expected
):
    assert await relay(client, kept, None) == expected


OTHER_DOMAIN_ISSUER = tickets.TicketIssuer("wien-b", "entry-1", "i1", b"0" * 16)


async def test_a_home_in_another_domain_is_reached_through_a_contact(client):
    async with scripted.ScriptedServer(
        [scripted.keep_alive_response(WHOLE)]
    ) as fake:
        contact = builders.peer("entry-8", address=fake.address)
        ending = await relay(client, None, None, [contact], OTHER_DOMAIN_ISSUER)
        assert ending == streams.Complete(1)
        assert fake.count(b"POST /v1/peer/submissions") == 1


@pytest.mark.parametrize(
    ("request_id", "passed_on"),
    [(TICKET, True), (OTHER_DOMAIN_ISSUER.issue("store-1"), False)],
)
async def test_a_contact_forwards_to_homes_of_its_domain(
    client, request_id, passed_on
):
    exchange = exchanges.Exchange(request_id, "store-1")
    exchange.append(scripted.token(0))
    exchange.finish(verdicts.Ran())
    rule = types.SimpleNamespace(
        name="r",
        target="t",
        tier="a",
        idempotent=False,
        max_tokens=1,
        deadline_ms=1,
    )
    tier = types.SimpleNamespace(rank=0, first_token_ms=1)
    ran = verdicts.Ran()
    interface = peer_interface.PeerInterface(
        types.SimpleNamespace(now=0.0, look_up=lambda *arguments: None),
        types.SimpleNamespace(
            forward=lambda submission: exchange,
            look_up=lambda *arguments: asyncio.sleep(0, ran),
        ),
        None,
        types.SimpleNamespace(
            current=types.SimpleNamespace(
                rules={"reservation": rule},
                tiers={"a": tier},
                weight=lambda organisation: 1.0,
            )
        ),
        CONTACT_ISSUER,
        peers.PeerKey(b"0" * 16),
        "entry-8-i1",
        tracing.Tracing("entry-8", ""),
    )
    app = web.Application()
    interface.register(app)
    listener = listeners.Listener.open("127.0.0.1:0")
    runner = await listener.serve(app)
    peer = builders.peer("entry-8", address=listener.address)
    request = delegated_request(request_id)
    ending = await client.forward(peer, request, {}, lambda events: None)
    assert ending == (streams.Complete(1) if passed_on else GONE)
    lookup = wire.LookupDocument(request_id=request_id, organisation="store-1")
    found = (await client.look_up(peer, lookup)).unwrap()
    assert found.status == (200 if passed_on else 404)
    await runner.cleanup()
