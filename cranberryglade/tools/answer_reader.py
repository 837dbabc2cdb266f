"""Reassembles the answer to one request, whether streamed or whole."""

from collections.abc import Callable
import time

import msgspec
from returns.result import Success

from cranberryglade import wire
from cranberryglade.scheduling import answers
from cranberryglade.tools import client

STATUS_OK = 200
VERDICT_MARK = b"event: verdict\n"

TokenCallback = Callable[[str], None]


class _TokenData(msgspec.Struct):
    text: str = ""


class AnswerReader:
    """The part of one answer that has arrived.

    Args:
        request: the request; times count from the creation of the reader.
        tokens: called with the text of each token of a streamed answer.
    """

    __slots__ = (
        "_start",
        "_first_token_seconds",
        "_event",
        "_partial",
        "_request_id",
        "_status",
        "_streamed",
        "_texts",
        "_on_token",
    )

    def __init__(
        self, request: wire.RequestDocument, tokens: TokenCallback | None
    ):
        self._streamed = request.stream
        self._request_id = request.ticket or ""
        self._on_token = tokens
        self._start = time.monotonic()
        self._first_token_seconds: float | None = None
        self._status = 0
        self._partial = b""
        self._event = b""
        self._texts: list[str] = []

    @property
    def request_id(self) -> str:
        """The request's ticket; "" if it was sent without one."""
        return self._request_id

    @property
    def first_token_seconds(self) -> float | None:
        """Seconds from sending to the first token; None if none arrived."""
        return self._first_token_seconds

    def feed(self, part: client.Reply | bytes) -> None:
        """Processes the head of the answer or its next line."""
        if isinstance(part, client.Reply):
            self._status = part.status
            return
        self._partial += part
        if not self._is_event_stream or part != b"\n":
            return
        self._event = self._partial
        self._partial = b""
        if self._event.startswith(answers.TOKEN_PREFIX):
            self._append_token()

    def verdict(self) -> wire.VerdictDocument | None:
        """Returns the verdict; None if the answer is cut off or unreadable."""
        if not self._is_event_stream:
            return _decode(self._partial)
        if self._event.startswith(VERDICT_MARK):
            return _decode(answers.event_data(self._event))
        if not self._event.startswith(answers.END_PREFIX):
            return None
        marker = msgspec.json.decode(
            answers.event_data(self._event), type=answers.EndMarker
        )
        if marker.count != len(self._texts):
            return None
        document = wire.AnswerDocument(
            text="".join(self._texts), tokens=marker.count
        )
        return wire.VerdictDocument(
            verdict="ran",
            request_id=marker.request_id,
            answer=msgspec.Raw(wire.encode(document)),
        )

    @property
    def _is_event_stream(self) -> bool:
        return self._streamed and self._status == STATUS_OK

    def _append_token(self) -> None:
        if self._first_token_seconds is None:
            self._first_token_seconds = time.monotonic() - self._start
        data = answers.event_data(self._event).strip()
        text = msgspec.json.decode(data, type=_TokenData).text or data.decode()
        self._texts.append(text)
        if self._on_token is not None:
            self._on_token(text)


def _decode(data: bytes) -> wire.VerdictDocument | None:
    match wire.decode(data, wire.VerdictDocument):
        case Success(document):
            return document
        case _:
            return None
