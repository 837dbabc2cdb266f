"""A loopback proxy whose connections can be delayed, cut and silenced."""

import asyncio
import dataclasses

from cranberryglade.gateway import sockets

CHUNK_BYTES = 65_536
HOLD_TICK_SECONDS = 0.02


@dataclasses.dataclass(slots=True)
class Weather:
    """What a link does to its connections at present.

    Attributes:
        delay_seconds: added to each chunk, either way.
        loses_requests: holds back what goes to the target.
        loses_answers: holds back what comes from the target.
        refuses: resets new connections.
    """

    delay_seconds: float = 0.0
    loses_requests: bool = False
    loses_answers: bool = False
    refuses: bool = False


class Link:
    """Passes connections on to one target.

    Attributes:
        weather: what it does to them.
    """

    def __init__(self, target: str):
        self.weather = Weather()
        self._target = target
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Where it listens."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def start(self) -> None:
        """Begins to listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)

    async def stop(self) -> None:
        """Closes its port and all connections."""
        self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()

    def reset(self) -> None:
        """Resets all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def heal(self) -> None:
        """Passes everything on again; what was held back arrives late."""
        self.weather = Weather()

    async def _accept(self, reader, writer) -> None:
        self._writers.add(writer)
        if self.weather.refuses:
            writer.transport.abort()
            return
        try:
            onward = await asyncio.open_connection(*sockets.split(self._target))
        except OSError:
            writer.transport.abort()
            return
        self._writers.add(onward[1])
        self._begin(self._pump(reader, onward[1], "loses_requests"))
        self._begin(self._pump(onward[0], writer, "loses_answers"))

    def _begin(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pump(self, reader, writer, held_by: str) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(self.weather.delay_seconds)
                while getattr(self.weather, held_by):
                    await asyncio.sleep(HOLD_TICK_SECONDS)
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            # The other side of the proxy sees the same reset.
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
