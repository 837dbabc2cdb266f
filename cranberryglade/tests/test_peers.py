"""Requests and lookups sent to a peer whose process was replaced."""

import contextlib

from aiohttp import web
import pytest
from returns.result import Failure

from cranberryglade import listeners
from cranberryglade import peers
from cranberryglade import responses
from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.tests import builders

KEY = peers.PeerKey(b"0" * 16)
CURRENT_INCARNATION = "i2"


async def refuse_old_incarnation(http_request):
    body = await http_request.read()
    signature = http_request.headers[peers.SIGNATURE_HEADER]
    assert not KEY.check(
        signature, http_request.path, body, CURRENT_INCARNATION
    )
    return responses.refusal(verdicts.Reason.UNAUTHENTICATED)


@contextlib.asynccontextmanager
async def replaced_peer():
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", refuse_old_incarnation)
    listener = listeners.Listener.open("127.0.0.1:0")
    runner = await listener.serve(app)
    client = peers.PeerClient(KEY, 1.0)
    try:
        yield client, builders.peer(address=listener.address, incarnation="i1")
    finally:
        await client.close()
        await runner.cleanup()


async def test_a_lookup_at_a_replaced_home_fails():
    lookup = wire.LookupDocument(
        request_id="r1", organisation="o", cancel=False
    )
    async with replaced_peer() as (client, peer):
        found = await client.look_up(peer, lookup)
    assert found == Failure("another process")


@pytest.mark.parametrize(
    ("method", "reason"),
    [
        ("delegate", verdicts.Reason.CONNECTION_REFUSED),
        ("forward", verdicts.Reason.UNAUTHENTICATED),
    ],
)
async def test_outcome_of_a_request_sent_to_a_replaced_peer(method, reason):
    request = wire.DelegatedRequest(
        request=wire.RequestDocument(kind="k"),
        request_id="r1",
        organisation="o",
        remaining_ms=1000,
        first_token_ms=1000,
    )
    async with replaced_peer() as (client, peer):
        send = getattr(client, method)
        outcome = await send(peer, request, {}, lambda events: None)
    assert (type(outcome), outcome.reason) == (verdicts.NotRun, reason)
