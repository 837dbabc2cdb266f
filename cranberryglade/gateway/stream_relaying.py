"""Relays the events of a stream to its caller, whole events only."""

import asyncio

from cranberryglade import log
from cranberryglade.gateway import attempt_streams
from cranberryglade.gateway import configuration
from cranberryglade.gateway import exchanges
from cranberryglade.gateway import messages
from cranberryglade.gateway import origin_sharing
from cranberryglade.gateway import outbound
from cranberryglade.gateway import replacing
from cranberryglade.gateway import tentative_origins

SILENT = "silent"
"""Why the stream of an attempt is not relayed further that was replaced."""


logger = log.get_logger(__name__)


class StreamRelay:
    """Relays streams and records what began them."""

    __slots__ = ("_origins", "_replacer")

    def __init__(
        self,
        origins: origin_sharing.OriginSharing,
        replacer: replacing.Replacer,
    ):
        self._origins = origins
        self._replacer = replacer

    async def relay(
        self,
        exchange: exchanges.Exchange,
        endpoint: messages.Endpoint,
        stream: attempt_streams.AttemptStream,
    ) -> str:
        """Relays the events of one attempt, the current one of a request.

        Args:
            exchange: the request.
            endpoint: the endpoint that sends the stream.
            stream: its stream.

        Returns:
            Why the stream broke off, or SILENT if another attempt goes on; ""
            if it ended whole.

        Raises:
            CallerGoneError: if the caller's connection is closed.
        """

        async def receive() -> attempt_streams.Part:
            part = await stream.receive()
            if isinstance(part, outbound.Data):
                exchange.last_received_at = asyncio.get_running_loop().time()
            return part

        while True:
            part = await self._replacer.wait(
                exchange, endpoint, receive, stream.is_sound
            )
            if part is None:
                return SILENT
            problem = stream.find_problem(part)
            if problem:
                return problem
            match part:
                case outbound.Data(events):
                    if events and exchange.origin is None:
                        await self._record_origin(exchange, endpoint)
                    await exchange.responder.send(events)
                case outbound.End():
                    if stream.splitter.awaits_join:
                        _log_nothing_left(exchange, endpoint)
                    await exchange.responder.send(stream.trailing)
                    return ""

    async def _record_origin(
        self, exchange: exchanges.Exchange, endpoint: messages.Endpoint
    ) -> None:
        exchange.origin = messages.StreamOrigin(
            endpoint.service, endpoint.software_version
        )
        if exchange.admitted.route.kind is not configuration.Kind.RESUMABLE:
            return
        if not exchange.process_is_certain:
            now = asyncio.get_running_loop().time()
            exchange.tentative = tentative_origins.TentativeOrigin(
                endpoint, now
            )
        await self._origins.store(
            exchange.facts.id, exchange.origin, exchange.tentative
        )


def _log_nothing_left(
    exchange: exchanges.Exchange, endpoint: messages.Endpoint
) -> None:
    logger.info(
        "stream.nothing_left",
        id=exchange.facts.id,
        endpoint=endpoint.id,
        last_event=exchange.splitter.last_id,
    )
