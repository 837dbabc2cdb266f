"""Answers on the addresses for readiness and metrics."""

import asyncio
from collections.abc import Callable

import msgspec

from cranberryglade.gateway import messages
from cranberryglade.gateway import responding
from cranberryglade.gateway import state

READY_PATH = b"/ready"
QUARANTINE_PATH = b"/quarantine"

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
    """Readiness, metrics and the quarantine."""

    __slots__ = ("_is_ready", "_state")

    def __init__(
        self, instance_state: state.InstanceState, is_ready: Callable[[], bool]
    ):
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
        else:
            _send(responder, b"text/plain", self._state.metrics.text())

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


def _send(
    responder: responding.Responder, content_type: bytes, body: bytes
) -> None:
    header = messages.Header(b"Content-Type", content_type)
    responder.whole(200, [header], body)
