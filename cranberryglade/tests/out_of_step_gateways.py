"""Cuts gateways of a cluster off from the store and from the others."""

import asyncio

from cranberryglade.gateway import sockets


class StoreRelay:
    """Forwards connections to the store until it is cut.

    Attributes:
        address: address that it listens on; HOST:PORT.
    """

    def __init__(self, store_address: str):
        self.address = ""
        self._store_address = store_address
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts listening on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def cut(self) -> None:
        """Closes all connections and refuses further ones."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        far_reader, far_writer = await asyncio.open_connection(
            *sockets.split_address(self._store_address)
        )
        await asyncio.gather(
            self._forward(reader, far_writer), self._forward(far_reader, writer)
        )

    async def _forward(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while data := await reader.read(65_536):
                writer.write(data)
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


def part(one_side, other_side) -> None:
    """Lets gateways of two groups receive no datagrams of each other."""
    for group, others in ((one_side, other_side), (other_side, one_side)):
        lost = {gateway._peer_address for gateway in others}
        for gateway in group:
            _drop_datagrams(gateway._mesh, lost)


def _drop_datagrams(sender, addresses: set[str]) -> None:
    send = sender.send

    def send_unless_lost(member, message):
        if member.address not in addresses:
            send(member, message)

    sender.send = send_unless_lost
