"""Snapshots of the outcomes of requests, stored when an instance stops."""

import asyncio
import collections
import dataclasses

from returns.result import Failure
from returns.result import Success

from cranberryglade import decoding
from cranberryglade import exchanges
from cranberryglade import log
from cranberryglade import tables
from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import scheduler

MAX_RETAINED_ANSWER_BYTES = 16_384
MAX_RETAINED_ANSWERS_TOTAL_BYTES = 8_388_608
STORE_ATTEMPTS = 3
STORE_RETRY_SECONDS = 0.5
CACHED_SNAPSHOTS = 64
ABSENCE_CACHE_SECONDS = 1.0

logger = log.get_logger(__name__)


class Uncertain(wire.Document):
    """A request that may have run.

    Attributes:
        sequence: its sequence number.
        reason: cause of the verdict, as in verdicts.Reason.
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
    """The outcomes of all requests of one home.

    Attributes:
        home: the home, as in its request ids.
        floor: highest sequence number whose outcome has been evicted.
        ran: sequence numbers of requests that ran.
        uncertain: requests that may have run.
        answers: the latest answers of requests that ran; large ones are left
            out.
        handed_over: sequence numbers of requests that peers ran for the home.
    """

    home: str
    floor: int
    ran: list[int]
    uncertain: list[Uncertain]
    answers: list[KeptAnswer]
    handed_over: list[int] = []


@dataclasses.dataclass(slots=True, frozen=True)
class RequestOutcome:
    """The outcome of one request according to a snapshot.

    Attributes:
        verdict: the verdict.
        answer: its whole answer; None if the answer was not retained.
    """

    verdict: verdicts.Verdict
    answer: KeptAnswer | None = None


def create(
    core: scheduler.Scheduler, home: str, retained: exchanges.Exchanges
) -> Snapshot:
    """Returns a snapshot of an instance that has no unfinished requests.

    Args:
        core: the scheduler, which has the verdicts.
        home: the home, as in its request ids.
        retained: the exchanges, which have the answers.
    """
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
        answers=_retained_answers(home, retained),
        handed_over=core.handed_over(),
    )


def _retained_answers(
    home: str, retained: exchanges.Exchanges
) -> list[KeptAnswer]:
    found, size = [], 0
    for exchange in retained.finished():
        issuer, sequence = messages.split_request_id(exchange.request_id)
        if issuer != home or not isinstance(exchange.verdict, verdicts.Ran):
            continue
        size += exchange.size
        if size > MAX_RETAINED_ANSWERS_TOTAL_BYTES:
            break
        if exchange.size <= MAX_RETAINED_ANSWER_BYTES:
            found.append(
                KeptAnswer(
                    sequence=sequence,
                    tokens=len(exchange.data()),
                    events=exchange.events(),
                )
            )
    return found


def find(snapshot: Snapshot, request_id: str) -> RequestOutcome:
    """Returns the outcome of a request according to the snapshot of its home.

    A request that is not in the snapshot was never started there, and it never
    will be, because the home has stopped.

    Args:
        snapshot: the snapshot of the request's home.
        request_id: the request.
    """
    _, sequence = messages.split_request_id(request_id)
    for answer in snapshot.answers:
        if answer.sequence == sequence:
            return RequestOutcome(verdicts.Ran(), answer)
    for item in snapshot.uncertain:
        if item.sequence == sequence:
            return RequestOutcome(
                verdicts.MayHaveRun(verdicts.Reason(item.reason))
            )
    if sequence in snapshot.ran or sequence <= snapshot.floor:
        expired = verdicts.MayHaveRun(verdicts.Reason.RETENTION_PASSED)
        return RequestOutcome(expired)
    return RequestOutcome(verdicts.NotRun(verdicts.Reason.STOPPING, 0.0))


class SnapshotStore:
    """Stores and reads snapshots in the platform's object store.

    Up to CACHED_SNAPSHOTS snapshots are cached. A snapshot that could not be
    read is not requested again for ABSENCE_CACHE_SECONDS.
    """

    __slots__ = ("_absent_until", "_cached", "_platform")

    def __init__(self, client: tables.Tables):
        self._platform = client
        self._cached: collections.OrderedDict[str, Snapshot] = (
            collections.OrderedDict()
        )
        self._absent_until: dict[str, float] = {}

    async def store(self, snapshot: Snapshot) -> bool:
        """Stores a snapshot, with up to STORE_ATTEMPTS attempts.

        Returns:
            Whether the snapshot was stored.
        """
        data = wire.encode(snapshot)
        for _ in range(STORE_ATTEMPTS):
            match await self._platform.put_object(
                _object_name(snapshot.home), data
            ):
                case Success(_):
                    logger.info("snapshot.stored", bytes=len(data))
                    return True
                case Failure(error):
                    logger.warning("snapshot.store_failed", error=str(error))
            await asyncio.sleep(STORE_RETRY_SECONDS)
        return False

    async def find(self, request_id: str) -> RequestOutcome | None:
        """Returns the outcome of a request whose home has stopped.

        Args:
            request_id: the request.

        Returns:
            The outcome, or None if no snapshot of the home can be read.
        """
        home, _ = messages.split_request_id(request_id)
        snapshot = self._cached.get(home) or await self._read(home)
        return None if snapshot is None else find(snapshot, request_id)

    async def _read(self, home: str) -> Snapshot | None:
        now = asyncio.get_running_loop().time()
        if now < self._absent_until.get(home, 0.0):
            return None
        read = await self._platform.get_object(_object_name(home))
        snapshot = _decode(read.value_or(b""), home)
        if snapshot is None:
            if len(self._absent_until) >= CACHED_SNAPSHOTS:
                self._absent_until.clear()
            self._absent_until[home] = now + ABSENCE_CACHE_SECONDS
            return None
        self._cached[home] = snapshot
        if len(self._cached) > CACHED_SNAPSHOTS:
            self._cached.popitem(last=False)
        return snapshot


def _decode(data: bytes, home: str) -> Snapshot | None:
    match decoding.from_json(data, Snapshot):
        case Success(snapshot) if snapshot.home == home:
            return snapshot
        case _:
            return None


def _object_name(home: str) -> str:
    return f"snapshot.{home}"
