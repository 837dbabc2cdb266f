"""Protocols that read little at once.

Load pattern: a peer sends without end what costs much to parse, such as header
fields or chunks of a byte, on many connections. All that are readable are
served in one turn of the event loop; what each may read then bounds the time
for which the others wait.
"""

import asyncio

READ_BYTES = 16_384
"""Most bytes that are read from a connection in one turn of the event loop."""

_buffer = bytearray(READ_BYTES)


class Protocol(asyncio.BufferedProtocol):
    """Protocol of a connection; `data_received` gets at most READ_BYTES.

    The buffer is the same for all, as what it holds is taken out at once.
    """

    def get_buffer(self, sizehint: int) -> bytearray:
        """Returns the buffer to read into (transport callback)."""
        return _buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Takes out what was read (transport callback)."""
        self.data_received(bytes(memoryview(_buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Processes received bytes."""
        raise NotImplementedError
