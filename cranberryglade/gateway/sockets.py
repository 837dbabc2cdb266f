"""Addresses, and connections whose other side is gone."""

import socket

KEEPALIVE_SECONDS = 1
KEEPALIVE_PROBES = 2


def split(address: str) -> tuple[str, int]:
    """The host and the port of an address, as sockets take them.

    >>> split("127.0.0.1:8221")
    ('127.0.0.1', 8221)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def bound_silence(connected: socket.socket | None, milliseconds: int) -> None:
    """Ends a connection whose peer acknowledges nothing for that long."""
    if connected is None:
        return
    option = getattr(socket, "TCP_USER_TIMEOUT", None)
    if option is not None:
        connected.setsockopt(socket.IPPROTO_TCP, option, milliseconds)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def probe_silence(connected: socket.socket | None) -> None:
    """Ends a connection that has gone silent while nothing is sent on it."""
    if connected is None:
        return
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for name, value in (
        ("TCP_KEEPIDLE", KEEPALIVE_SECONDS),
        ("TCP_KEEPINTVL", KEEPALIVE_SECONDS),
        ("TCP_KEEPCNT", KEEPALIVE_PROBES),
    ):
        option = getattr(socket, name, None)
        if option is not None:
            connected.setsockopt(socket.IPPROTO_TCP, option, value)
