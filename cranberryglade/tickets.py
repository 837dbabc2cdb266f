"""Tickets: signed request ids that name their home instance.

An id has the form DOMAIN.INSTANCE.INCARNATION.SEQUENCE.CHECK; CHECK is a
signature that also covers the organisation.
"""

import dataclasses
import hashlib
import hmac

from cranberryglade import decoding

SIGNATURE_CHARACTERS = 24
ID_PARTS = 5


@dataclasses.dataclass(slots=True, frozen=True)
class Ticket:
    """The parts of a request id.

    Attributes:
        failure_domain: failure domain of its home.
        instance: name of its home.
        incarnation: incarnation of the instance, which is one process of it.
        sequence: number of the id within the incarnation, from 1.
    """

    failure_domain: str
    instance: str
    incarnation: str
    sequence: int


class TicketIssuer:
    """Issues request ids of one home, and verifies those of any instance.

    >>> issuer = TicketIssuer("wien-a", "entry-1", "c0ffee", b"0" * 16)
    >>> issuer.verify(issuer.issue("store-1"), "store-1").instance
    'entry-1'
    >>> issuer.verify(issuer.issue("store-1"), "store-2") is None
    True
    """

    __slots__ = ("_failure_domain", "_home", "_key", "_sequence")

    def __init__(
        self, failure_domain: str, instance: str, incarnation: str, key: bytes
    ):
        self._failure_domain = failure_domain
        self._home = f"{failure_domain}.{instance}.{incarnation}"
        self._key = key
        self._sequence = 0

    def issue(self, organisation: str) -> str:
        """Returns a new, unique id for a request of the organisation."""
        self._sequence += 1
        unsigned = f"{self._home}.{self._sequence}"
        return f"{unsigned}.{self._sign(unsigned, organisation)}"

    def verify(self, text: str, organisation: str) -> Ticket | None:
        """Verifies an id and returns its parts.

        Returns:
            The parts; None if no instance issued the id to the organisation.
        """
        if not text.isascii():
            return None
        unsigned, _, signature = text.rpartition(".")
        expected = self._sign(unsigned, organisation)
        if not hmac.compare_digest(expected, signature):
            return None
        return self.parse(text)

    def parse(self, text: str) -> Ticket | None:
        """Parses an id without verifying its signature.

        Returns:
            The parts; None if the text does not have the form of an id.
        """
        parts = text.split(".")
        if len(parts) != ID_PARTS:
            return None
        number = decoding.parse_count(parts[3])
        if number is None:
            return None
        return Ticket(parts[0], parts[1], parts[2], number)

    def is_home(self, request_id: str) -> bool:
        """Returns whether the id names this incarnation as its home."""
        return request_id.startswith(self._home + ".")

    def is_in_own_domain(self, request_id: str) -> bool:
        """Returns whether the id names a home in the own failure domain."""
        return request_id.startswith(self._failure_domain + ".")

    def _sign(self, unsigned: str, organisation: str) -> str:
        signed = f"{organisation}\0{unsigned}".encode()
        digest = hmac.new(self._key, signed, hashlib.sha256)
        return digest.hexdigest()[:SIGNATURE_CHARACTERS]
