"""Reads bytes as answers, one after the other, and nothing but answers."""

from typing import Protocol

import httptools

from cranberryglade.answer_grammar import faults
from cranberryglade.answer_grammar import heads

HEAD_END = heads.HEAD_END
CARRIAGE_RETURN = HEAD_END[0]

OVERLAP_BYTES = len(HEAD_END) - 1
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
        "_feed_data",
        "_in_chunks",
        "_in_head",
        "_is_whole",
        "_parser",
        "_recent",
        "head",
    )

    def __init__(self, receiver: Receiver):
        self._parser = httptools.HttpResponseParser(receiver)
        self._feed_data = self._parser.feed_data
        self._asks_for_head = False
        self._in_head = True
        self._is_whole = True
        self._collected = bytearray()
        self._recent = b""
        self._body_left = 0
        self._in_chunks = False
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
        self._in_chunks = False
        self._is_whole = not self.head.is_interim

    def feed(self, data: bytes, stops_at_end: bool = False) -> int:
        """Reads bytes; calls the receiver with what they are.

        Args:
            data: the bytes.
            stops_at_end: whether to read nothing behind the end of an answer.

        Returns:
            How many were read.

        Raises:
            MalformedAnswerError: at the first piece that is no part of an
                answer.
            Exception: what a callback raised.
        """
        begin = 0
        size = len(data)
        try:
            # Most reads of a stream: no empty line ends in them.
            if (
                self._in_chunks
                and data[0] > CARRIAGE_RETURN
                and data.find(HEAD_END) < 0
            ):
                self._recent = data[-OVERLAP_BYTES:]
                self._feed_data(data)
                return size
            while begin < size:
                end = self._find_end(data, begin)
                is_all = end - begin == size
                self._feed_data(data if is_all else data[begin:end])
                begin = end
                if stops_at_end and self._is_whole:
                    break
        except httptools.HttpParserCallbackError as error:
            # The parser hides what a callback raised behind its own.
            raise error.__context__ or error from None
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            raise self._explain(error) from error
        return begin

    def _find_end(self, data: bytes, begin: int) -> int:
        """Returns where a head or an answer may end, or the data do."""
        if self._in_head:
            return self._find_head_end(data, begin)
        size = len(data)
        if self._in_chunks:
            if self._recent and data[begin] in heads.LINE_END:
                end = self._find_crossing_end(data, begin)
                if end is not None:
                    return end
            found = data.find(HEAD_END, begin)
            if found >= 0:
                self._recent = b""
                return found + len(HEAD_END)
            if size - begin < OVERLAP_BYTES:
                self._recent = (self._recent + data[begin:])[-OVERLAP_BYTES:]
            else:
                self._recent = data[-OVERLAP_BYTES:]
            return size
        if self.head.framing is not Framing.LENGTH:
            return size
        end = min(size, begin + self._body_left)
        self._body_left -= end - begin
        return end

    def _find_crossing_end(self, data: bytes, begin: int) -> int | None:
        """Returns where an empty line ends that began in the data before."""
        overlapping = self._recent + data[begin : begin + OVERLAP_BYTES]
        found = overlapping.find(HEAD_END)
        if found < 0:
            return None
        end = begin + found + len(HEAD_END) - len(self._recent)
        self._recent = b""
        return end

    def _find_head_end(self, data: bytes, begin: int) -> int:
        """Returns where a head ends, which is checked, or the data do."""
        if not self._collected:
            end = data.find(HEAD_END, begin)
            if end >= 0:
                end += len(HEAD_END)
                self._begin_body(data[begin:end])
                return end
        before = len(self._collected)
        self._collected += data[begin:]
        overlap = max(0, before - OVERLAP_BYTES)
        end = self._collected.find(HEAD_END, overlap)
        if end < 0:
            return len(data)
        end += len(HEAD_END)
        self._begin_body(bytes(self._collected[:end]))
        self._collected.clear()
        return begin + end - before

    def _begin_body(self, raw: bytes) -> None:
        self.head = heads.read(raw, self._asks_for_head)
        self._in_chunks = self.head.framing is Framing.CHUNKED
        self._body_left = self.head.length
        self._recent = b""
        self._in_head = False
        self._is_whole = False

    def _explain(self, error: Exception) -> MalformedAnswerError:
        """Returns what is wrong where the parser has failed."""
        if self._in_head:
            return heads.diagnose(bytes(self._collected))
        text = str(error)
        is_field = "header" in text or "Content-Length" in text
        kind = Kind.TRAILER if is_field else Kind.CHUNK
        return MalformedAnswerError(kind, text)
