"""Finds free ports of loopback for servers whose port is a setting."""

import itertools
import random
import socket

FIRST_PORT = 20_000
LAST_PORT = 32_000
"""End of the range of ports, exclusive."""

_ports = itertools.cycle(
    random.sample(range(FIRST_PORT, LAST_PORT), LAST_PORT - FIRST_PORT)
)


def free_port() -> int:
    """Returns a port that is free for TCP and UDP.

    It lies below the ephemeral port range of the system, so that no outgoing
    connection can take it before it is bound.
    """
    while True:
        port = next(_ports)
        try:
            with socket.socket() as stream:
                stream.bind(("127.0.0.1", port))
            with socket.socket(type=socket.SOCK_DGRAM) as datagrams:
                datagrams.bind(("127.0.0.1", port))
        except OSError:
            continue
        return port
