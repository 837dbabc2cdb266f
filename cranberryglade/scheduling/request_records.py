"""In-memory records and tombstones of the requests of one instance."""

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
class RequestRecord:
    """One request that is not final yet.

    Attributes:
        request: the request.
        state: state in the request chart.
        attempt: number of attempts so far, including delegations and relays.
        endpoint: the endpoint that it was dispatched to, or None.
        peer: the peer that it was delegated to, or None.
        dispatched_at: start of the current attempt, in seconds.
        streamed: whether a caller may read tokens as they arrive.
        first_token_received: whether a token of the current attempt has
            arrived.
        holder_version: version of the claim row that names another holder; 0
            if the request holds its key itself.
        may_have_run_reason: reason why an earlier attempt may have run, or
            None.
    """

    request: messages.Request
    state: str
    attempt: int = 0
    endpoint: messages.Endpoint | None = None
    peer: messages.Peer | None = None
    dispatched_at: float = 0.0
    streamed: bool = False
    first_token_received: bool = False
    holder_version: int = 0
    may_have_run_reason: verdicts.Reason | None = None

    @property
    def holds_key(self) -> bool:
        """Whether no other request is known to hold the key."""
        return not self.holder_version


@dataclasses.dataclass(slots=True, frozen=True)
class Tombstone:
    """What is retained of a request that is final.

    Attributes:
        verdict: its final verdict.
        key: its scoped idempotency key, or "".
        fingerprint: digest of the request's content.
        size: estimated memory use in bytes.
        closed_at: when it became final, in seconds.
    """

    verdict: verdicts.Verdict
    key: str
    fingerprint: str
    size: int
    closed_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class KnownRequest:
    """A request that was submitted before.

    Attributes:
        request_id: the id under which it was first submitted.
        fingerprint: digest of that request's content; "" if unknown.
        verdict: its verdict; None while it is not final.
    """

    request_id: str
    fingerprint: str
    verdict: verdicts.Verdict | None = None


class RequestRecords:
    """Deduplicates requests in memory, within one iteration of the event loop.

    The oldest tombstones are evicted when the limit on their number, size or
    age is exceeded. Request ids contain a sequence number of their home. The
    highest evicted number is kept for each of the latest KEPT_HOMES homes: an
    unknown request with a number up to it may have run before and must not run
    again.
    """

    __slots__ = (
        "_evicted",
        "_floors",
        "_keys",
        "_live",
        "_tombstone_bytes",
        "_tombstones",
    )

    def __init__(self):
        self._live: dict[str, RequestRecord] = {}
        self._keys: dict[str, str] = {}
        self._tombstones: collections.OrderedDict[str, Tombstone] = (
            collections.OrderedDict()
        )
        self._floors: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._tombstone_bytes = 0
        self._evicted = 0

    def __len__(self) -> int:
        return len(self._live)

    @property
    def evicted(self) -> int:
        """Number of tombstones evicted so far."""
        return self._evicted

    def find(self, request: messages.Request) -> KnownRequest | None:
        """Returns the known request with the same id or key, or None."""
        known = self.look_up(request.request_id)
        if known is None and request.key:
            known = self.look_up(self._keys.get(_scoped_key(request), ""))
        return known

    def look_up(self, request_id: str) -> KnownRequest | None:
        """Returns what is known of a request id, or None.

        An id whose tombstone may have been evicted gives the verdict
        MayHaveRun.
        """
        record = self._live.get(request_id)
        if record is not None:
            return KnownRequest(request_id, record.request.fingerprint)
        found = self._tombstones.get(request_id)
        if found is not None:
            return KnownRequest(request_id, found.fingerprint, found.verdict)
        if self.may_be_evicted(request_id):
            lost = verdicts.MayHaveRun(verdicts.Reason.RETENTION_PASSED)
            return KnownRequest(request_id, "", lost)
        return None

    def may_be_evicted(self, request_id: str) -> bool:
        """Returns whether a tombstone of that id may have been evicted."""
        home, sequence = messages.split_request_id(request_id)
        return 0 < sequence <= self._floors.get(home, 0)

    def add(self, request: messages.Request, state: str) -> RequestRecord:
        """Adds a record of a new request in the given state."""
        record = RequestRecord(request, state, streamed=request.streamed)
        self._live[request.request_id] = record
        if request.key:
            self._keys[_scoped_key(request)] = request.request_id
        return record

    def get(self, request_id: str) -> RequestRecord | None:
        """Returns the record of a request, or None if it is final."""
        return self._live.get(request_id)

    def unfinished_records(self) -> list[RequestRecord]:
        """Returns the records of all requests that are not final."""
        return list(self._live.values())

    def floor(self, home: str) -> int:
        """Returns a home's highest evicted sequence number, or 0."""
        return self._floors.get(home, 0)

    def tombstones(self, home: str) -> dict[int, verdicts.Verdict]:
        """Returns the verdicts of one home's requests by sequence number."""
        found = {}
        for request_id, tombstone in self._tombstones.items():
            issuer, sequence = messages.split_request_id(request_id)
            if issuer == home:
                found[sequence] = tombstone.verdict
        return found

    def close(
        self, request_id: str, verdict: verdicts.Verdict, now: float
    ) -> None:
        """Replaces a record by a tombstone and evicts old tombstones.

        The key becomes free if the request has not run or does not hold it.

        Args:
            request_id: the request.
            verdict: its final verdict.
            now: time in seconds.
        """
        record = self._live.pop(request_id)
        request = record.request
        key = _scoped_key(request) if request.key else ""
        if not record.holds_key or isinstance(verdict, verdicts.NotRun):
            self._release_key(key, request_id)
            key = ""
        size = TOMBSTONE_OVERHEAD_BYTES + len(request_id) + 2 * len(key)
        self._tombstone_bytes += size
        self._tombstones[request_id] = Tombstone(
            verdict, key, request.fingerprint, size, now
        )
        while self._exceeds_limits(now):
            self._evict_oldest()

    def _exceeds_limits(self, now: float) -> bool:
        if not self._tombstones:
            return False
        oldest = next(iter(self._tombstones.values()))
        return (
            len(self._tombstones) > KEPT_TOMBSTONES
            or self._tombstone_bytes > KEPT_TOMBSTONE_BYTES
            or now - oldest.closed_at > KEPT_TOMBSTONE_SECONDS
        )

    def _evict_oldest(self) -> None:
        request_id, tombstone = self._tombstones.popitem(last=False)
        self._tombstone_bytes -= tombstone.size
        self._evicted += 1
        self._release_key(tombstone.key, request_id)
        home, sequence = messages.split_request_id(request_id)
        self._floors[home] = max(sequence, self._floors.get(home, 0))
        self._floors.move_to_end(home)
        if len(self._floors) > KEPT_HOMES:
            self._floors.popitem(last=False)

    def _release_key(self, key: str, request_id: str) -> None:
        if self._keys.get(key) == request_id:
            del self._keys[key]


def _scoped_key(request: messages.Request) -> str:
    return f"{request.organisation}\0{request.key}"
