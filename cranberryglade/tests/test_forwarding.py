"""Contract with peers: what each of their replies is taken for."""

import asyncio
import types

import pytest

from cranberryglade import forwarding
from cranberryglade import metrics
from cranberryglade import peers
from cranberryglade import snapshots
from cranberryglade import streams
from cranberryglade import submissions
from cranberryglade import tallies
from cranberryglade import tickets
from cranberryglade import tracing
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
OFFICE = tickets.TicketOffice(
    HOME.failure_domain, HOME.name, HOME.incarnation, b"0" * 16
)
TICKET = OFFICE.issue("store-1")
WHOLE = scripted.token(0) + scripted.end(1, TICKET.encode())


def refused(reason, request_id=TICKET):
    document = wire.verdict_document(request_id, verdicts.NotRun(reason, 1.0))
    return scripted.refusal(b"503 No", wire.encode(document))


def snapshot(**changes):
    values = {"floor": 0, "ran": [], "uncertain": [], "answers": []}
    return snapshots.Snapshot(home=HOME.home, **{**values, **changes})


class Archive:
    def __init__(self, kept):
        self._kept = kept

    async def find(self, request_id):
        if self._kept is None:
            return None
        return snapshots.find(self._kept, request_id)


@pytest.fixture
async def client(monkeypatch):
    monkeypatch.setattr(peers, "SILENCE_MARGIN_SECONDS", 0.2)
    opened = peers.PeerClient(peers.PeerKey(b"0" * 16), 0.5)
    yield opened
    await opened.close()


REPLIES = {
    "whole": ([scripted.kept_alive(WHOLE)], streams.Whole(1), streams.Whole(1)),
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
    "accepted, then dead": ([b""], streams.Cut(), GONE),
    "cut": ([scripted.CLOSE + scripted.token(0)], streams.Cut(), streams.Cut()),
    "crossed": (
        [scripted.CLOSE + scripted.token(0) + scripted.end(1)],
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


def asked():
    return wire.DelegatedRequest(
        request=wire.RequestDocument(kind="reservation"),
        request_id=TICKET,
        organisation="store-1",
        remaining_ms=0,
        first_token_ms=0,
    )


def relay(client, kept, home):
    found = types.SimpleNamespace(find=lambda instance, incarnation: home)
    forwarder = forwarding.Forwarder(
        client,
        found,
        OFFICE,
        Archive(kept),
        tallies.Tally(metrics.Metrics("")),
        tracing.Tracing("entry-1", ""),
    )
    now = asyncio.get_running_loop().time()
    brought = submissions.Submission(
        builders.request(TICKET, deadline=now, first_token_deadline=now),
        wire.RequestDocument(kind="reservation"),
        None,
    )
    return forwarder.relay(brought, TICKET, lambda events: None)


@pytest.mark.parametrize("name", REPLIES)
async def test_a_reply_of_a_peer(client, name):
    replies, from_peer, from_home = REPLIES[name]
    for expected, is_home in ((from_peer, False), (from_home, True)):
        async with scripted.Fake(replies or []) as fake:
            peer = builders.peer("entry-9", address=fake.address)
            if replies is None:
                await fake.__aexit__()
            if is_home:
                ending = await relay(client, None, peer)
            else:
                ending = await client.delegate(
                    peer, asked(), {}, lambda events: None
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
        (snapshot(ran=[1], answers=[ANSWER]), streams.Whole(1)),
        (snapshot(ran=[1]), verdicts.MayHaveRun(R.RETENTION_PASSED)),
        (snapshot(floor=1), verdicts.MayHaveRun(R.RETENTION_PASSED)),
        (snapshot(uncertain=[CUT]), verdicts.MayHaveRun(R.INSTANCE_CUT)),
    ],
)
async def test_what_a_home_left_behind(client, kept, expected):
    assert await relay(client, kept, None) == expected
