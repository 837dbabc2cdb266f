"""HTTP responses that carry verdicts and answers."""

from aiohttp import web
import msgspec

from cranberryglade import exchanges
from cranberryglade import verdicts
from cranberryglade import wire
from cranberryglade.scheduling import answers

JSON = "application/json"
STATUSES = {
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
    verdicts.Reason.DEADLINE: 429,
    verdicts.Reason.CANCELLED: 409,
}
STATUS_NOT_RUN = 503
STATUS_MAY_HAVE_RUN = 504


class _Piece(msgspec.Struct):
    text: str = ""


def refusal(
    reason: verdicts.Reason, detail: str = "", request_id: str = ""
) -> web.Response:
    """Answers that a request did not run."""
    return of_verdict(request_id, verdicts.NotRun(reason), detail)


def of_verdict(
    request_id: str, verdict: verdicts.Verdict, detail: str = ""
) -> web.Response:
    """Answers with a verdict alone."""
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
            return STATUSES.get(reason, STATUS_NOT_RUN)
        case verdicts.MayHaveRun():
            return STATUS_MAY_HAVE_RUN


def document(content: object, status: int = 200) -> web.Response:
    """Answers with one message."""
    return web.Response(
        body=wire.encode(content), status=status, content_type=JSON
    )


async def whole(exchange: exchanges.Exchange) -> web.Response:
    """Answers with the whole answer once there is a verdict."""
    verdict = await exchange.finished()
    if not isinstance(verdict, verdicts.Ran):
        return of_verdict(exchange.request_id, verdict)
    document = wire.verdict_document(exchange.request_id, verdict)
    document.answer = msgspec.Raw(_answer(exchange))
    return web.Response(body=wire.encode(document), content_type=JSON)


def _answer(exchange: exchanges.Exchange) -> bytes:
    data = exchange.data()
    if len(data) == 1 and not data[0].startswith(b'{"text":'):
        return data[0]
    texts = [msgspec.json.decode(item, type=_Piece).text for item in data]
    return wire.encode(
        wire.AnswerDocument(text="".join(texts), tokens=len(texts))
    )


async def current(
    request_id: str, exchange: exchanges.Exchange | None
) -> web.Response:
    """Answers what has become of a request so far, without waiting."""
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
        return await whole(exchange)
    pending = wire.VerdictDocument(
        verdict="pending", request_id=exchange.request_id
    )
    return web.Response(
        body=wire.encode(pending), status=202, content_type=JSON
    )


async def streamed(
    http_request: web.Request, exchange: exchanges.Exchange
) -> web.StreamResponse:
    """Answers with token events as they come, then an end or a verdict.

    A request that is refused before its first token gets an ordinary refusal,
    so that its status tells the truth.
    """
    chunks = exchange.follow()
    first = await anext(chunks, None)
    if first is None and not isinstance(exchange.verdict, verdicts.Ran):
        return of_verdict(exchange.request_id, exchange.verdict)
    response = web.StreamResponse(
        headers={
            "Content-Type": wire.EVENT_STREAM,
            wire.REQUEST_ID_HEADER: exchange.request_id,
        }
    )
    await response.prepare(http_request)
    if first is not None:
        await response.write(first)
    async for chunk in chunks:
        await response.write(chunk)
    await response.write(_last_event(exchange))
    await response.write_eof()
    return response


def _last_event(exchange: exchanges.Exchange) -> bytes:
    if isinstance(exchange.verdict, verdicts.Ran):
        return answers.end_event(exchange.request_id, len(exchange.data()))
    document = wire.verdict_document(exchange.request_id, exchange.verdict)
    return b"event: verdict\ndata: " + wire.encode(document) + b"\n\n"
