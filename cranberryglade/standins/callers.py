"""Stand-in of a caller on the users' platform, byte by byte."""

import asyncio
import dataclasses

from cranberryglade.standins import routes


@dataclasses.dataclass(slots=True)
class Answer:
    """What a caller got; `status` is 0 if the connection just ended."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool

    @property
    def stamped(self) -> bool:
        """Whether it bears an endpoint's stamp."""
        return "x-response-seal" in self.headers


class Caller:
    """A connection to a gateway, byte by byte."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    def send(self, data: bytes) -> None:
        """Writes bytes."""
        self.writer.write(data)

    def request(self, target="/look/1", method="GET", body=b"", **fields):
        """Writes a request."""
        given = {
            "Host": routes.HOST,
            "X-Attempt-Id": "a-1",
            "X-Deadline-Ms": "5000",
            "Authorization": f"Bearer {routes.KEY}",
        } | {name.replace("_", "-"): value for name, value in fields.items()}
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {v}" for name, v in given.items() if v is not None]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.send(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    async def answer(self) -> Answer:
        """Reads an answer."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(0, {}, b"", False)
        lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in filter(None, lines[1:]):
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        body, whole = await self._body(fields)
        return Answer(int(lines[0].split()[1]), fields, body, whole)

    async def _body(self, fields):
        if "content-length" in fields:
            length = int(fields["content-length"])
            try:
                return await self.reader.readexactly(length), True
            except (asyncio.IncompleteReadError, ConnectionError):
                return b"", False
        body = b""
        try:
            while True:
                size = int(await self.reader.readuntil(b"\r\n"), 16)
                body += (await self.reader.readexactly(size + 2))[:-2]
                if size == 0:
                    return body, True
        except (asyncio.IncompleteReadError, ConnectionError):
            return body, False

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()
