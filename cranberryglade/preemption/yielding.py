"""Lets running requests of this instance give way to more urgent ones.

Load pattern: the allocator asks for the slot of a stream at any moment of its
life: before its first event, between two events, while it is being replaced or
explained, and after its end.
"""

from collections.abc import Iterator
import contextlib

from cranberryglade import log
from cranberryglade.gateway import attempts
from cranberryglade.gateway import exchanges
from cranberryglade.gateway import state

logger = log.get_logger(__name__)

MAX_UNCONFIRMED_SECONDS = 2.5
"""A stream yields only if the store, or a peer, was in touch within this time:
otherwise it may not be known which endpoints have the version that began it."""


class Yielding:
    """The attempts of this instance that may be asked to yield their slots."""

    __slots__ = ("_attempts", "_running", "_state")

    def __init__(
        self,
        shared: state.InstanceState,
        attempt_control: attempts.Attempts,
    ):
        self._state = shared
        self._attempts = attempt_control
        self._running: dict[
            str, tuple[exchanges.Exchange, exchanges.Attempt]
        ] = {}

    @contextlib.contextmanager
    def watch(
        self, exchange: exchanges.Exchange, attempt: exchanges.Attempt
    ) -> Iterator[None]:
        """Lets the current attempt of a request be asked while it runs."""
        id_ = attempt.slot_request.id
        if attempt.slot_request.yields:
            self._running[id_] = (exchange, attempt)
        try:
            yield
        finally:
            self._running.pop(id_, None)
            exchange.yield_requested = False

    def ask(self, id_: str) -> bool:
        """Asks an attempt to yield its slot.

        Its retry is reserved first. It then stops where it waits for its
        endpoint, so behind a whole event.

        Args:
            id_: id of its slot request.

        Returns:
            Whether it yields; if not, it goes on.
        """
        found = self._running.get(id_)
        if found is None:
            self._log_kept(id_, "not_running")
            return False
        exchange, attempt = found
        if exchange.yield_requested:
            # The datagram has arrived twice.
            return True
        reason = self._find_obstacle(exchange, attempt)
        if reason:
            self._log_kept(id_, reason)
            return False
        exchange.yielded = True
        exchange.request_yield()
        return True

    def record_yielded(
        self, exchange: exchanges.Exchange, attempt: exchanges.Attempt
    ) -> None:
        """Logs and counts an attempt that has stopped to yield its slot."""
        logger.info(
            "attempt.yielded",
            id=exchange.facts.id,
            endpoint=attempt.endpoint.id,
            last_event=exchange.splitter.last_id,
            left_ms=round(exchange.remaining_seconds * 1000),
        )
        self._state.metrics.count_event("attempt_yielded")

    def _find_obstacle(
        self, exchange: exchanges.Exchange, attempt: exchanges.Attempt
    ) -> str:
        """Returns why an attempt goes on; "" if its retry is reserved."""
        if not exchange.awaits_endpoint:
            return "busy"
        if self._state.shutdown.begun:
            return "stopping"
        if exchange.yielded or exchange.attempts_in_progress != 1:
            return "replaced"
        if not attempt.sent.done():
            return "not_sent"
        if not self._attempts.is_origin_certain(exchange):
            return "origin_unverified"
        if self._state.confirmation_age() > MAX_UNCONFIRMED_SECONDS:
            return "out_of_step"
        if not self._has_other(exchange):
            return "no_other_endpoint"
        if self._attempts.reserve(exchange) is not None:
            return exchange.refusal
        return ""

    def _has_other(self, exchange: exchanges.Exchange) -> bool:
        """Returns whether another endpoint may continue a request."""
        return any(
            each.service == exchange.admitted.service
            and each.id not in exchange.excluded_endpoints
            and exchange.may_be_sent_to(each)
            for each in self._state.endpoints.values()
        )

    def _log_kept(self, id_: str, reason: str) -> None:
        logger.info("attempt.kept", need=id_, reason=reason)
        self._state.metrics.count_event("attempt_kept")
