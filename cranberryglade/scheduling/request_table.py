"""State transitions of requests, which are answered at most once."""

from cranberryglade import charts
from cranberryglade import verdicts
from cranberryglade.scheduling import action_collector
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import request_records

IN_PROGRESS_STATES = ("running", "relaying")


class RequestTable:
    """The request table with the state of each request.

    Only this class changes the state of a request, by the chart `request`.
    Each transition adds its actions and facts to the decisions.
    """

    __slots__ = ("_chart", "_records", "_collector")

    def __init__(self, collected: action_collector.ActionCollector):
        self._chart = charts.load("request")
        self._records = request_records.RequestRecords()
        self._collector = collected

    @property
    def unfinished(self) -> int:
        """Number of requests that have no final verdict yet."""
        return len(self._records)

    @property
    def evicted(self) -> int:
        """Number of final requests whose tombstones have been evicted."""
        return self._records.evicted

    def find(
        self, request: messages.Request
    ) -> request_records.KnownRequest | None:
        """Returns the known request with the same id or key, or None."""
        return self._records.find(request)

    def look_up(self, request_id: str) -> request_records.KnownRequest | None:
        """Returns what is known of a request id, or None."""
        return self._records.look_up(request_id)

    def add(self, request: messages.Request) -> request_records.RequestRecord:
        """Adds a new request in the chart's initial state."""
        return self._records.add(request, self._chart.initial)

    def get(self, request_id: str) -> request_records.RequestRecord | None:
        """Returns the record of a request, or None if it is final."""
        return self._records.get(request_id)

    def get_claiming(
        self, request_id: str
    ) -> request_records.RequestRecord | None:
        """Returns the record if the request's claim is unsettled, or None."""
        record = self._records.get(request_id)
        if record is None or record.state != self._chart.initial:
            return None
        return record

    def get_in_progress(
        self, request_id: str, attempt: int
    ) -> request_records.RequestRecord | None:
        """Returns the record if the attempt is still in progress, or None."""
        record = self._records.get(request_id)
        if record is None or record.attempt != attempt:
            return None
        return record if record.state in IN_PROGRESS_STATES else None

    def waiting(self) -> list[request_records.RequestRecord]:
        """Returns the records of requests that wait to be placed."""
        return [
            r
            for r in self._records.unfinished_records()
            if r.state == "waiting"
        ]

    def unfinished_records(self) -> list[request_records.RequestRecord]:
        """Returns the records of all requests that are not final."""
        return self._records.unfinished_records()

    def floor(self, home: str) -> int:
        """Returns a home's highest evicted sequence number, or 0."""
        return self._records.floor(home)

    def tombstones(self, home: str) -> dict[int, verdicts.Verdict]:
        """Returns the verdicts of one home's requests by sequence number."""
        return self._records.tombstones(home)

    def record_first_token(self, record: request_records.RequestRecord) -> None:
        """Records that the current attempt's first token has arrived."""
        record.first_token_received = True

    def claim(
        self, record: request_records.RequestRecord, expected_version: int = 0
    ) -> None:
        """Claims the caller's key at the platform.

        Args:
            record: the request.
            expected_version: version of the row to replace, which names a
                holder that has not run and never will; 0 to insert a row.
        """
        request = record.request
        self._collector.add_action(
            messages.Claim(
                request.request_id,
                request.organisation,
                request.key,
                request.fingerprint,
                expected_version,
            )
        )

    def claim_won(self, record: request_records.RequestRecord) -> None:
        """Ends the claiming of a request, which may now be placed."""
        record.state = self._chart.step(record.state, "claimed")
        record.holder_version = 0

    def relay(
        self, record: request_records.RequestRecord, holder: str, version: int
    ) -> None:
        """Relays the answer of the request that holds the key.

        Args:
            record: the request.
            holder: id of the request that holds the key.
            version: version of the claim row that names the holder.
        """
        request_id = record.request.request_id
        record.state = self._chart.step(record.state, "relayed")
        record.holder_version = version
        self._begin(record)
        self._collector.add_fact(request_id, "relayed", "key held", holder)
        self._collector.add_action(
            messages.Relay(request_id, record.attempt, holder)
        )

    def claim_again(self, record: request_records.RequestRecord) -> None:
        """Claims the key again, as its holder has not run and never will."""
        record.state = self._chart.step(record.state, "claim_released")
        self._collector.add_fact(
            record.request.request_id, "claimed again", "holder has not run"
        )
        self.claim(record, record.holder_version)

    def dispatch(
        self, record: request_records.RequestRecord, endpoint: messages.Endpoint
    ) -> None:
        """Dispatches the request to an endpoint."""
        record.state = self._chart.step(record.state, "dispatched")
        self._begin(record)
        record.endpoint = endpoint
        record.peer = None
        self._collector.add_action(
            messages.Dispatch(
                record.request.request_id, record.attempt, endpoint
            )
        )

    def delegate(
        self, record: request_records.RequestRecord, peer: messages.Peer
    ) -> None:
        """Delegates the request to a peer."""
        record.state = self._chart.step(record.state, "delegated")
        self._begin(record)
        record.endpoint = None
        record.peer = peer
        self._collector.add_action(
            messages.Delegate(record.request.request_id, record.attempt, peer)
        )

    def requeue(
        self, record: request_records.RequestRecord, verdict: verdicts.Verdict
    ) -> None:
        """Requeues a request whose attempt did not run or may be repeated."""
        record.state = self._chart.step(record.state, "requeued")
        record.endpoint = None
        record.peer = None
        if isinstance(verdict, verdicts.MayHaveRun):
            record.may_have_run_reason = verdict.reason
        self._collector.add_fact(
            record.request.request_id, "retried", verdict.reason.value
        )

    def cancel_attempt(self, record: request_records.RequestRecord) -> None:
        """Cancels the current attempt at its endpoint or peer."""
        self._collector.add_action(
            messages.CancelAttempt(
                record.request.request_id,
                record.attempt,
                record.endpoint,
                record.peer,
            )
        )

    def finish_answered(self, record: request_records.RequestRecord) -> None:
        """Ends the request as answered; the whole answer has arrived."""
        self._collector.add_fact(
            record.request.request_id, "answered", "whole answer"
        )
        self._finish(record, "answered", verdicts.Ran())

    def finish_uncertain(
        self,
        record: request_records.RequestRecord,
        verdict: verdicts.MayHaveRun,
    ) -> None:
        """Ends the request with the verdict that it may have run."""
        self._collector.add_fact(
            record.request.request_id, "uncertain", verdict.reason.value
        )
        self._finish(record, "uncertain", verdict)

    def refuse(
        self,
        record: request_records.RequestRecord,
        reason: verdicts.Reason,
        retry_after_seconds: float | None,
        measures: tuple[messages.Measure, ...] = (),
    ) -> None:
        """Ends the request without a further attempt.

        The verdict is NotRun unless an earlier attempt may have run.

        Args:
            record: the request.
            reason: reason of the verdict NotRun.
            retry_after_seconds: when the caller may retry; None if unknown.
            measures: the numbers that the decision compared.
        """
        if record.may_have_run_reason is not None:
            self.finish_uncertain(
                record, verdicts.MayHaveRun(record.may_have_run_reason)
            )
            return
        self._collector.add_fact(
            record.request.request_id,
            "refused",
            reason.value,
            measures=measures,
        )
        verdict = verdicts.NotRun(reason, retry_after_seconds)
        self._finish(record, "refused", verdict)

    def _begin(self, record: request_records.RequestRecord) -> None:
        record.attempt += 1
        record.first_token_received = False
        record.dispatched_at = self._collector.now

    def _finish(
        self,
        record: request_records.RequestRecord,
        event: str,
        verdict: verdicts.Verdict,
    ) -> None:
        record.state = self._chart.step(record.state, event)
        request_id = record.request.request_id
        self._records.close(request_id, verdict, self._collector.now)
        self._collector.add_action(messages.Finish(request_id, verdict))
