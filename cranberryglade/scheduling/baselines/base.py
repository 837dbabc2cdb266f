"""Base class of the baseline policies."""

from cranberryglade import verdicts
from cranberryglade.scheduling import claims
from cranberryglade.scheduling import decisions
from cranberryglade.scheduling import fleet
from cranberryglade.scheduling import lives
from cranberryglade.scheduling import messages


class BaselinePlacement:
    """Counts running requests by endpoint; ignores all other feedback."""

    __slots__ = ("_collector", "_fleet", "_request_table")

    def __init__(
        self,
        collector: decisions.ActionCollector,
        domain_fleet: fleet.Fleet,
        request_table: lives.RequestTable,
    ):
        self._collector = collector
        self._fleet = domain_fleet
        self._request_table = request_table

    def attempt_ended(
        self, record: claims.RequestRecord, output_tokens: int | None
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
        self, record: claims.RequestRecord, verdict: verdicts.NotRun
    ) -> None:
        """Ignores a failed delegation."""

    def first_token(self, record: claims.RequestRecord) -> None:
        """Ignores a first token."""

    def load_reported(self, event: messages.LoadReported) -> None:
        """Ignores a load report."""

    def cache_reported(self, event: messages.CacheReported) -> None:
        """Ignores a cache report."""
