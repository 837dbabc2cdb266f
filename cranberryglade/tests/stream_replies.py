"""Builders of what an endpoint sends when it is to go on with a stream."""

import dataclasses

from cranberryglade.gateway import dialect
from cranberryglade.standins import endpoint_standin
from cranberryglade.tests import gateway_builders

Framing = dialect.Framing

BROKEN_AFTER = 3
"""Number of the last whole event before the stream breaks off."""

LAST = 6
"""Number of the last event of the stream."""

SOUND_BODY = gateway_builders.make_events(BROKEN_AFTER + 1, LAST)
NEXT_EVENT = endpoint_standin.event(BROKEN_AFTER + 1)
ERROR_TEXT = b"upstream failed\n\n"
ERROR_JSON = b'{"error": "upstream failed"}\n\n'
ERROR_EVENT = b"event: error\ndata: upstream failed\n\n"
SECOND_HEAD = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
    b"Content-Length: 6\r\n\r\nfailed"
)
EVENT_STREAM = "Content-Type: text/event-stream"
SEAL_LINE = "X-Response-Seal: seal"
NOT_EXECUTED = "X-Not-Executed: 1"


@dataclasses.dataclass(frozen=True)
class Reply:
    """An answer to a request with Last-Event-Id.

    Attributes:
        body: its body, without framing.
        status: HTTP status.
        lines: header lines besides the id and the framing.
        framing: how the end of the body is marked.
        cut_bytes: bytes that are missing at its end.
        named: whether it names the request that it answers.
    """

    body: bytes
    status: int = 200
    lines: tuple[str, ...] = (SEAL_LINE, EVENT_STREAM)
    framing: Framing = Framing.CHUNKED
    cut_bytes: int = 0
    named: bool = True

    @property
    def closes(self) -> bool:
        """Whether the connection is closed behind it."""
        is_unframed = self.framing is Framing.CONNECTION_CLOSE
        return is_unframed or bool(self.cut_bytes)

    def encode(self, request_id: str) -> bytes:
        """Returns the answer to a request."""
        lines = [f"HTTP/1.1 {self.status} Status", *self.lines]
        if self.named:
            lines.append(f"X-Attempt-Id: {request_id}")
        body = self.body
        if self.framing is Framing.CHUNKED:
            lines.append("Transfer-Encoding: chunked")
            if body:
                body = b"%x\r\n%s\r\n" % (len(body), body)
            body += endpoint_standin.LAST_CHUNK
        elif self.framing is Framing.LENGTH:
            lines.append(f"Content-Length: {len(body)}")
        encoded = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        return encoded[: len(encoded) - self.cut_bytes]


def going_on_with(
    endpoint: endpoint_standin.EndpointStandin,
    reply: Reply,
    first: endpoint_standin.Behaviour | None = None,
) -> endpoint_standin.Behaviour:
    """Returns a behaviour that breaks a stream, and resumes it with a reply.

    Args:
        endpoint: the endpoint that has the behaviour.
        reply: the answer to a request with Last-Event-Id.
        first: behaviour for other requests; None for a stream that breaks off
            within an event.
    """
    begin = first or endpoint.events(1, BROKEN_AFTER, whole=False)

    async def behave(received, reader, writer):
        if "last-event-id" not in received.headers:
            await begin(received, reader, writer)
            return
        writer.write(reply.encode(received.request_id))
        await writer.drain()
        if reply.closes:
            writer.close()

    return behave


def _statuses() -> dict[str, Reply]:
    replies = {}
    for status in (206, 302, 307, 400, 404, 408, 421, 429, 500, 503):
        for name, lines in (
            ("sealed", (SEAL_LINE, EVENT_STREAM)),
            ("unsealed", (EVENT_STREAM,)),
            ("not executed", (NOT_EXECUTED,)),
            ("sealed and not executed", (SEAL_LINE, NOT_EXECUTED)),
        ):
            for framing in (Framing.CHUNKED, Framing.LENGTH):
                key = f"{status}, {name}, {framing.value}"
                replies[key] = Reply(ERROR_TEXT, status, lines, framing)
    for status in (204, 304):
        for lines in ((SEAL_LINE, EVENT_STREAM), (EVENT_STREAM,)):
            key = f"{status}, {len(lines)} lines"
            replies[key] = Reply(b"", status, lines, Framing.NO_BODY)
    replies["206 with the events"] = Reply(SOUND_BODY, 206)
    return replies


