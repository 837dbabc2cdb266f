"""Reads the answer of one request as a caller sees it."""

from collections.abc import Callable
import time

import msgspec
from returns.result import Success

from cranberryglade import wire
from cranberryglade.scheduling import answers
from cranberryglade.tools import client

STATUS_OK = 200
VERDICT_MARK = b"event: verdict\n"

Tokens = Callable[[str], None]


class _Piece(msgspec.Struct):
    text: str = ""


class AnswerReader:
    """One answer as far as it has arrived, streamed or in one piece."""

    __slots__ = (
        "_began",
        "_first_token_seconds",
        "_last",
        "_partial",
        "_request_id",
        "_status",
        "_streamed",
        "_texts",
        "_tokens",
    )

    def __init__(self, request: wire.RequestDocument, tokens: Tokens | None):
        self._streamed = request.stream
        self._request_id = request.ticket or ""
        self._tokens = tokens
        self._began = time.monotonic()
        self._first_token_seconds: float | None = None
        self._status = 0
        self._partial = b""
        self._last = b""
        self._texts: list[str] = []

    @property
    def request_id(self) -> str:
        """The request; "" while it is not known."""
        return self._request_id

    @property
    def first_token_seconds(self) -> float | None:
        """From sending to the first token; None if none came."""
        return self._first_token_seconds

    def take(self, part: client.Reply | bytes) -> None:
        """Takes in the head of the answer or the next line."""
        if isinstance(part, client.Reply):
            self._status = part.status
            return
        self._partial += part
        if not self._in_events or part != b"\n":
            return
        self._last = self._partial
        self._partial = b""
        if self._last.startswith(answers.TOKEN_MARK):
            self._take_token()

    def verdict(self) -> wire.VerdictDocument | None:
        """The verdict, or None if the answer ended before it."""
        if not self._in_events:
            return _decode(self._partial)
        if self._last.startswith(VERDICT_MARK):
            return _decode(answers.event_data(self._last))
        if not self._last.startswith(answers.END_MARK):
            return None
        marker = msgspec.json.decode(
            answers.event_data(self._last), type=answers.EndMarker
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
    def _in_events(self) -> bool:
        return self._streamed and self._status == STATUS_OK

    def _take_token(self) -> None:
        if self._first_token_seconds is None:
            self._first_token_seconds = time.monotonic() - self._began
        data = answers.event_data(self._last).strip()
        text = msgspec.json.decode(data, type=_Piece).text or data.decode()
        self._texts.append(text)
        if self._tokens is not None:
            self._tokens(text)


def _decode(data: bytes) -> wire.VerdictDocument | None:
    match wire.decode(data, wire.VerdictDocument):
        case Success(document):
            return document
        case _:
            return None
