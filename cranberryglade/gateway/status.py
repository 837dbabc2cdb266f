"""Answers on the addresses for readiness and metrics."""

import asyncio
from collections.abc import Callable
from urllib import parse

import msgspec
from returns.result import Failure
from returns.result import Success

from cranberryglade.gateway import http_fields
from cranberryglade.gateway import messages
from cranberryglade.gateway import responding
from cranberryglade.gateway import state
from cranberryglade.placement import explaining

READY_PATH = b"/ready"
QUARANTINE_PATH = b"/quarantine"
PLACE_PATH = b"/place"

DELETE = b"DELETE"
"""The method that ends a quarantine."""

PART_SEPARATOR = "+"
"""Separates parts in a path."""


class QuarantineEntry(msgspec.Struct):
    """A quarantine, as operators read it.

    Attributes:
        parts: parts that a barred request has.
        ends_in_s: seconds until it ends.
    """

    parts: tuple[str, ...]
    ends_in_s: float


class StatusPages:
    """Readiness, metrics, the quarantine, and where requests would go."""

    __slots__ = ("_explainer", "_is_ready", "_state")

    def __init__(
        self,
        instance_state: state.InstanceState,
        is_ready: Callable[[], bool],
        explainer: explaining.Explainer,
    ):
        self._explainer = explainer
        self._state = instance_state
        self._is_ready = is_ready

    async def answer(
        self, request: messages.Request, responder: responding.Responder
    ) -> None:
        """Answers one request; any other path gets the metrics."""
        if request.target.startswith(READY_PATH):
            responder.whole(200 if self._is_ready() else 503, [], b"")
        elif request.target.startswith(QUARANTINE_PATH):
            self._answer_quarantine(request, responder)
        elif request.target.startswith(PLACE_PATH):
            self._answer_place(request, responder)
        else:
            _send(responder, b"text/plain", self._state.metrics.text())

    def _answer_place(
        self, request: messages.Request, responder: responding.Responder
    ) -> None:
        query = _parse_query(request)
        if query is None:
            responder.whole(400, [], b"host, path or a number is not readable")
            return
        match self._explainer.explain(query):
            case Success(placement):
                body = msgspec.json.encode(placement)
                _send(responder, b"application/json", body)
            case Failure(problem):
                responder.whole(409, [], problem.encode())

    def _answer_quarantine(
        self, request: messages.Request, responder: responding.Responder
    ) -> None:
        now = asyncio.get_running_loop().time()
        if request.method == DELETE:
            _, _, name = request.target.decode("latin-1").rpartition("/")
            parts = tuple(name.split(PART_SEPARATOR))
            lifted = self._state.quarantine.lift(parts, now, "operator")
            responder.whole(204 if lifted else 404, [], b"")
            return
        entries = [
            QuarantineEntry(each.parts, round(each.until - now, 1))
            for each in self._state.quarantine.entries
            if each.in_force(now)
        ]
        _send(responder, b"application/json", msgspec.json.encode(entries))


def _parse_query(request: messages.Request) -> explaining.Query | None:
    """Returns the request that an operator describes; None if unreadable."""
    _, _, text = request.target.decode("latin-1").partition("?")
    fields = {name: values[0] for name, values in parse.parse_qs(text).items()}
    authorization = (
        each.value.decode("latin-1").strip()
        for each in request.headers
        if each.name.lower() == b"authorization"
    )
    prompt = fields.get("prompt_tokens", "0")
    output = fields.get("output_tokens", "0")
    if "host" not in fields or "path" not in fields:
        return None
    if not (prompt.isdecimal() and output.isdecimal()):
        return None
    return explaining.Query(
        host=fields["host"],
        path=fields["path"],
        key=http_fields.bearer_token(next(authorization, "")),
        instance=fields.get("instance", ""),
        prompt_tokens=int(prompt),
        output_tokens=int(output),
    )


def _send(
    responder: responding.Responder, content_type: bytes, body: bytes
) -> None:
    header = messages.Header(b"Content-Type", content_type)
    responder.whole(200, [header], body)
