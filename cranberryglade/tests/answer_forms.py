"""Forms of answers, proper and malformed, in the order of the grammar."""

import dataclasses
import enum

from cranberryglade.scheduling import answers
from cranberryglade.standins import endpoint_standin

ENGINE_BODY = answers.token_event(0, b'{"text":"w"}') + answers.end_event(
    "r1", 1
)
"""What an engine streams as a whole answer to the request r1."""

REFUSAL_BODY = b'{"verdict":"not_run","reason":"shed","request_id":"r1"}'.ljust(
    len(ENGINE_BODY)
)
"""What an engine answers that refuses the request r1."""

_EVENT = endpoint_standin.event(1, "")
BODY = endpoint_standin.event(1, "x" * (len(ENGINE_BODY) - len(_EVENT)))
"""Body of the answers: an event, so that it also suits a stream, and as long as
the others, which can take its place."""


class Close(enum.Enum):
    """What an endpoint does with its connection behind an answer."""

    KEEP = "keep"
    CLOSE = "close"
    RESET = "reset"


@dataclasses.dataclass(frozen=True)
class Form:
    """An answer, whose endpoint adds fields of its own.

    Attributes:
        fault: kind of the fault that it has; "" for a proper answer.
        start: status line.
        fields: lines behind the endpoint's own ones, with their ends.
        head_end: what ends the head.
        body: what follows it, with its framing.
        before: what precedes the status line.
        close: what becomes of the connection.
    """

    fault: str = ""
    start: bytes = b"HTTP/1.1 200 OK\r\n"
    fields: bytes = b"Content-Length: %d\r\n" % len(BODY)
    head_end: bytes = b"\r\n"
    body: bytes = BODY
    before: bytes = b""
    close: Close = Close.KEEP

    def encode(self, own_fields: bytes = b"") -> bytes:
        """Returns the bytes of the answer.

        Args:
            own_fields: lines of the endpoint, with their ends.
        """
        head = self.start + own_fields + self.fields + self.head_end
        return self.before + head + self.body


def split(data: bytes, size: int) -> list[bytes]:
    """Returns bytes in pieces of a size."""
    return [data[at : at + size] for at in range(0, len(data), size)]


