"""HTTP responses that carry verdicts and answers."""

import asyncio
import contextlib

from aiohttp import web
import msgspec

from cranberryglade import exchanges
from cranberryglade import peers
from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.scheduling import answers

JSON = "application/json"
STATUS_CODES = {
    verdicts.Reason.MALFORMED: 400,
    verdicts.Reason.UNAUTHENTICATED: 401,
    verdicts.Reason.FORBIDDEN: 403,
    verdicts.Reason.UNKNOWN_KIND: 404,
    verdicts.Reason.UNKNOWN_REQUEST: 404,
    verdicts.Reason.UNKNOWN_PATH: 404,
    verdicts.Reason.WRONG_METHOD: 405,
    verdicts.Reason.TOO_LARGE: 413,
    verdicts.Reason.KEY_REUSED: 422,
    verdicts.Reason.SHED: 429,
    verdicts.Reason.DEADLINE_CANNOT_BE_MET: 429,
    verdicts.Reason.CANCELLED: 409,
}
MAX_BUFFERED_BYTES = 65_536
STATUS_NOT_RUN = 503
STATUS_MAY_HAVE_RUN = 504


class _TokenData(msgspec.Struct):
    text: str = ""


def refusal(
    reason: verdicts.Reason, detail: str = "", request_id: str = ""
) -> web.Response:
    """Returns the response for a request that did not run.

    Args:
        reason: why it did not run; determines the status code.
        detail: explanation for a person.
        request_id: the request, if it has an id.
    """
    return of_verdict(request_id, verdicts.NotRun(reason), detail)


def of_verdict(
    request_id: str, verdict: verdicts.Verdict, detail: str = ""
) -> web.Response:
    """Returns the response for a verdict, without an answer.

    Args:
        request_id: the request; "" if it has no id.
        verdict: the verdict; determines the status code.
        detail: explanation for a person.
    """
    document = wire.verdict_document(request_id, verdict, detail)
    headers = {}
    if document.retry_after_ms is not None:
        headers["Retry-After"] = str(-(-document.retry_after_ms // 1000))
    return web.Response(
        body=wire.encode(document),
        status=_status(verdict),
        headers=headers,
        content_type=JSON,
    )


def _status(verdict: verdicts.Verdict) -> int:
    match verdict:
        case verdicts.Ran():
            return 200
        case verdicts.NotRun(reason=reason):
            return STATUS_CODES.get(reason, STATUS_NOT_RUN)
        case verdicts.MayHaveRun():
            return STATUS_MAY_HAVE_RUN


def document(content: object, status: int = 200) -> web.Response:
    """Returns a response with one message as JSON."""
    return web.Response(
        body=wire.encode(content), status=status, content_type=JSON
    )


async def complete_answer(exchange: exchanges.Exchange) -> web.Response:
    """Waits for the verdict and returns it, with the answer if there is one."""
    verdict = await exchange.finished()
    if not isinstance(verdict, verdicts.Ran):
        return of_verdict(exchange.request_id, verdict)
    document = wire.verdict_document(exchange.request_id, verdict)
    document.answer = msgspec.Raw(_answer_json(exchange))
    return web.Response(body=wire.encode(document), content_type=JSON)


def _answer_json(exchange: exchanges.Exchange) -> bytes:
    data = exchange.data()
    if len(data) == 1 and not data[0].startswith(b'{"text":'):
        return data[0]
    texts = [msgspec.json.decode(item, type=_TokenData).text for item in data]
    return wire.encode(
        wire.AnswerDocument(text="".join(texts), tokens=len(texts))
    )


class TransportWriter:
    """Writes chunks directly to the transport of a streaming response.

    aiohttp has sent the head. Chunks are written only while the transport
    buffers at most MAX_BUFFERED_BYTES. Once a caller falls behind, its events
    are written through aiohttp, which applies backpressure.
    """

    __slots__ = ("_transport",)

    def __init__(self, transport: asyncio.Transport):
        self._transport = transport

    def write(self, events: bytes) -> bool:
        """Writes token events as one chunk.

        Returns:
            Whether they were written. Nothing is written if the buffer of the
            transport is full or the transport is closing.
        """
        transport = self._transport
        if transport.get_write_buffer_size() > MAX_BUFFERED_BYTES:
            return False
        if transport.is_closing():
            return False
        transport.write(b"%x\r\n%b\r\n" % (len(events), events))
        return True


async def request_state(
    request_id: str, exchange: exchanges.Exchange | None
) -> web.Response:
    """Returns the present state of a request without waiting for its verdict.

    Args:
        request_id: the request.
        exchange: its exchange; None if the request is unknown here.
    """
    if exchange is None:
        document = wire.VerdictDocument(
            verdict="unknown",
            request_id=request_id,
            reason=verdicts.Reason.UNKNOWN_REQUEST.value,
        )
        return web.Response(
            body=wire.encode(document), status=404, content_type=JSON
        )
    if exchange.verdict is not None:
        return await complete_answer(exchange)
    pending = wire.VerdictDocument(
        verdict="pending", request_id=exchange.request_id
    )
    return web.Response(
        body=wire.encode(pending), status=202, content_type=JSON
    )


def relayed_lookup(
    request_id: str, found: peers.LookupReply | verdicts.Verdict
) -> web.Response:
    """Returns the response to a lookup that another instance answered.

    Args:
        request_id: the request.
        found: the reply of that instance, or a verdict in its place.
    """
    match found:
        case peers.LookupReply(status=status, body=body):
            return web.Response(body=body, status=status, content_type=JSON)
        case _:
            return of_verdict(request_id, found)


async def streamed_answer(
    http_request: web.Request, exchange: exchanges.Exchange
) -> web.StreamResponse:
    """Streams token events as they arrive, then an end event or a verdict.

    A request without a token whose verdict is not Ran gets a plain response
    instead of a stream, so that the status code reflects the verdict.

    Args:
        http_request: the HTTP request to respond to.
        exchange: the exchange of the request.
    """
    await exchange.started()
    refused = exchange.verdict is not None and not exchange.size
    if refused and not isinstance(exchange.verdict, verdicts.Ran):
        return of_verdict(exchange.request_id, exchange.verdict)
    response = web.StreamResponse(
        headers={
            "Content-Type": wire.EVENT_STREAM,
            wire.REQUEST_ID_HEADER: exchange.request_id,
        }
    )
    response.enable_chunked_encoding()
    with contextlib.suppress(ConnectionError):
        await response.prepare(http_request)
        if http_request.transport is not None:
            await _stream_events(http_request.transport, response, exchange)
        await response.write(_last_event(exchange))
        await response.write_eof()
    return response


async def _stream_events(
    transport: asyncio.Transport,
    response: web.StreamResponse,
    exchange: exchanges.Exchange,
) -> None:
    writer = TransportWriter(transport)
    position = 0
    try:
        while True:
            while position < exchange.size:
                exchange.record_position(writer, position)
                events = exchange.read(position, MAX_BUFFERED_BYTES)
                await response.write(events)
                position += len(events)
            if exchange.verdict is not None or transport.is_closing():
                return
            position = await exchange.follow(writer, position)
    finally:
        exchange.remove_writer(writer)


def _last_event(exchange: exchanges.Exchange) -> bytes:
    if isinstance(exchange.verdict, verdicts.Ran):
        return answers.end_event(exchange.request_id, len(exchange.data()))
    document = wire.verdict_document(exchange.request_id, exchange.verdict)
    return b"event: verdict\ndata: " + wire.encode(document) + b"\n\n"
