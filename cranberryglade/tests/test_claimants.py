"""Contract between the claimant and the platform's table service."""

import asyncio
import time

import aiohttp
import pytest

from cranberryglade import claimants
from cranberryglade import listeners
from cranberryglade import tables
from cranberryglade.platform import store
from cranberryglade.scheduling import messages
from cranberryglade.standins import platform as standin

OUTCOME = messages.ClaimOutcome
BOUND_SECONDS = 0.3


class Table:
    """A stand-in of the platform and claimants of several instances."""

    def __init__(self, address):
        self._address = address
        patience = 10 * BOUND_SECONDS
        self._client = store.StoreClient(address, patience, patience)
        self.first = claimants.Claimant(tables.Tables(self._client))
        self.second = claimants.Claimant(tables.Tables(self._client))

    async def faults(self, **faults):
        url = f"http://{self._address}/standin/faults"
        async with aiohttp.request("PUT", url, json=faults):
            pass

    async def writes(self):
        url = f"http://{self._address}/standin/counts"
        async with aiohttp.request("GET", url) as response:
            return (await response.json()).get("writes", 0)

    async def close(self):
        self._client.close()


@pytest.fixture
async def table(monkeypatch):
    monkeypatch.setattr(claimants, "CLAIM_TIMEOUT_SECONDS", BOUND_SECONDS)
    app = standin.PlatformStandin().application()
    listener = listeners.Listener.open("127.0.0.1:0")
    runner = await listener.serve(app)
    opened = Table(listener.address)
    yield opened
    await opened.close()
    await runner.cleanup()


def claim(request_id="r1", key="k1", fingerprint="f1", version=0):
    return messages.Claim(request_id, "store-1", key, fingerprint, version)


@pytest.mark.parametrize(
    ("faults", "outcome"),
    [
        ({}, OUTCOME.WON),
        ({"lose_answers": 1}, OUTCOME.WON),
        ({"delay_seconds": 0.02}, OUTCOME.WON),
        ({"down": True}, OUTCOME.UNAVAILABLE),
        ({"delay_seconds": 2 * BOUND_SECONDS}, OUTCOME.UNAVAILABLE),
    ],
)
async def test_a_claim_is_settled_in_time(table, faults, outcome):
    await table.faults(**faults)
    began = time.monotonic()
    settled = await table.first.claim(claim())
    assert settled.outcome is outcome
    assert time.monotonic() - began < 1.5 * BOUND_SECONDS


async def test_while_the_platform_is_down_claims_are_refused_at_once(table):
    await table.faults(down=True)
    await table.first.claim(claim())
    before = await table.writes()
    settled = await table.first.claim(claim("r2", "k2"))
    assert settled.outcome is OUTCOME.UNAVAILABLE
    assert settled.retry_after_seconds == claimants.PAUSE_SECONDS
    assert await table.writes() == before


@pytest.mark.parametrize(
    ("later", "outcome"),
    [
        (claim("r2"), OUTCOME.LOST),
        (claim("r2", fingerprint="f2"), OUTCOME.REUSED),
        (claim("r2", version=1), OUTCOME.WON),
        (claim("r2", "other key"), OUTCOME.WON),
    ],
)
async def test_a_held_key(table, later, outcome):
    await table.first.claim(claim())
    settled = await table.second.claim(later)
    assert settled.outcome is outcome
    if outcome is OUTCOME.LOST:
        assert (settled.holder, settled.version) == ("r1", 1)


async def test_a_write_may_take_effect_after_the_claim_was_given_up(table):
    await table.faults(delay_seconds=1.5 * BOUND_SECONDS)
    settled = await table.first.claim(claim())
    assert settled.outcome is OUTCOME.UNAVAILABLE
    await asyncio.sleep(BOUND_SECONDS)
    await table.faults()
    settled = await table.second.claim(claim("r2"))
    assert (settled.outcome, settled.holder) == (OUTCOME.LOST, "r1")
    taken = await table.second.claim(claim("r2", version=settled.version))
    assert taken.outcome is OUTCOME.WON


@pytest.mark.parametrize("lost", [0, 1])
async def test_one_of_two_instances_gets_the_key(table, lost):
    await table.faults(lose_answers=lost)
    outcomes = await asyncio.gather(
        table.first.claim(claim("r1")), table.second.claim(claim("r2"))
    )
    found = sorted(settled.outcome.value for settled in outcomes)
    assert found == ["lost", "won"]


async def later(seconds, claimant, wanted):
    await asyncio.sleep(seconds)
    return await claimant.claim(wanted)


async def test_claims_made_together_share_a_transaction(table):
    await table.second.claim(claim("r0", "k7"))
    before = await table.writes()
    settled = await asyncio.gather(
        *(table.first.claim(claim(f"r{i}", f"k{i}")) for i in range(50))
    )
    await asyncio.gather(
        *(
            later(i / 100, table.first, claim(f"s{i}", f"l{i}"))
            for i in range(20)
        )
    )
    outcomes = [item.outcome for item in settled]
    assert outcomes.count(OUTCOME.WON) == 49
    assert outcomes[7] is OUTCOME.LOST
    spaced = 0.2 / claimants.INTERVAL_SECONDS + 1
    assert await table.writes() - before <= 2 + spaced
