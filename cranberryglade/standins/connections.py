"""Connections of stand-ins."""

import asyncio
import socket
import struct

LINGER_OFF = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a connection resets it."""


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection; a mere abort would end it properly."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OFF)
    writer.transport.abort()
