"""Log lines and counters of hedges."""

from cranberryglade import log
from cranberryglade.gateway import exchanges
from cranberryglade.gateway import telemetry

logger = log.get_logger(__name__)


class HedgeRecords:
    """Logs and counts the hedges of an instance, at most two lines each."""

    __slots__ = ("_metrics",)

    def __init__(self, metrics: telemetry.Telemetry):
        self._metrics = metrics

    def asked(
        self,
        exchange: exchanges.Exchange,
        endpoint: str,
        hedge: exchanges.Attempt,
        late_ms: int,
    ) -> None:
        """Records that a second endpoint is asked.

        Args:
            exchange: the request.
            endpoint: id of the endpoint whose answer is late.
            hedge: the second attempt.
            late_ms: milliseconds from which on the answer was late.
        """
        logger.info(
            "hedge.asked",
            id=exchange.facts.id,
            endpoint=endpoint,
            second_endpoint=hedge.endpoint.id,
            late_ms=late_ms,
        )
        self._metrics.count_event("hedge_asked")

    def not_made(
        self, exchange: exchanges.Exchange, reason: str, late_ms: int
    ) -> None:
        """Records why a late request is not hedged."""
        logger.info(
            "hedge.not_made",
            id=exchange.facts.id,
            reason=reason,
            late_ms=late_ms,
        )
        self._metrics.count_event(f"hedge_not_made_{reason}")

    def ended(self, exchange: exchanges.Exchange, won: bool) -> None:
        """Records whether the request goes on with its hedge."""
        event = "won" if won else "lost"
        logger.info(f"hedge.{event}", id=exchange.facts.id)
        self._metrics.count_event(f"hedge_{event}")
