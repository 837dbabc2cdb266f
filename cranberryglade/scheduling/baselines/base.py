"""Base class of the baseline policies."""

from cranberryglade import verdicts
from cranberryglade.scheduling import action_collector
from cranberryglade.scheduling import fleet
from cranberryglade.scheduling import messages
from cranberryglade.scheduling import request_records
from cranberryglade.scheduling import request_table


class BaselinePlacement:
    """Counts running requests by endpoint; ignores all other feedback."""

    __slots__ = ("_collector", "_fleet", "_request_table")

    def __init__(
        self,
        collector: action_collector.ActionCollector,
        domain_fleet: fleet.Fleet,
        table: request_table.RequestTable,
    ):
        self._collector = collector
        self._fleet = domain_fleet
        self._request_table = table

    def attempt_ended(
        self, record: request_records.RequestRecord, output_tokens: int | None
    ) -> None:
        """Releases the slot of an attempt that ended.

        Args:
            record: the request, before its state changes.
            output_tokens: length of the complete answer; None if the attempt
                failed.
        """
        del output_tokens
        if record.endpoint is None:
            return
        member = self._fleet.endpoint_state(record.endpoint.name)
        if member and member.endpoint == record.endpoint:
            member.outstanding -= 1

    def delegation_failed(
        self, record: request_records.RequestRecord, verdict: verdicts.NotRun
    ) -> None:
        """Ignores a failed delegation."""

    def first_token(self, record: request_records.RequestRecord) -> None:
        """Ignores a first token."""

    def load_reported(self, event: messages.LoadReported) -> None:
        """Ignores a load report."""

    def cache_reported(self, event: messages.CacheReported) -> None:
        """Ignores a cache report."""
