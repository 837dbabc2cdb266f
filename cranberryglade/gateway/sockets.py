"""Addresses, and socket options that detect unreachable peers."""

import fcntl
import functools
import ipaddress
import select
import socket
import struct
import termios

from cranberryglade import decoding

MAX_PORT = 65_535
KNOWN_ADDRESSES = 4096
"""Addresses whose check is remembered."""

KEEPALIVE_SECONDS = 1
"""Idle time before the first keepalive probe, and between probes."""

KEEPALIVE_PROBES = 2
"""Unanswered probes after which the system closes the connection."""


def split_address(address: str) -> tuple[str, int]:
    """Returns the host and the port of an address.

    Args:
        address: "host:port".

    Raises:
        ValueError: if the port is not a number.

    >>> split_address("127.0.0.1:8221")
    ('127.0.0.1', 8221)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


@functools.lru_cache(KNOWN_ADDRESSES)
def is_ip_address(address: str) -> bool:
    """Returns whether an address is an IP and a port to connect or send to.

    Others raise errors of many kinds where they are used, or close the socket
    that they are used with.

    >>> is_ip_address("10.0.0.1:80"), is_ip_address("10.0.0.1:70000")
    (True, False)
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    # A scope is a name of the system's, or any text.
    return "%" not in host and bool(decoding.parse_count(port, MAX_PORT))


def is_listening_address(address: str) -> bool:
    """Returns whether an address has a host, by IP or name, and a port.

    >>> is_listening_address("store.example:80"), is_listening_address(":80")
    (True, False)
    """
    host, _, port = address.rpartition(":")
    try:
        host.encode("idna")
    except UnicodeError:
        return False
    has_port = decoding.parse_count(port, MAX_PORT) is not None
    return bool(host) and host.isprintable() and has_port


def has_unread(connected: socket.socket | None) -> bool:
    """Returns whether bytes, or an end, wait in a socket to be read.

    Args:
        connected: the connected socket; None, or a closed one, has none.
    """
    return _poll(connected, select.POLLIN)


def has_ended(connected: socket.socket | None) -> bool:
    """Returns whether the other side has closed a connection.

    Also if bytes that it sent before are not read yet.

    Args:
        connected: the connected socket; None, or a closed one, has not.
    """
    return _poll(connected, select.POLLRDHUP)


def has_failed(connected: socket.socket | None) -> bool:
    """Returns whether a connection was reset or has timed out.

    Args:
        connected: the connected socket; None, or a closed one, has not.
    """
    return _poll(connected, 0, select.POLLERR)


def unacknowledged_bytes(connected: socket.socket | None) -> int:
    """Returns how many bytes were written that the other side has not taken.

    An end that was sent counts as one. After a failure the number stays.

    Args:
        connected: the connected socket; None, or a closed one, has none.
    """
    if connected is None or connected.fileno() < 0:
        return 0
    counted = fcntl.ioctl(connected.fileno(), termios.TIOCOUTQ, bytes(4))
    return struct.unpack("i", counted)[0]


def _poll(
    connected: socket.socket | None, events: int, reported: int = -1
) -> bool:
    """Returns whether one of the reported events has occurred.

    Args:
        connected: the connected socket; None, or a closed one, has none.
        events: the events to ask for; errors are told in any case.
        reported: those that count; any by default.
    """
    if connected is None or connected.fileno() < 0:
        return False
    poller = select.poll()
    poller.register(connected.fileno(), events)
    return any(found & reported for _, found in poller.poll(0))


def set_connection_options(
    connected: socket.socket | None, milliseconds: int
) -> None:
    """Sets TCP_USER_TIMEOUT, where the system has it, and TCP_NODELAY.

    With the timeout, the system closes the connection when sent data stays
    unacknowledged for that long.

    Args:
        connected: the connected socket; None is ignored.
        milliseconds: the timeout.
    """
    if connected is None:
        return
    option = getattr(socket, "TCP_USER_TIMEOUT", None)
    if option is not None:
        connected.setsockopt(socket.IPPROTO_TCP, option, milliseconds)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def enable_keepalive(connected: socket.socket | None) -> None:
    """Enables TCP keepalive.

    The system then also closes a connection whose other side has become
    unreachable while nothing is sent, for example a feed of the store that
    only waits for data.

    Args:
        connected: the connected socket; None is ignored.
    """
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
