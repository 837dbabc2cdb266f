"""Reads bytes as answers, one after the other, and nothing but answers."""

from typing import Protocol

import httptools

from cranberryglade.answer_grammar import faults
from cranberryglade.answer_grammar import heads

OVERLAP_BYTES = len(heads.HEAD_END) - 1
"""Bytes of the end of a head that may have come before the others."""

Framing = heads.Framing
Kind = faults.Kind
MalformedAnswerError = faults.MalformedAnswerError


class Receiver(Protocol):
    """Gets the parts of answers; may have more callbacks of httptools."""

    def on_message_complete(self) -> None:
        """Calls `AnswerParser.end_message`."""


class AnswerParser:
    """Reads the answers to requests on one connection.

    httptools parses them. What it would take although the grammar does not
    allow it is found before: bytes are given to it in pieces that end where a
    head ends or a body may end, and each head is checked before its last piece.

    Attributes:
        head: what the last head stated; None before it.
    """

    __slots__ = (
        "_asks_for_head",
        "_body_left",
        "_collected",
        "_in_head",
        "_is_whole",
        "_parser",
        "_recent",
        "head",
    )

    def __init__(self, receiver: Receiver):
        self._parser = httptools.HttpResponseParser(receiver)
        self._asks_for_head = False
        self._in_head = True
        self._is_whole = True
        self._collected = bytearray()
        self._recent = b""
        self._body_left = 0
        self.head: heads.Head | None = None

    @property
    def keeps_alive(self) -> bool:
        """Whether the last head lets the connection stay open."""
        return self._parser.should_keep_alive()

    @property
    def is_between_answers(self) -> bool:
        """Whether nothing was read behind the last whole answer, if any."""
        return self._is_whole and not self._collected

    def expect(self, asks_for_head: bool) -> None:
        """Prepares for the answer to a request.

        Args:
            asks_for_head: whether its method is HEAD.
        """
        self._asks_for_head = asks_for_head

    def end_message(self) -> None:
        """Records that an answer, or an interim response, is whole."""
        self._in_head = True
        self._is_whole = not self.head.is_interim

    def feed(self, data: bytes) -> None:
        """Reads bytes; calls the receiver with what they are.

        Raises:
            MalformedAnswerError: at the first piece that is no part of an
                answer.
            Exception: what a callback raised.
        """
        begin = 0
        while begin < len(data):
            begin = self.feed_piece(data, begin)

    def feed_piece(self, data: bytes, begin: int = 0) -> int:
        """Reads bytes up to the end of a head or of an answer at most.

        Args:
            data: the bytes.
            begin: position of the first one that was not read yet.

        Returns:
            The position behind the last one that was read.

        Raises:
            MalformedAnswerError: if the piece is no part of an answer.
            Exception: what a callback raised.
        """
        if self._in_head:
            end = self._find_head_end(data, begin)
        else:
            end = self._find_body_end(data, begin)
        piece = data[begin:end] if end - begin < len(data) else data
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserCallbackError as error:
            # The parser hides what a callback raised behind its own.
            raise error.__context__ or error from None
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            raise self._explain(error) from error
        return end

    def _find_head_end(self, data: bytes, begin: int) -> int:
        """Returns where a head ends, which is checked, or the data do."""
        if not self._collected:
            end = data.find(heads.HEAD_END, begin)
            if end >= 0:
                end += len(heads.HEAD_END)
                self._begin_body(data[begin:end])
                return end
        before = len(self._collected)
        self._collected += data[begin:]
        overlap = max(0, before - OVERLAP_BYTES)
        end = self._collected.find(heads.HEAD_END, overlap)
        if end < 0:
            return len(data)
        end += len(heads.HEAD_END)
        self._begin_body(bytes(self._collected[:end]))
        return begin + end - before

    def _begin_body(self, raw: bytes) -> None:
        self.head = heads.read(raw, self._asks_for_head)
        self._body_left = self.head.length
        self._recent = b""
        self._collected.clear()
        self._in_head = False
        self._is_whole = False

    def _find_body_end(self, data: bytes, begin: int) -> int:
        """Returns where a body may end in the data, or where they end."""
        match self.head.framing:
            case Framing.LENGTH:
                end = min(len(data), begin + self._body_left)
                self._body_left -= end - begin
                return end
            case Framing.CHUNKED:
                return self._find_chunked_end(data, begin)
        return len(data)

    def _find_chunked_end(self, data: bytes, begin: int) -> int:
        """Returns where the next empty line ends, as only there a body may."""
        if self._recent:
            # The line may have begun in the data before.
            overlapping = self._recent + data[begin : begin + OVERLAP_BYTES]
            found = overlapping.find(heads.HEAD_END)
            if found >= 0:
                end = begin + found + len(heads.HEAD_END) - len(self._recent)
                self._recent = b""
                return end
        found = data.find(heads.HEAD_END, begin)
        if found >= 0:
            self._recent = b""
            return found + len(heads.HEAD_END)
        self._recent = (self._recent + data[begin:])[-OVERLAP_BYTES:]
        return len(data)

    def _explain(self, error: Exception) -> MalformedAnswerError:
        """Returns what is wrong where the parser has failed."""
        if self._in_head:
            return heads.diagnose(bytes(self._collected))
        text = str(error)
        is_field = "header" in text or "Content-Length" in text
        kind = Kind.TRAILER if is_field else Kind.CHUNK
        return MalformedAnswerError(kind, text)