def chunk(data: bytes) -> bytes:
    """Returns bytes as a chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LENGTH = Form().fields
CHUNKED = b"Transfer-Encoding: chunked\r\n"
SIZE = b"%x" % len(BODY)
LAST = b"0\r\n\r\n"


def _starts(fault: str, *lines: bytes) -> dict[str, Form]:
    return {f"{fault}: {line}": Form(fault, start=line) for line in lines}


def _fields(fault: str, *lines: bytes) -> dict[str, Form]:
    """Returns answers with lines before their length."""
    return {
        f"{fault}: {line}": Form(fault, fields=line + LENGTH) for line in lines
    }


def _framings(fault: str, *lines: bytes) -> dict[str, Form]:
    return {
        f"{fault}: {line}": Form(fault, fields=line, body=chunk(BODY) + LAST)
        if b"chunk" in line.lower()
        else Form(fault, fields=line)
        for line in lines
    }


def _interims(fault: str, *heads: bytes) -> dict[str, Form]:
    return {f"{fault}: {head}": Form(fault, before=head) for head in heads}


def _chunks(fault: str, *bodies: bytes) -> dict[str, Form]:
    return {
        f"{fault}: {body}": Form(
            fault, fields=CHUNKED, body=body.replace(b"BODY", BODY)
        )
        for body in bodies
    }


def _ends(fault: str, **forms: Form) -> dict[str, Form]:
    return {
        f"{fault}: {name.replace('_', ' ')}": form
        for name, form in forms.items()
    }


MALFORMED = (
    _starts(
        "version",
        b"HTTP/2.0 200 OK\r\n",
        b"HTTP/0.9 200 OK\r\n",
        b"HTTP/1.2 200 OK\r\n",
        b"HTTP/1.10 200 OK\r\n",
        b"HTTP/01.1 200 OK\r\n",
        b"http/1.1 200 OK\r\n",
        b"RTSP/1.1 200 OK\r\n",
        b"ICE/1.1 200 OK\r\n",
        b"ICY 200 OK\r\n",
        b"HTTP/1.1\t200 OK\r\n",
        b" HTTP/1.1 200 OK\r\n",
        b"\r\nHTTP/1.1 200 OK\r\n",
        b"\nHTTP/1.1 200 OK\r\n",
        b"\0HTTP/1.1 200 OK\r\n",
        b"\xef\xbb\xbfHTTP/1.1 200 OK\r\n",
        b"200 OK\r\n",
    )
    | _starts(
        "status",
        b"HTTP/1.1 000 OK\r\n",
        b"HTTP/1.1 001 OK\r\n",
        b"HTTP/1.1 099 OK\r\n",
        b"HTTP/1.1 600 OK\r\n",
        b"HTTP/1.1 999 OK\r\n",
        b"HTTP/1.1 20 OK\r\n",
        b"HTTP/1.1 2000 OK\r\n",
        b"HTTP/1.1 2x0 OK\r\n",
        b"HTTP/1.1 -20 OK\r\n",
        b"HTTP/1.1 +200 OK\r\n",
        b"HTTP/1.1  200 OK\r\n",
        b"HTTP/1.1 200\tOK\r\n",
        b"HTTP/1.1 OK\r\n",
        b"HTTP/1.1 \xb2\xb0\xb0 OK\r\n",
        b"HTTP/1.1 \r\n",
    )
    | _starts(
        "reason",
        b"HTTP/1.1 200 O\0K\r\n",
        b"HTTP/1.1 200 O\x01K\r\n",
        b"HTTP/1.1 200 O\x1bK\r\n",
        b"HTTP/1.1 200 O\x7fK\r\n",
        b"HTTP/1.1 200 O\rK\r\n",
        b"HTTP/1.1 200 OK\n",
        b"HTTP/1.1 200 OK\r",
    )
    | _fields(
        "field name",
        b"X Y: 1\r\n",
        b"X : 1\r\n",
        b"X\t: 1\r\n",
        b"X\tY: 1\r\n",
        b"X\0Y: 1\r\n",
        b"X\x01Y: 1\r\n",
        b"X\x7fY: 1\r\n",
        b"X\rY: 1\r\n",
        b"X\xe9Y: 1\r\n",
        b"X(Y): 1\r\n",
        b"X@Y: 1\r\n",
        b"X/Y: 1\r\n",
        b'"X": 1\r\n',
        b"X{}: 1\r\n",
        b": 1\r\n",
        b"X\r\n",
        b"Content-Length : 2\r\n",
        b"Transfer Encoding: chunked\r\n",
        b"Content-Length\0: 2\r\n",
    )
    | {
        "field name: blank before the first": Form(
            "field name", start=Form().start + b" X: 1\r\n"
        ),
    }
    | _fields(
        "field value",
        b"X: a\0b\r\n",
        b"X: a\x01b\r\n",
        b"X: a\x1bb\r\n",
        b"X: a\x7fb\r\n",
        b"X: a\rb\r\n",
        b"X: a\n",
        b"X: a\nY: b\r\n",
        b"X: 1\r\n two\r\n",
        b"X: 1\r\n\ttwo\r\n",
        b"X:\r\n one\r\n",
    )
    | _fields("joined", b"X: HTTP/1.1 503 No\r\n", b"X: aHTTP/1.0 200\r\n")
    | _framings(
        "framing",
        *(
            b"Content-Length: %b\r\n" % value
            for value in (
                b"",
                b"-2",
                b"+2",
                b"2 0",
                b"2.0",
                b"0x2",
                b"1_0",
                b"2,2",
                b"2, 3",
                b"\xb2",
                b"two",
                b"9" * 30,
            )
        ),
        LENGTH + b"Content-Length: 7\r\n",
        LENGTH + LENGTH,
        LENGTH + CHUNKED,
        CHUNKED + LENGTH,
        CHUNKED + CHUNKED,
        b"Transfer-Encoding: gzip\r\n",
        b"Transfer-Encoding: identity\r\n",
        b"Transfer-Encoding: xchunked\r\n",
        b"Transfer-Encoding: \r\n",
        b"Transfer-Encoding: gzip, chunked\r\n",
        b"Transfer-Encoding: chunked, gzip\r\n",
        b"Transfer-Encoding: chunked, chunked\r\n",
        b"Transfer-Encoding: chunked;q=1\r\n",
        b"Transfer-Encoding: gzip\r\n" + CHUNKED,
        CHUNKED + b"Transfer-Encoding: identity\r\n",
    )
    | {
        "framing: chunks in HTTP/1.0": Form(
            "framing",
            start=b"HTTP/1.0 200 OK\r\n",
            fields=CHUNKED,
            body=chunk(BODY) + LAST,
        ),
        "framing: chunks of 204": Form(
            "framing",
            start=b"HTTP/1.1 204 No Content\r\n",
            fields=CHUNKED,
            body=LAST,
        ),
        "framing: length of 204": Form(
            "framing", start=b"HTTP/1.1 204 No Content\r\n"
        ),
    }
    | _interims("status", b"HTTP/1.1 000 No\r\n\r\n", b"HTTP/1.1 10 No\r\n\r\n")
    | _interims("version", b"HTTP/2.0 100 Continue\r\n\r\n")
    | _interims("field name", b"HTTP/1.1 103 Hints\r\nX Y: 1\r\n\r\n")
    | _interims("field value", b"HTTP/1.1 103 Hints\r\nX: a\0b\r\n\r\n")
    | _interims("reason", b"HTTP/1.1 100 \x01\r\n\r\n")
    | _interims("version", b"HTTP/1.1 100 Continue\r\n\r\n\r\n")
    | _interims(
        "interim",
        b"HTTP/1.0 100 Continue\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 101 Switching Protocols\r\n"
        b"Connection: upgrade\r\nUpgrade: x\r\n\r\n",
        b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
    )
    | _chunks(
        "chunk",
        SIZE + b"\nBODY\r\n" + LAST,
        SIZE + b"\r\rBODY\r\n" + LAST,
        SIZE + b" \r\nBODY\r\n" + LAST,
        b" " + SIZE + b"\r\nBODY\r\n" + LAST,
        b"0x" + SIZE + b"\r\nBODY\r\n" + LAST,
        b"+" + SIZE + b"\r\nBODY\r\n" + LAST,
        b"-" + SIZE + b"\r\nBODY\r\n" + LAST,
        b"\r\nBODY\r\n" + LAST,
        b";a=b\r\nBODY\r\n" + LAST,
        SIZE + b"g\r\nBODY\r\n" + LAST,
        SIZE + b",\r\nBODY\r\n" + LAST,
        b"f" * 17 + b"\r\nBODY\r\n" + LAST,
        SIZE + b"\r\nBODY" + LAST,
        SIZE + b"\r\nBODY\n" + LAST,
        SIZE + b"\r\nBODYxx" + LAST,
        SIZE + b"\r\nBODY\r\n\r\n" + LAST,
        SIZE + b"\r\nBODY\r\n0\n\r\n",
        SIZE + b"\r\nBODY\r\n0\n\n",
        SIZE + b";a\0b\r\nBODY\r\n" + LAST,
        SIZE + b";a\nb\r\nBODY\r\n" + LAST,
        SIZE + b";a\rb\r\nBODY\r\n" + LAST,
        SIZE + b';a="b\r\nBODY\r\n' + LAST,
        SIZE + b";a b\r\nBODY\r\n" + LAST,
    )
    | _chunks(
        "trailer",
        SIZE + b"\r\nBODY\r\n0\r\nX Y: 1\r\n\r\n",
        SIZE + b"\r\nBODY\r\n0\r\nX\x01: 1\r\n\r\n",
        SIZE + b"\r\nBODY\r\n0\r\nX: a\0b\r\n\r\n",
        SIZE + b"\r\nBODY\r\n0\r\nX\r\n\r\n",
        SIZE + b"\r\nBODY\r\n0\r\n X: 1\r\n\r\n",
        SIZE + b"\r\nBODY\r\n0\r\nX: 1\n\r\n",
        SIZE + b"\r\nBODY\r\n0\r\nX: 1\r\n two\r\n\r\n",
        SIZE + b"\r\nBODY\r\n0\r\n\n",
        SIZE + b"\r\nBODY\r\n0\r\nContent-Length: 7\r\n\r\n",
        SIZE + b"\r\nBODY\r\n0\r\n" + CHUNKED + b"\r\n",
    )
    | _ends(
        "cut",
        nothing=Form("cut", b"", b"", b"", b"", close=Close.CLOSE),
        within_the_status_line=Form(
            "cut", b"HTTP/1.1 20", b"", b"", b"", close=Close.CLOSE
        ),
        within_a_field=Form(
            "cut", fields=b"X: 1", head_end=b"", body=b"", close=Close.CLOSE
        ),
        within_the_end_of_the_head=Form(
            "cut", head_end=b"\r", body=b"", close=Close.CLOSE
        ),
        behind_the_head=Form("cut", body=b"", close=Close.CLOSE),
        behind_an_interim_response=Form(
            "cut",
            b"HTTP/1.1 100 Continue\r\n",
            fields=b"",
            body=b"",
            close=Close.CLOSE,
        ),
        within_the_body=Form("cut", body=BODY[:-1], close=Close.CLOSE),
        within_the_body_by_a_reset=Form(
            "cut", body=BODY[:-1], close=Close.RESET
        ),
        within_a_chunk=Form(
            "cut",
            fields=CHUNKED,
            body=chunk(BODY)[:-4],
            close=Close.CLOSE,
        ),
        behind_a_chunk=Form(
            "cut", fields=CHUNKED, body=chunk(BODY), close=Close.CLOSE
        ),
        within_the_last_chunk=Form(
            "cut", fields=CHUNKED, body=chunk(BODY) + b"0", close=Close.CLOSE
        ),
        before_the_end_of_the_trailer=Form(
            "cut",
            fields=CHUNKED,
            body=chunk(BODY) + b"0\r\nX: 1\r\n",
            close=Close.CLOSE,
        ),
        without_a_length_by_a_reset=Form("cut", fields=b"", close=Close.RESET),
        without_a_body_by_a_reset=Form(
            "cut", fields=b"", body=b"", close=Close.RESET
        ),
    )
)
"""Answers that are none, by what is wrong with them."""

PROPER = {
    "length": Form(),
    "length with blanks": Form(
        fields=b"Content-Length: \t%d \t\r\n" % len(BODY)
    ),
    "length with zeros": Form(fields=b"content-LENGTH:000%d\r\n" % len(BODY)),
    "status that has no name": Form(start=b"HTTP/1.1 299 Other\r\n"),
    "no reason": Form(start=b"HTTP/1.1 200 \r\n"),
    "no blank and no reason": Form(start=b"HTTP/1.1 200\r\n"),
    "reason of many kinds": Form(start=b"HTTP/1.1 200 \tO K,\xe9 (2) \r\n"),
    "HTTP/1.0": Form(start=b"HTTP/1.0 200 OK\r\n"),
    "HTTP/1.0 until the close": Form(
        start=b"HTTP/1.0 200 OK\r\n", fields=b"", close=Close.CLOSE
    ),
    "until the close": Form(fields=b"", close=Close.CLOSE),
    "until an announced close": Form(
        fields=b"Connection: close\r\n", close=Close.CLOSE
    ),
    "name of all characters": Form(
        fields=b"!#$%&'*+-.^_`|~09aZ: 1\r\n" + LENGTH
    ),
    "values of many kinds": Form(
        fields=b'X-A:\r\nX-B:b\r\nX-C: \xe9\t;,="(c)\\ \r\n' + LENGTH
    ),
    "fields of the same name": Form(
        fields=b"Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n" + LENGTH
    ),
    "upgrade that is offered": Form(
        fields=b"Connection: upgrade\r\nUpgrade: h2c\r\n" + LENGTH
    ),
    "chunks": Form(fields=CHUNKED, body=chunk(BODY) + LAST),
    "chunks of a byte": Form(
        fields=b"TRANSFER-encoding:Chunked \r\n",
        body=b"".join(chunk(BODY[n : n + 1]) for n in range(len(BODY))) + LAST,
    ),
    "chunk sizes with zeros": Form(
        fields=CHUNKED,
        body=b"00" + SIZE.upper() + b"\r\n" + BODY + b"\r\n000\r\n\r\n",
    ),
    "chunk extensions": Form(
        fields=CHUNKED,
        body=SIZE + b';a;b=c;d="e;f"\r\n' + BODY + b"\r\n0;g=h\r\n\r\n",
    ),
    "trailer fields": Form(
        fields=b"Trailer: X-T\r\n" + CHUNKED,
        body=chunk(BODY) + b"0\r\nX-T: 1\r\nX-U:\r\n\r\n",
    ),
    "no bytes": Form(fields=b"Content-Length: 0\r\n", body=b""),
    "no chunks": Form(fields=CHUNKED, body=LAST),
    "interim response": Form(before=b"HTTP/1.1 100 Continue\r\n\r\n"),
    "interim responses": Form(
        before=b"HTTP/1.1 100 Continue\r\n\r\n"
        b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nLink: </b>\r\n\r\n"
        b"HTTP/1.1 199 \r\nX:\r\n\r\n"
    ),
    "interim response before chunks": Form(
        before=b"HTTP/1.1 100 Continue\r\n\r\n",
        fields=CHUNKED,
        body=chunk(BODY) + LAST,
    ),
}
"""Answers that the grammar allows; they arrive as they were sent."""
