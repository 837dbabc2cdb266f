"""Checks an endpoint's fields before anything uses them."""

from cranberryglade import decoding
from cranberryglade.gateway import messages
from cranberryglade.gateway import sockets

MAX_TEXT_CHARACTERS = 1024
"""Length of a name or version; slot requests hold both in one datagram."""

MAX_SLOTS = 1_000_000


def find_problem(endpoint: messages.Endpoint) -> str | None:
    """Returns why an endpoint cannot be used; None if it can.

    Its id is sent in a header field, its address is connected to, and its
    numbers are passed on in datagrams.
    """
    if not is_field_value(endpoint.id):
        return "id is not the value of a header field"
    if not sockets.is_ip_address(endpoint.address):
        return "no usable address"
    if not 1 <= endpoint.slots <= MAX_SLOTS:
        return "slots out of range"
    for number in (endpoint.started_ms, endpoint.report_number):
        if not 0 <= number <= decoding.MAX_INTEGER:
            return "start or report number out of range"
    texts = (endpoint.service, endpoint.domain, endpoint.software_version)
    if max(map(len, texts)) > MAX_TEXT_CHARACTERS:
        return "text too long"
    return None


def is_field_value(text: str) -> bool:
    """Returns whether a text can be sent as a header field, and read alike."""
    return (
        0 < len(text) <= MAX_TEXT_CHARACTERS
        and text.isascii()
        and text.isprintable()
        and text == text.strip()
    )
