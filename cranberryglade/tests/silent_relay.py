"""A relay whose open connections can go silent while new ones work."""

import asyncio

from cranberryglade.gateway import sockets

PART_BYTES = 65_536


class SilentRelay:
    """Passes connections on to an address; use as an async context manager.

    Attributes:
        address: host and port where it listens.
        target: host and port to which it passes connections on.
        connections: number of connections so far.
    """

    def __init__(self, target: str, address: str):
        self.address = address
        self.connections = 0
        self.target = target
        self._silent_up_to = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def __aenter__(self):
        self._server = await asyncio.start_server(
            self._accept, *sockets.split_address(self.address)
        )
        return self

    async def __aexit__(self, *_):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def silence(self) -> None:
        """Delivers nothing more on the open connections, and closes none."""
        self._silent_up_to = self.connections

    def _accept(self, reader, writer) -> None:
        self.connections += 1
        # Python 3.11.7 reports the end of a task of its own that is cancelled
        # as an error in a callback.
        self._tasks.add(
            asyncio.create_task(self._relay(self.connections, reader, writer))
        )

    async def _relay(self, number, reader, writer) -> None:
        target = sockets.split_address(self.target)
        upstream_reader, upstream_writer = await asyncio.open_connection(
            *target
        )
        try:
            await asyncio.gather(
                self._pass_on(number, reader, upstream_writer),
                self._pass_on(number, upstream_reader, writer),
            )
        except OSError:
            pass
        finally:
            upstream_writer.close()
            writer.close()

    async def _pass_on(self, number, reader, writer) -> None:
        while data := await reader.read(PART_BYTES):
            if number > self._silent_up_to:
                writer.write(data)
                await writer.drain()
        if number > self._silent_up_to:
            writer.close()
