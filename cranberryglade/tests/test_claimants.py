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
TIMEOUT_SECONDS = 0.3


class ClaimHarness:
    """Claimants of two instances and the control of a platform stand-in."""

    def __init__(self, address):
        self._address = address
        timeout_seconds = 10 * TIMEOUT_SECONDS
        self._client = store.StoreClient(
            address, timeout_seconds, timeout_seconds
        )
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
async def harness(monkeypatch):
    monkeypatch.setattr(claimants, "CLAIM_TIMEOUT_SECONDS", TIMEOUT_SECONDS)
    app = standin.PlatformStandin().application()
    listener = listeners.Listener.open("127.0.0.1:0")
    runner = await listener.serve(app)
    opened = ClaimHarness(listener.address)
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
        ({"delay_seconds": 2 * TIMEOUT_SECONDS}, OUTCOME.UNAVAILABLE),
    ],
)
async def test_a_claim_is_settled_in_time(harness, faults, outcome):
    await harness.faults(**faults)
    began = time.monotonic()
    settled = await harness.first.claim(claim())
    assert settled.outcome is outcome
    assert time.monotonic() - began < 1.5 * TIMEOUT_SECONDS


async def test_while_the_platform_is_down_claims_are_refused_at_once(harness):
    await harness.faults(down=True)
    await harness.first.claim(claim())
    before = await harness.writes()
    settled = await harness.first.claim(claim("r2", "k2"))
    assert settled.outcome is OUTCOME.UNAVAILABLE
    assert settled.retry_after_seconds == claimants.BACKOFF_SECONDS
    assert await harness.writes() == before


@pytest.mark.parametrize(
    ("second_claim", "outcome"),
    [
        (claim("r2"), OUTCOME.LOST),
        (claim("r2", fingerprint="f2"), OUTCOME.REUSED),
        (claim("r2", version=1), OUTCOME.WON),
        (claim("r2", "other key"), OUTCOME.WON),
    ],
)
async def test_a_claim_of_a_key_that_is_already_claimed(
    harness, second_claim, outcome
):
    await harness.first.claim(claim())
    settled = await harness.second.claim(second_claim)
    assert settled.outcome is outcome
    if outcome is OUTCOME.LOST:
        assert (settled.holder, settled.version) == ("r1", 1)


async def test_a_write_may_take_effect_after_the_claim_was_given_up(harness):
    await harness.faults(delay_seconds=1.5 * TIMEOUT_SECONDS)
    settled = await harness.first.claim(claim())
    assert settled.outcome is OUTCOME.UNAVAILABLE
    await asyncio.sleep(TIMEOUT_SECONDS)
    await harness.faults()
    settled = await harness.second.claim(claim("r2"))
    assert (settled.outcome, settled.holder) == (OUTCOME.LOST, "r1")
    replaced = await harness.second.claim(claim("r2", version=settled.version))
    assert replaced.outcome is OUTCOME.WON


@pytest.mark.parametrize("lost", [0, 1])
async def test_one_of_two_instances_gets_the_key(harness, lost):
    await harness.faults(lose_answers=lost)
    outcomes = await asyncio.gather(
        harness.first.claim(claim("r1")), harness.second.claim(claim("r2"))
    )
    found = sorted(settled.outcome.value for settled in outcomes)
    assert found == ["lost", "won"]


async def claim_later(seconds, claimant, requested):
    await asyncio.sleep(seconds)
    return await claimant.claim(requested)


async def test_claims_made_together_share_a_transaction(harness):
    await harness.second.claim(claim("r0", "k7"))
    before = await harness.writes()
    settled = await asyncio.gather(
        *(harness.first.claim(claim(f"r{i}", f"k{i}")) for i in range(50))
    )
    await asyncio.gather(
        *(
            claim_later(i / 100, harness.first, claim(f"s{i}", f"l{i}"))
            for i in range(20)
        )
    )
    outcomes = [item.outcome for item in settled]
    assert outcomes.count(OUTCOME.WON) == 49
    assert outcomes[7] is OUTCOME.LOST
    spaced_writes = 0.2 / claimants.BATCH_INTERVAL_SECONDS + 1
    assert await harness.writes() - before <= 2 + spaced_writes
