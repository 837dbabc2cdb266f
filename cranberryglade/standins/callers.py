"""Stand-in of a caller of the platform, on raw HTTP/1.1 connections."""

import asyncio
import dataclasses
import os
import socket

from cranberryglade.answer_grammar import chunks
from cranberryglade.answer_grammar import faults
from cranberryglade.answer_grammar import heads
from cranberryglade.standins import operator_configuration


class StrayBytesError(Exception):
    """Bytes that belong to no response stand before one, or within it."""


@dataclasses.dataclass(slots=True)
class Answer:
    """The response that a caller received.

    Attributes:
        status: status code; 0 if the connection ended before the headers.
        headers: header fields by lower-case name.
        body: body, decoded if it was chunked.
        whole: whether the response was complete.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool

    @property
    def sealed(self) -> bool:
        """Whether it has an endpoint's response seal."""
        return "x-response-seal" in self.headers


def encode_request(target="/look/1", method="GET", body=b"", **fields) -> bytes:
    """Returns the bytes of a request; see `Caller.request`."""
    headers = {
        "Host": operator_configuration.HOST,
        "X-Attempt-Id": "a-1",
        "X-Deadline-Ms": "5000",
        "Authorization": f"Bearer {operator_configuration.KEY}",
    } | {name.replace("_", "-"): value for name, value in fields.items()}
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [
        f"{name}: {value}"
        for name, value in headers.items()
        if value is not None
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Caller:
    """A connection to a gateway, with control of every byte sent.

    Attributes:
        reader: reads what the gateway sends.
        writer: sends to the gateway.
        close_announced: whether an answer said that the gateway closes it.
    """

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.close_announced = False

    @property
    def saw_close(self) -> bool:
        """Whether it has read that the gateway closed the connection."""
        return self.reader.at_eof()

    @property
    def is_closed_unseen(self) -> bool:
        """Whether the close is in its socket, and it has not read it yet."""
        number = self.writer.get_extra_info("socket").fileno()
        if number < 0:
            return False
        with socket.socket(fileno=os.dup(number)) as own:
            own.setblocking(False)
            try:
                return not own.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                return False
            except ConnectionError:
                return True

    def send(self, data: bytes) -> None:
        """Buffers bytes for sending."""
        self.writer.write(data)

    def request(self, target="/look/1", method="GET", body=b"", **fields):
        """Sends a request.

        Args:
            target: request target.
            method: request method.
            body: request body.
            **fields: header fields that replace or extend the default ones,
                with "_" for "-" in their names; None leaves a field out.
        """
        self.send(encode_request(target, method, body, **fields))

    async def answer(self, bodiless: bool = False) -> Answer:
        """Reads one response.

        Args:
            bodiless: whether it has no body whatever its headers say, as the
                response to HEAD.

        Raises:
            StrayBytesError: if other bytes come before it.
        """
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(0, {}, b"", False)
        try:
            stated = heads.read(head, bodiless)
        except faults.MalformedAnswerError as error:
            raise StrayBytesError(head) from error
        lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in filter(None, lines[1:]):
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        self.close_announced |= fields.get("connection") == "close"
        body, whole = await self._read_body(stated)
        return Answer(stated.status, fields, body, whole)

    async def _read_body(self, stated: heads.Head) -> tuple[bytes, bool]:
        body = b""
        try:
            match stated.framing:
                case heads.Framing.NO_BODY:
                    pass
                case heads.Framing.LENGTH:
                    body = await self.reader.readexactly(stated.length)
                case heads.Framing.CHUNKED:
                    while data := await self._read_chunk():
                        body += data
                case heads.Framing.CONNECTION_CLOSE:
                    # No gateway leaves the end of an answer to a close.
                    return b"", False
        except (asyncio.IncompleteReadError, ConnectionError):
            return body, False
        return body, True

    async def _read_chunk(self) -> bytes:
        """Returns the data of a chunk; b"" for the last one.

        Raises:
            StrayBytesError: if it is none.
        """
        line = await self.reader.readuntil(b"\r\n")
        try:
            size = chunks.read_size(line[:-2])
        except faults.MalformedAnswerError as error:
            raise StrayBytesError(line) from error
        data = await self.reader.readexactly(size + 2)
        if not data.endswith(b"\r\n"):
            raise StrayBytesError(data)
        return data[:-2]

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()
