"""What an instance leaves behind when it has stopped."""

import asyncio
import collections
import dataclasses

import msgspec
from returns.result import Failure
from returns.result import Success

from cranberryglade import exchanges
from cranberryglade import log
from cranberryglade import tables
from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import scheduler

KEPT_ANSWER_BYTES = 16_384
KEPT_ANSWERS_BYTES = 8_388_608
STORE_ATTEMPTS = 3
STORE_PAUSE_SECONDS = 0.5
CACHED_SNAPSHOTS = 64
ABSENT_SECONDS = 1.0

logger = log.get_logger(__name__)


class Uncertain(wire.Document):
    """A request that may have run.

    Attributes:
        sequence: its sequence number.
        reason: why, as in verdicts.Reason.
    """

    sequence: int
    reason: str


class KeptAnswer(wire.Document):
    """The whole answer of a request.

    Attributes:
        sequence: its sequence number.
        tokens: number of token events.
        events: the token events, in base64.
    """

    sequence: int
    tokens: int
    events: bytes


class Snapshot(wire.Document):
    """What became of every request of one home.

    Attributes:
        home: the home, as in its request ids.
        floor: highest sequence number that had been forgotten.
        ran: sequence numbers of requests that ran.
        uncertain: requests that may have run.
        answers: small answers of requests that ran, the latest ones.
        handed_over: sequence numbers of requests that peers ran for the home.
    """

    home: str
    floor: int
    ran: list[int]
    uncertain: list[Uncertain]
    answers: list[KeptAnswer]
    handed_over: list[int] = []


@dataclasses.dataclass(slots=True, frozen=True)
class Finding:
    """What a snapshot says about one request.

    Attributes:
        verdict: what became of it.
        answer: its whole answer, if it was kept.
    """

    verdict: verdicts.Verdict
    answer: KeptAnswer | None = None


def take(
    core: scheduler.Scheduler, home: str, kept: exchanges.Exchanges
) -> Snapshot:
    """Takes the snapshot of an instance that has no request left."""
    ran, uncertain = [], []
    for sequence, verdict in core.tombstones().items():
        match verdict:
            case verdicts.Ran():
                ran.append(sequence)
            case verdicts.MayHaveRun(reason=reason):
                uncertain.append(
                    Uncertain(sequence=sequence, reason=reason.value)
                )
    return Snapshot(
        home=home,
        floor=core.floor,
        ran=ran,
        uncertain=uncertain,
        answers=_answers(home, kept),
        handed_over=core.handed_over(),
    )


def _answers(home: str, kept: exchanges.Exchanges) -> list[KeptAnswer]:
    found, size = [], 0
    for exchange in kept.finished():
        issuer, sequence = messages.split_id(exchange.request_id)
        if issuer != home or not isinstance(exchange.verdict, verdicts.Ran):
            continue
        size += exchange.size
        if size > KEPT_ANSWERS_BYTES:
            break
        if exchange.size <= KEPT_ANSWER_BYTES:
            found.append(
                KeptAnswer(
                    sequence=sequence,
                    tokens=len(exchange.data()),
                    events=exchange.events(),
                )
            )
    return found


def find(snapshot: Snapshot, request_id: str) -> Finding:
    """What a snapshot says about a request of its home.

    A request that the snapshot does not mention was never started there, and
    the home is gone, so that it never will be.
    """
    _, sequence = messages.split_id(request_id)
    for answer in snapshot.answers:
        if answer.sequence == sequence:
            return Finding(verdicts.Ran(), answer)
    for item in snapshot.uncertain:
        if item.sequence == sequence:
            return Finding(verdicts.MayHaveRun(verdicts.Reason(item.reason)))
    if sequence in snapshot.ran or sequence <= snapshot.floor:
        lost = verdicts.MayHaveRun(verdicts.Reason.RETENTION_PASSED)
        return Finding(lost)
    return Finding(verdicts.NotRun(verdicts.Reason.STOPPING, 0.0))


class Archive:
    """Stores and reads snapshots in the platform's object store."""

    __slots__ = ("_absent", "_cached", "_platform")

    def __init__(self, client: tables.Tables):
        self._platform = client
        self._cached: collections.OrderedDict[str, Snapshot] = (
            collections.OrderedDict()
        )
        self._absent: dict[str, float] = {}

    async def store(self, snapshot: Snapshot) -> bool:
        """Stores a snapshot; False if the platform took none in time."""
        data = wire.encode(snapshot)
        for _ in range(STORE_ATTEMPTS):
            match await self._platform.put_object(_name(snapshot.home), data):
                case Success(_):
                    logger.info("snapshot stored", bytes=len(data))
                    return True
                case Failure(error):
                    logger.warning("snapshot not stored", error=str(error))
            await asyncio.sleep(STORE_PAUSE_SECONDS)
        return False

    async def find(self, request_id: str) -> Finding | None:
        """What is known of a request whose home is gone; None if nothing."""
        home, _ = messages.split_id(request_id)
        snapshot = self._cached.get(home) or await self._read(home)
        return None if snapshot is None else find(snapshot, request_id)

    async def _read(self, home: str) -> Snapshot | None:
        now = asyncio.get_running_loop().time()
        if now < self._absent.get(home, 0.0):
            return None
        read = await self._platform.get_object(_name(home))
        snapshot = _decoded(read.value_or(b""), home)
        if snapshot is None:
            if len(self._absent) >= CACHED_SNAPSHOTS:
                self._absent.clear()
            self._absent[home] = now + ABSENT_SECONDS
            return None
        self._cached[home] = snapshot
        if len(self._cached) > CACHED_SNAPSHOTS:
            self._cached.popitem(last=False)
        return snapshot


def _decoded(data: bytes, home: str) -> Snapshot | None:
    try:
        snapshot = msgspec.json.decode(data, type=Snapshot)
    except msgspec.MsgspecError:
        return None
    return snapshot if snapshot.home == home else None


def _name(home: str) -> str:
    return f"snapshot.{home}"
