"""Relays the events of a stream to its caller, whole events only."""

import asyncio

from cranberryglade.gateway import configuration
from cranberryglade.gateway import dialect
from cranberryglade.gateway import event_streams
from cranberryglade.gateway import exchanges
from cranberryglade.gateway import messages
from cranberryglade.gateway import origin_sharing
from cranberryglade.gateway import outbound
from cranberryglade.gateway import replacing
from cranberryglade.gateway import tentative_origins

SILENT = "silent"
"""Why the stream of an attempt is not relayed further that was replaced."""


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
        channel: outbound.Channel,
    ) -> str:
        """Relays the events of one attempt, the current one of a request.

        Args:
            exchange: the request.
            endpoint: the endpoint that sends the stream.
            channel: the connection that the events follow on.

        Returns:
            Why the stream broke off, or SILENT if another attempt goes on; ""
            if it ended whole.

        Raises:
            CallerGoneError: if the caller's connection is closed.
        """
        splitter = exchange.splitter
        has_events = False
        # A framed stream may be empty, as when the caller resumes one and
        # nothing was left; its endpoint alone vouches for that. If
        # it is not framed, it may as well have broken off at its beginning.
        unframed = exchange.answer_framing is dialect.Framing.CONNECTION_CLOSE

        def early_end() -> str:
            """Returns why the stream must not end here; "" if it may."""
            if splitter.within_event:
                return "stream ended inside an event"
            if splitter.awaits_join:
                # Whether events were left is not known.
                return "stream went on without events"
            if not has_events and unframed:
                return "stream ended without events"
            return ""

        async def receive() -> outbound.Event | event_streams.StreamError:
            """Returns the next event; data as the whole events in it."""
            event = await channel.next_event()
            if not isinstance(event, outbound.Data):
                return event
            exchange.last_received_at = asyncio.get_running_loop().time()
            try:
                return outbound.Data(splitter.feed(event.data))
            except event_streams.StreamError as error:
                return error

        def is_sound(event: outbound.Event | event_streams.StreamError) -> bool:
            match event:
                case outbound.Data():
                    return True
                case outbound.End():
                    return not early_end()
            return False

        while True:
            event = await self._replacer.wait(
                exchange, endpoint, receive, is_sound
            )
            match event:
                case None:
                    return SILENT
                case event_streams.StreamError() as error:
                    return str(error)
                case outbound.Data(events):
                    if events and not has_events:
                        has_events = True
                        self._record_origin(exchange, endpoint)
                    await exchange.responder.send(events)
                case outbound.End():
                    early = early_end()
                    if not early:
                        await exchange.responder.send(splitter.pending)
                    return early
                case outbound.AnswerLost(reason):
                    return f"stream {reason}"
                case dialect.AnswerHead():
                    return "stream torn"

    def _record_origin(
        self, exchange: exchanges.Exchange, endpoint: messages.Endpoint
    ) -> None:
        if exchange.origin is not None:
            return
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
        self._origins.record(
            exchange.facts.id, exchange.origin, exchange.tentative
        )