def _bodies() -> dict[str, Reply]:
    bodies = {
        "nothing": b"",
        "blank lines": b"\n\n",
        "a comment": b": waiting\n\n",
        "an error text": ERROR_TEXT,
        "an error text without its end": ERROR_TEXT.rstrip(),
        "an error in JSON": ERROR_JSON,
        "an error event": ERROR_EVENT,
        "a page": b"<html>\r\n\r\n<h1>Bad Gateway</h1>\r\n\r\n</html>",
        "a second head": SECOND_HEAD,
        "a second head behind an event": NEXT_EVENT + SECOND_HEAD,
        "an error behind an event": NEXT_EVENT + ERROR_TEXT,
        "an event without its end": SOUND_BODY[:-1],
        "the stream from its start": gateway_builders.make_events(1, LAST),
        "an event once more": gateway_builders.make_events(BROKEN_AFTER, LAST),
        "a gap": gateway_builders.make_events(BROKEN_AFTER + 2, LAST),
        "events without ids": b"data: piece 4\n\ndata: piece 5\n\n",
        "an empty id": b"id:\ndata: piece 4\n\n",
        "an id of another kind": b"id: b-4\ndata: piece 4\n\n",
    }
    return {
        f"{name}, {framing.value}": Reply(body, framing=framing)
        for name, body in bodies.items()
        for framing in (
            Framing.CHUNKED,
            Framing.LENGTH,
            Framing.CONNECTION_CLOSE,
        )
    }


FOREIGN_REPLIES = (
    _statuses()
    | _bodies()
    | {
        "no seal": Reply(SOUND_BODY, lines=(EVENT_STREAM,)),
        "no seal, not executed": Reply(
            SOUND_BODY, lines=(EVENT_STREAM, NOT_EXECUTED)
        ),
        "an encoding": Reply(
            SOUND_BODY,
            lines=(SEAL_LINE, EVENT_STREAM, "Content-Encoding: gzip"),
        ),
        "another media type": Reply(
            SOUND_BODY, lines=(SEAL_LINE, "Content-Type: text/plain")
        ),
        "no media type": Reply(SOUND_BODY, lines=(SEAL_LINE,)),
        "a head that breaks off": Reply(
            b"", framing=Framing.LENGTH, cut_bytes=30
        ),
        "a chunk that breaks off": Reply(SOUND_BODY, cut_bytes=20),
        "a body that breaks off": Reply(
            SOUND_BODY, framing=Framing.LENGTH, cut_bytes=20
        ),
    }
)
"""Replies that are no continuation, or none that is known to be whole."""

SOUND_REPLIES = {
    framing.value: Reply(SOUND_BODY, framing=framing)
    for framing in (Framing.CHUNKED, Framing.LENGTH, Framing.CONNECTION_CLOSE)
} | {
    "a media type with a charset": Reply(
        SOUND_BODY, lines=(SEAL_LINE, EVENT_STREAM + "; charset=utf-8")
    ),
    "a comment first": Reply(b": on\n" + SOUND_BODY),
    "a field of the platform": Reply(b"x-weight-versions: 2\n" + SOUND_BODY),
    "a time to reconnect": Reply(b"retry: 10\n\n" + SOUND_BODY),
}
"""Replies that go on with the stream and end it."""

NOTHING_LEFT_REPLIES = {
    f"{name}, {framing.value}": Reply(body, framing=framing)
    for name, body in {
        "no bytes": b"",
        "a blank line": b"\n",
        "a comment": b": all was sent\n\n",
    }.items()
    for framing in (Framing.CHUNKED, Framing.LENGTH)
}
"""Replies that say that no events were left."""

UNPROVEN_END_REPLIES = {
    "unframed": Reply(b"", framing=Framing.CONNECTION_CLOSE),
    "a comment, unframed": Reply(b": on\n\n", framing=Framing.CONNECTION_CLOSE),
    "without the id": Reply(b"", named=False),
    "without the seal": Reply(b"", lines=(EVENT_STREAM,)),
    "of another media type": Reply(
        b"", lines=(SEAL_LINE, "Content-Type: text/plain")
    ),
    "encoded": Reply(
        b"", lines=(SEAL_LINE, EVENT_STREAM, "Content-Encoding: gzip")
    ),
    "206": Reply(b"", 206),
    "204": Reply(b"", 204, framing=Framing.NO_BODY),
    "500": Reply(b"", 500),
    "not executed": Reply(b"", 503, (NOT_EXECUTED,)),
    "an error text": Reply(ERROR_TEXT),
    "an error text without its end": Reply(ERROR_TEXT.rstrip()),
    "an error as a field": Reply(b"error: upstream failed\n\n"),
    "an error event": Reply(ERROR_EVENT),
    "an error event without data": Reply(b"event: error\n\n"),
    "the last event once more": Reply(endpoint_standin.event(LAST)),
    "a head that breaks off": Reply(b"", framing=Framing.LENGTH, cut_bytes=3),
    "chunks that break off": Reply(b"", cut_bytes=2),
    "a body that breaks off": Reply(
        b": on\n\n", framing=Framing.LENGTH, cut_bytes=2
    ),
}
"""Replies without events after which it is not known that none were left."""
