"""An HTTP server for tests that answers with scripted bytes."""

import asyncio
import dataclasses

STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
CLOSING_HEAD = STREAM_HEAD + b"Connection: close\r\n\r\n"


def token(offset):
    return b'id: %d\ndata: {"text":"w%d "}\n\n' % (offset, offset)


def end(count, request_id=b"r1"):
    data = b'{"request_id":"%b","count":%d}' % (request_id, count)
    return b"event: end\ndata: " + data + b"\n\n"


def keep_alive_response(body):
    return STREAM_HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body


def refusal(status, body, more=b""):
    head = b"HTTP/1.1 %b\r\n%bContent-Length: %d\r\n\r\n"
    return head % (status, more, len(body)) + body


WHOLE = token(0) + token(1) + end(2)


@dataclasses.dataclass(slots=True, frozen=True)
class Late:
    """A reply that is sent after a silence, in seconds."""

    silence: float
    reply: bytes


class ScriptedServer:
    """Answers each request with the next reply of a list.

    A reply of None keeps the connection open and sends nothing; b"" closes it.
    One that is `Late` is sent later.
    """

    def __init__(self, replies):
        self.heads = []
        self._replies = list(replies)
        self._server = None

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *_):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.heads.append(head)
                await reader.readexactly(_content_length(head))
                reply = self._replies.pop(0) if self._replies else b""
                if isinstance(reply, Late):
                    await asyncio.sleep(reply.silence)
                    reply = reply.reply
                if reply is None:
                    await asyncio.sleep(60)
                writer.write(reply)
                if b"Content-Length" not in reply:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    def count(self, method):
        return sum(head.startswith(method) for head in self.heads)


def _content_length(head):
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.split(b":")[1])
    return 0
