"""Claims callers' keys at the platform's table service."""

import asyncio
import dataclasses
import secrets

import msgspec
from returns.result import Success

from cranberryglade import tables
from cranberryglade import wire
from cranberryglade.gateway import ports
from cranberryglade.scheduling import messages

TABLE = ports.Table.CLAIMS
NONCE_BYTES = 8
GROUP_SECONDS = 0.003
INTERVAL_SECONDS = 0.05
GROUP_CLAIMS = 100
CLAIM_TIMEOUT_SECONDS = 2.0
PAUSE_SECONDS = 0.5


class ClaimRow(msgspec.Struct):
    """Value of a claim row.

    Attributes:
        request_id: the request that holds the key.
        nonce: chosen by the writer, to know its own write again.
        fingerprint: digest of what is asked.
    """

    request_id: str
    nonce: str
    fingerprint: str = ""


@dataclasses.dataclass(slots=True, eq=False)
class _Pending:
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
                    PAUSE_SECONDS,
                )
            )


class Claimant:
    """Claims keys by conditional writes, several in one transaction.

    The first claim waits GROUP_SECONDS for others; transactions are no less
    than INTERVAL_SECONDS apart unless a group is full. A claim is settled
    within CLAIM_TIMEOUT_SECONDS. After the platform has failed, claims are
    refused at once for PAUSE_SECONDS.
    """

    __slots__ = (
        "_group",
        "_paused_until",
        "_platform",
        "_sent_at",
        "_tasks",
        "_timer",
    )

    def __init__(self, client: tables.Tables):
        self._platform = client
        self._group: dict[str, _Pending] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task] = set()
        self._paused_until = 0.0
        self._sent_at = 0.0

    async def claim(self, claim: messages.Claim) -> messages.ClaimSettled:
        """Claims a key and says who holds it."""
        loop = asyncio.get_running_loop()
        row = ClaimRow(
            claim.request_id, secrets.token_hex(NONCE_BYTES), claim.fingerprint
        )
        pending = _Pending(claim, row, loop.create_future())
        if loop.time() < self._paused_until:
            pending.settle(messages.ClaimOutcome.UNAVAILABLE)
            return await pending.settled
        if pending.key in self._group or len(self._group) >= GROUP_CLAIMS:
            self._send()
        self._group[pending.key] = pending
        if self._timer is None:
            self._timer = loop.call_at(self._due(loop.time()), self._send)
        return await pending.settled

    def _due(self, now: float) -> float:
        return max(now + GROUP_SECONDS, self._sent_at + INTERVAL_SECONDS)

    def _send(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        self._sent_at = asyncio.get_running_loop().time()
        group = list(self._group.values())
        self._group = {}
        task = asyncio.get_running_loop().create_task(self._settle(group))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _settle(self, group: list[_Pending]) -> None:
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_SECONDS):
                await self._write(group)
        except TimeoutError:
            pass
        finally:
            unsettled = [item for item in group if not item.settled.done()]
            if unsettled:
                now = asyncio.get_running_loop().time()
                self._paused_until = now + PAUSE_SECONDS
            for item in unsettled:
                item.settle(messages.ClaimOutcome.UNAVAILABLE)

    async def _write(self, group: list[_Pending]) -> None:
        while group:
            outcome = await self._platform.transact(
                [item.write() for item in group]
            )
            match outcome:
                case Success(done) if done.committed:
                    for item in group:
                        item.settle(messages.ClaimOutcome.WON)
                    return
                case Success(done) if done.conflicts:
                    refused = [group[index] for index in done.conflicts]
                    group = [item for item in group if item not in refused]
                    await self._read(refused)
                case _:
                    await self._read(group)
                    return

    async def _read(self, group: list[_Pending]) -> None:
        await asyncio.gather(*(self._read_one(item) for item in group))

    async def _read_one(self, item: _Pending) -> None:
        read = await self._platform.row(TABLE, item.key)
        match read:
            case Success(stored) if stored.version:
                found = msgspec.json.decode(stored.value, type=ClaimRow)
                item.settle(*_compared(item, found, stored.version))
            case _:
                pass


def _compared(item: _Pending, found: ClaimRow, version: int):
    if found.nonce == item.row.nonce:
        return messages.ClaimOutcome.WON, "", 0
    if found.fingerprint != item.row.fingerprint:
        return messages.ClaimOutcome.REUSED, "", 0
    if version == item.claim.expected_version:
        return messages.ClaimOutcome.UNAVAILABLE, "", 0
    return messages.ClaimOutcome.LOST, found.request_id, version
