"""Which requests this instance is the home of, and what became of them."""

import collections
import dataclasses

from cranberryglade import verdicts
from cranberryglade.scheduling import messages

KEPT_TOMBSTONES = 100_000
KEPT_TOMBSTONE_BYTES = 33_554_432
KEPT_TOMBSTONE_SECONDS = 3600.0
KEPT_HOMES = 4096
TOMBSTONE_OVERHEAD_BYTES = 240


@dataclasses.dataclass(slots=True, eq=False)
class Record:
    """One request that is not final yet.

    Attributes:
        request: what was asked.
        state: state of the request chart.
        attempt: number of dispatches so far.
        endpoint: where it runs, or None.
        peer: to whom it is delegated, or None.
        dispatched_at: when the current attempt began, in seconds.
        streamed: whether a caller may read tokens as they come.
        delivered: whether a token of the current attempt has arrived.
        holder_version: version of the claim row that names another holder; 0
            if the request holds its key itself.
        lost: why an earlier attempt may have run, or None.
    """

    request: messages.Request
    state: str
    attempt: int = 0
    endpoint: messages.Endpoint | None = None
    peer: messages.Peer | None = None
    dispatched_at: float = 0.0
    streamed: bool = False
    delivered: bool = False
    holder_version: int = 0
    lost: verdicts.Reason | None = None

    @property
    def holds_key(self) -> bool:
        """Whether the key's fate is decided here."""
        return not self.holder_version


@dataclasses.dataclass(slots=True, frozen=True)
class Tombstone:
    """What is remembered of a request that is final.

    Attributes:
        verdict: what became of it.
        key: its scoped idempotency key, or "".
        fingerprint: digest of what was asked.
        size: bytes that it takes up.
        closed_at: when it became final, in seconds.
    """

    verdict: verdicts.Verdict
    key: str
    fingerprint: str
    size: int
    closed_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class Known:
    """A request that was seen before.

    Attributes:
        request_id: the id under which it is known.
        fingerprint: digest of what was asked then.
        verdict: what became of it; None while it is not final.
    """

    request_id: str
    fingerprint: str
    verdict: verdicts.Verdict | None = None


class Claims:
    """Deduplicates requests in memory, within one turn of the loop.

    Tombstones are dropped when there are too many, they take up too much or
    they are too old. Ids carry a sequence number of their home, and for each
    home the highest number dropped is kept: whatever is not above it counts
    as forgotten and must not run.
    """

    __slots__ = (
        "_bytes",
        "_dropped",
        "_floors",
        "_keys",
        "_live",
        "_tombstones",
    )

    def __init__(self):
        self._live: dict[str, Record] = {}
        self._keys: dict[str, str] = {}
        self._tombstones: collections.OrderedDict[str, Tombstone] = (
            collections.OrderedDict()
        )
        self._floors: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._bytes = 0
        self._dropped = 0

    def __len__(self) -> int:
        return len(self._live)

    @property
    def dropped(self) -> int:
        """How many tombstones have been forgotten."""
        return self._dropped

    def find(self, request: messages.Request) -> Known | None:
        """The same request, if it was seen before."""
        known = self.look_up(request.request_id)
        if known is None and request.key:
            known = self.look_up(self._keys.get(_scoped(request), ""))
        return known

    def look_up(self, request_id: str) -> Known | None:
        """What is known under an id."""
        record = self._live.get(request_id)
        if record is not None:
            return Known(request_id, record.request.fingerprint)
        found = self._tombstones.get(request_id)
        if found is not None:
            return Known(request_id, found.fingerprint, found.verdict)
        if self.forgotten(request_id):
            lost = verdicts.MayHaveRun(verdicts.Reason.RETENTION_PASSED)
            return Known(request_id, "", lost)
        return None

    def forgotten(self, request_id: str) -> bool:
        """Whether a tombstone of that id could have been dropped."""
        home, sequence = messages.split_id(request_id)
        return 0 < sequence <= self._floors.get(home, 0)

    def open(self, request: messages.Request, state: str) -> Record:
        """Starts the record of a request that is new here."""
        record = Record(request, state, streamed=request.streamed)
        self._live[request.request_id] = record
        if request.key:
            self._keys[_scoped(request)] = request.request_id
        return record

    def get(self, request_id: str) -> Record | None:
        """The record of a request that is not final."""
        return self._live.get(request_id)

    def live(self) -> list[Record]:
        """The records of all requests that are not final."""
        return list(self._live.values())

    def floor(self, home: str) -> int:
        """The highest sequence number of a home that has been dropped."""
        return self._floors.get(home, 0)

    def tombstones(self, home: str) -> dict[int, verdicts.Verdict]:
        """Verdicts by sequence number of the ids of one home."""
        found = {}
        for request_id, tombstone in self._tombstones.items():
            issuer, sequence = messages.split_id(request_id)
            if issuer == home:
                found[sequence] = tombstone.verdict
        return found

    def close(
        self, request_id: str, verdict: verdicts.Verdict, now: float
    ) -> None:
        """Turns a record into a tombstone; `now` in seconds."""
        record = self._live.pop(request_id)
        request = record.request
        key = _scoped(request) if request.key else ""
        if not record.holds_key or isinstance(verdict, verdicts.NotRun):
            self._release(key, request_id)
            key = ""
        size = TOMBSTONE_OVERHEAD_BYTES + len(request_id) + 2 * len(key)
        self._bytes += size
        self._tombstones[request_id] = Tombstone(
            verdict, key, request.fingerprint, size, now
        )
        while self._too_much(now):
            self._drop()

    def _too_much(self, now: float) -> bool:
        if not self._tombstones:
            return False
        oldest = next(iter(self._tombstones.values()))
        return (
            len(self._tombstones) > KEPT_TOMBSTONES
            or self._bytes > KEPT_TOMBSTONE_BYTES
            or now - oldest.closed_at > KEPT_TOMBSTONE_SECONDS
        )

    def _drop(self) -> None:
        request_id, tombstone = self._tombstones.popitem(last=False)
        self._bytes -= tombstone.size
        self._dropped += 1
        self._release(tombstone.key, request_id)
        home, sequence = messages.split_id(request_id)
        self._floors[home] = max(sequence, self._floors.get(home, 0))
        self._floors.move_to_end(home)
        if len(self._floors) > KEPT_HOMES:
            self._floors.popitem(last=False)

    def _release(self, key: str, request_id: str) -> None:
        if self._keys.get(key) == request_id:
            del self._keys[key]


def _scoped(request: messages.Request) -> str:
    return f"{request.organisation}\0{request.key}"
