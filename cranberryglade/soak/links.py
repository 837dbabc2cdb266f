"""A loopback TCP proxy that can delay, hold back and reset connections."""

import asyncio
import dataclasses

from cranberryglade.gateway import sockets
from cranberryglade.standins import connections

CHUNK_BYTES = 65_536
HOLD_TICK_SECONDS = 0.02


@dataclasses.dataclass(slots=True)
class Impairments:
    """How a link impairs its connections.

    Attributes:
        delay_seconds: delay of each chunk, in either direction.
        holds_requests: whether data to the target is held back.
        holds_answers: whether data from the target is held back.
        refuses: whether new connections are reset.
    """

    delay_seconds: float = 0.0
    holds_requests: bool = False
    holds_answers: bool = False
    refuses: bool = False


class Link:
    """Forwards connections to one target.

    Attributes:
        impairments: the impairments in force, for open connections as well.
    """

    def __init__(self, target: str):
        self.impairments = Impairments()
        self._listening = ""
        self._target = target
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Address that it listens on, as HOST:PORT."""
        return self._listening

    async def start(self) -> None:
        """Starts listening on a free loopback port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self._listening = f"{host}:{port}"

    def close(self) -> None:
        """Stops listening, so that new connections are refused."""
        self._server.close()

    async def open_to(self, target: str) -> None:
        """Listens again, at the same address.

        Args:
            target: the new target, as HOST:PORT.
        """
        host, port = sockets.split_address(self._listening)
        self._target = target
        self._server = await asyncio.start_server(self._accept, host, port)

    async def stop(self) -> None:
        """Stops listening and resets all connections."""
        self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()

    def reset(self) -> None:
        """Resets all connections."""
        for writer in list(self._writers):
            connections.reset(writer)

    def clear(self) -> None:
        """Ends all impairments; data that was held back is delivered."""
        self.impairments = Impairments()

    async def _accept(self, reader, writer) -> None:
        self._writers.add(writer)
        if self.impairments.refuses:
            connections.reset(writer)
            return
        try:
            upstream = await asyncio.open_connection(
                *sockets.split_address(self._target)
            )
        except OSError:
            connections.reset(writer)
            return
        self._writers.add(upstream[1])
        self._start_task(self._copy(reader, upstream[1], "holds_requests"))
        self._start_task(self._copy(upstream[0], writer, "holds_answers"))

    def _start_task(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _copy(self, reader, writer, hold_flag: str) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(self.impairments.delay_seconds)
                while getattr(self.impairments, hold_flag):
                    await asyncio.sleep(HOLD_TICK_SECONDS)
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            # Passes a reset of one side on to the other side.
            connections.reset(writer)
        finally:
            self._writers.discard(writer)
