"""Claims callers' keys at the platform's table service."""

import secrets

import msgspec
from returns.result import Success

from cranberryglade import platform
from cranberryglade import wire
from cranberryglade.scheduling import messages

TABLE = "claims"
NONCE_BYTES = 8


class ClaimRow(msgspec.Struct):
    """Value of a claim row: the home's request id and the writer's nonce."""

    request_id: str
    nonce: str


class Claimant:
    """Claims each key by one conditional insert."""

    __slots__ = ("_platform",)

    def __init__(self, client: platform.PlatformClient):
        self._platform = client

    async def claim(
        self, claim: messages.Claim
    ) -> tuple[messages.ClaimOutcome, str]:
        """Claims a key.

        Returns:
            The outcome, and the id under which the key is claimed ("" if that
            is not known).
        """
        row = ClaimRow(claim.request_id, secrets.token_hex(NONCE_BYTES))
        key = f"{claim.organisation}:{claim.key}"
        write = wire.WriteDocument(
            table=TABLE,
            key=key,
            expected_version=0,
            value=wire.encode(row).decode(),
        )
        outcome = await self._platform.transact([write])
        if isinstance(outcome, Success) and outcome.unwrap().committed:
            return messages.ClaimOutcome.WON, claim.request_id
        read = await self._platform.row(TABLE, key)
        if not isinstance(read, Success):
            return messages.ClaimOutcome.UNAVAILABLE, ""
        stored = read.unwrap()
        if stored.version == 0:
            return messages.ClaimOutcome.UNAVAILABLE, ""
        found = msgspec.json.decode(stored.value, type=ClaimRow)
        if found.nonce == row.nonce:
            return messages.ClaimOutcome.WON, claim.request_id
        return messages.ClaimOutcome.LOST, found.request_id
