"""The life of each request: claimed, placed, run and answered at most once."""

from cranberryglade import charts
from cranberryglade import verdicts
from cranberryglade.scheduling import claims
from cranberryglade.scheduling import decisions
from cranberryglade.scheduling import messages

UNDER_WAY = ("running", "relaying")


class Lives:
    """Steps requests through their chart; no other module changes a state."""

    __slots__ = ("_chart", "_claims", "_decisions")

    def __init__(self, collected: decisions.Decisions):
        self._chart = charts.load("request")
        self._claims = claims.Claims()
        self._decisions = collected

    @property
    def unfinished(self) -> int:
        """Requests that have no final verdict yet."""
        return len(self._claims)

    @property
    def forgotten(self) -> int:
        """How many final requests have been forgotten."""
        return self._claims.dropped

    def find(self, request: messages.Request) -> claims.Known | None:
        """The same request, if it was seen before."""
        return self._claims.find(request)

    def look_up(self, request_id: str) -> claims.Known | None:
        """What is known under an id."""
        return self._claims.look_up(request_id)

    def open(self, request: messages.Request) -> claims.Record:
        """Starts the life of a request that is new here."""
        return self._claims.open(request, self._chart.initial)

    def get(self, request_id: str) -> claims.Record | None:
        """The record of a request that is not final."""
        return self._claims.get(request_id)

    def claiming(self, request_id: str) -> claims.Record | None:
        """The record of a request whose claim is not settled."""
        record = self._claims.get(request_id)
        if record is None or record.state != self._chart.initial:
            return None
        return record

    def current(self, request_id: str, attempt: int) -> claims.Record | None:
        """The record, unless the attempt is not under way any more."""
        record = self._claims.get(request_id)
        if record is None or record.attempt != attempt:
            return None
        return record if record.state in UNDER_WAY else None

    def waiting(self) -> list[claims.Record]:
        """The records of the requests that wait to be placed."""
        return [r for r in self._claims.live() if r.state == "waiting"]

    def live(self) -> list[claims.Record]:
        """The records of all requests that are not final."""
        return self._claims.live()

    def floor(self, home: str) -> int:
        """Highest sequence number of a home that has been forgotten."""
        return self._claims.floor(home)

    def tombstones(self, home: str) -> dict[int, verdicts.Verdict]:
        """Verdicts by sequence number of the ids of one home."""
        return self._claims.tombstones(home)

    def deliver(self, record: claims.Record) -> None:
        """The first token of the current attempt has arrived."""
        record.delivered = True

    def claim(self, record: claims.Record, expected_version: int = 0) -> None:
        """Asks the platform for the caller's key.

        Args:
            record: the request.
            expected_version: version of the row of a holder that has not run
                and never will; 0 if the key is thought to be free.
        """
        request = record.request
        self._decisions.act(
            messages.Claim(
                request.request_id,
                request.organisation,
                request.key,
                request.fingerprint,
                expected_version,
            )
        )

    def claimed(self, record: claims.Record) -> None:
        """The request belongs here and may be placed."""
        record.state = self._chart.step(record.state, "claimed")
        record.holder_version = 0

    def relay(self, record: claims.Record, holder: str, version: int) -> None:
        """Has the holder of the key answer; `version` is that of its row."""
        request_id = record.request.request_id
        record.state = self._chart.step(record.state, "relayed")
        record.holder_version = version
        self._begin(record)
        self._decisions.note(request_id, "relayed", "key held", holder)
        self._decisions.act(messages.Relay(request_id, record.attempt, holder))

    def take_over(self, record: claims.Record) -> None:
        """The holder of the key has not run and never will: claim again."""
        record.state = self._chart.step(record.state, "released")
        self._decisions.note(
            record.request.request_id, "claimed again", "holder has not run"
        )
        self.claim(record, record.holder_version)

    def dispatch(
        self, record: claims.Record, endpoint: messages.Endpoint
    ) -> None:
        """Sends the request to an endpoint."""
        record.state = self._chart.step(record.state, "dispatched")
        self._begin(record)
        record.endpoint = endpoint
        record.peer = None
        self._decisions.act(
            messages.Dispatch(
                record.request.request_id, record.attempt, endpoint
            )
        )

    def delegate(self, record: claims.Record, peer: messages.Peer) -> None:
        """Hands the request over to a peer."""
        record.state = self._chart.step(record.state, "delegated")
        self._begin(record)
        record.endpoint = None
        record.peer = peer
        self._decisions.act(
            messages.Delegate(record.request.request_id, record.attempt, peer)
        )

    def give_back(
        self, record: claims.Record, verdict: verdicts.Verdict
    ) -> None:
        """The attempt did not run, or may be repeated: wait again."""
        record.state = self._chart.step(record.state, "returned")
        record.endpoint = None
        record.peer = None
        if isinstance(verdict, verdicts.MayHaveRun):
            record.lost = verdict.reason
        self._decisions.note(
            record.request.request_id, "retried", verdict.reason.value
        )

    def stop_attempt(self, record: claims.Record) -> None:
        """Asks whoever runs the current attempt to stop it."""
        self._decisions.act(
            messages.CancelAttempt(
                record.request.request_id,
                record.attempt,
                record.endpoint,
                record.peer,
            )
        )

    def answer(self, record: claims.Record) -> None:
        """The whole answer has arrived."""
        self._decisions.note(
            record.request.request_id, "answered", "whole answer"
        )
        self._finish(record, "answered", verdicts.Ran())

    def uncertain(
        self, record: claims.Record, verdict: verdicts.MayHaveRun
    ) -> None:
        """Whether it ran cannot be known here."""
        self._decisions.note(
            record.request.request_id, "uncertain", verdict.reason.value
        )
        self._finish(record, "uncertain", verdict)

    def refuse(
        self,
        record: claims.Record,
        reason: verdicts.Reason,
        retry_after_seconds: float | None,
        measures: tuple[messages.Measure, ...] = (),
    ) -> None:
        """It gets no further attempt; the caller is told at once.

        The verdict is NotRun unless an earlier attempt may have run.
        """
        if record.lost is not None:
            self.uncertain(record, verdicts.MayHaveRun(record.lost))
            return
        self._decisions.note(
            record.request.request_id,
            "refused",
            reason.value,
            measures=measures,
        )
        verdict = verdicts.NotRun(reason, retry_after_seconds)
        self._finish(record, "refused", verdict)

    def _begin(self, record: claims.Record) -> None:
        record.attempt += 1
        record.delivered = False
        record.dispatched_at = self._decisions.now

    def _finish(
        self, record: claims.Record, event: str, verdict: verdicts.Verdict
    ) -> None:
        record.state = self._chart.step(record.state, event)
        request_id = record.request.request_id
        self._claims.close(request_id, verdict, self._decisions.now)
        self._decisions.act(messages.Finish(request_id, verdict))
