"""Protocols that read little at once.

Load pattern: a peer sends without end what costs much to parse, such as header
fields or chunks of a byte, on many connections. All that are readable are
served in one turn of the event loop; what each may read then bounds the time
for which the others wait.
"""

import asyncio

READ_BYTES = 4_096
"""Most bytes that are read from a connection in one turn of the event loop."""

LARGE_READ_BYTES = 262_144
"""The same while what is not read at once may be lost."""

_buffer = memoryview(bytearray(LARGE_READ_BYTES))


class Protocol(asyncio.BufferedProtocol):
    """Protocol of a connection; `data_received` gets at most READ_BYTES.

    The buffer is the same for all, as what it holds is taken out at once.
    """

    @property
    def reads_all(self) -> bool:
        """Whether up to LARGE_READ_BYTES are read at once."""
        return False

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer to read into (transport callback)."""
        return _buffer if self.reads_all else _buffer[:READ_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        """Takes out what was read (transport callback)."""
        self.data_received(bytes(_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Processes received bytes."""
        raise NotImplementedError
