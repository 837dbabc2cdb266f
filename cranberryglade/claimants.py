"""Claims callers' idempotency keys in the platform's table service."""

import asyncio
import dataclasses
import secrets

import msgspec
from returns.result import Failure
from returns.result import Success

from cranberryglade import decoding
from cranberryglade import log
from cranberryglade import tables
from cranberryglade import wire
from cranberryglade.gateway import ports
from cranberryglade.scheduling import messages

TABLE = ports.Table.CLAIMS
NONCE_BYTES = 8
BATCH_DELAY_SECONDS = 0.003
BATCH_INTERVAL_SECONDS = 0.05
MAX_BATCH_CLAIMS = 100
CLAIM_TIMEOUT_SECONDS = 2.0
BACKOFF_SECONDS = 0.5

logger = log.get_logger(__name__)


class ClaimRow(msgspec.Struct):
    """Value of a claim row.

    Attributes:
        request_id: the request that holds the key.
        nonce: random value by which the writer recognises its own write.
        fingerprint: digest of the content of the request.
    """

    request_id: str
    nonce: str
    fingerprint: str = ""


@dataclasses.dataclass(slots=True, eq=False)
class _PendingClaim:
    claim: messages.Claim
    row: ClaimRow
    settled: asyncio.Future

    @property
    def key(self) -> str:
        return f"{self.claim.organisation}:{self.claim.key}"

    def write(self) -> tables.RowWrite:
        return tables.RowWrite(
            table=TABLE,
            key=self.key,
            expected_version=self.claim.expected_version,
            value=wire.encode(self.row).decode(),
        )

    def settle(
        self, outcome: messages.ClaimOutcome, holder: str = "", version: int = 0
    ) -> None:
        if not self.settled.done():
            self.settled.set_result(
                messages.ClaimSettled(
                    self.claim.request_id,
                    outcome,
                    holder,
                    version,
                    BACKOFF_SECONDS,
                )
            )


class Claimant:
    """Claims keys by conditional writes, batched into transactions.

    The first claim of a batch waits BATCH_DELAY_SECONDS for others.
    Transactions are at least BATCH_INTERVAL_SECONDS apart, unless a batch has
    reached MAX_BATCH_CLAIMS claims or receives a second claim of the same key.
    A batch that has been sent is settled within CLAIM_TIMEOUT_SECONDS. After
    the platform has failed, claims are refused immediately for BACKOFF_SECONDS.
    """

    __slots__ = (
        "_batch",
        "_paused_until",
        "_platform",
        "_sent_at",
        "_tasks",
        "_timer",
    )

    def __init__(self, client: tables.Tables):
        self._platform = client
        self._batch: dict[str, _PendingClaim] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task] = set()
        self._paused_until = 0.0
        self._sent_at = 0.0

    async def claim(self, claim: messages.Claim) -> messages.ClaimSettled:
        """Claims a key.

        Args:
            claim: the key, and the request that claims it.

        Returns:
            The outcome and, if it is LOST, the request that holds the key.
            After UNAVAILABLE, a write that was sent may still take effect.
        """
        loop = asyncio.get_running_loop()
        row = ClaimRow(
            claim.request_id, secrets.token_hex(NONCE_BYTES), claim.fingerprint
        )
        pending = _PendingClaim(claim, row, loop.create_future())
        if loop.time() < self._paused_until:
            pending.settle(messages.ClaimOutcome.UNAVAILABLE)
            return await pending.settled
        if pending.key in self._batch or len(self._batch) >= MAX_BATCH_CLAIMS:
            self._send_batch()
        self._batch[pending.key] = pending
        if self._timer is None:
            self._timer = loop.call_at(
                self._send_time(loop.time()), self._send_batch
            )
        return await pending.settled

    def _send_time(self, now: float) -> float:
        return max(
            now + BATCH_DELAY_SECONDS, self._sent_at + BATCH_INTERVAL_SECONDS
        )

    def _send_batch(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        self._sent_at = asyncio.get_running_loop().time()
        batch = list(self._batch.values())
        self._batch = {}
        task = asyncio.get_running_loop().create_task(self._settle_batch(batch))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _settle_batch(self, batch: list[_PendingClaim]) -> None:
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_SECONDS):
                await self._write_batch(batch)
        except TimeoutError:
            pass
        finally:
            unsettled = [item for item in batch if not item.settled.done()]
            if unsettled:
                now = asyncio.get_running_loop().time()
                self._paused_until = now + BACKOFF_SECONDS
            for item in unsettled:
                item.settle(messages.ClaimOutcome.UNAVAILABLE)

    async def _write_batch(self, batch: list[_PendingClaim]) -> None:
        while batch:
            outcome = await self._platform.transact(
                [item.write() for item in batch]
            )
            match outcome:
                case Success(result) if result.committed:
                    for item in batch:
                        item.settle(messages.ClaimOutcome.WON)
                    return
                case Success(result) if result.conflicts:
                    refused = [batch[index] for index in result.conflicts]
                    batch = [item for item in batch if item not in refused]
                    await self._settle_from_rows(refused)
                case _:
                    await self._settle_from_rows(batch)
                    return

    async def _settle_from_rows(self, batch: list[_PendingClaim]) -> None:
        await asyncio.gather(*(self._settle_from_row(item) for item in batch))

    async def _settle_from_row(self, item: _PendingClaim) -> None:
        read = await self._platform.row(TABLE, item.key)
        match read:
            case Success(stored) if stored.version:
                match decoding.from_json(stored.value, ClaimRow):
                    case Success(found):
                        item.settle(*_resolve(item, found, stored.version))
                    case Failure(problem):
                        logger.warning(
                            "claim.unreadable", key=item.key, problem=problem
                        )
            case _:
                pass


def _resolve(item: _PendingClaim, found: ClaimRow, version: int):
    if found.nonce == item.row.nonce:
        return messages.ClaimOutcome.WON, "", 0
    if found.fingerprint != item.row.fingerprint:
        return messages.ClaimOutcome.REUSED, "", 0
    if version == item.claim.expected_version:
        return messages.ClaimOutcome.UNAVAILABLE, "", 0
    return messages.ClaimOutcome.LOST, found.request_id, version
