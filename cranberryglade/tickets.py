"""Request ids that name their home and cannot be made up."""

import dataclasses
import hashlib
import hmac

SIGNATURE_CHARACTERS = 24
PARTS = 5


@dataclasses.dataclass(slots=True, frozen=True)
class Ticket:
    """What a request id says.

    Attributes:
        failure_domain: where its home is.
        instance: name of its home.
        incarnation: which process of that name is its home.
        sequence: number within the incarnation.
    """

    failure_domain: str
    instance: str
    incarnation: str
    sequence: int


class TicketOffice:
    """Issues request ids of one home and reads those of any.

    >>> office = TicketOffice("wien-a", "entry-1", "c0ffee", b"0" * 16)
    >>> office.read(office.issue("store-1"), "store-1").instance
    'entry-1'
    >>> office.read(office.issue("store-1"), "store-2") is None
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
        """Returns an id that was never issued before."""
        self._sequence += 1
        unsigned = f"{self._home}.{self._sequence}"
        return f"{unsigned}.{self._sign(unsigned, organisation)}"

    def read(self, text: str, organisation: str) -> Ticket | None:
        """Reads an id; None if no instance issued it to the organisation."""
        if not text.isascii():
            return None
        unsigned, _, signature = text.rpartition(".")
        expected = self._sign(unsigned, organisation)
        if not hmac.compare_digest(expected, signature):
            return None
        return self.parse(text)

    def parse(self, text: str) -> Ticket | None:
        """Reads an id whoever it was issued to; None if it is not an id."""
        parts = text.split(".")
        if len(parts) != PARTS or not parts[3].isdecimal():
            return None
        return Ticket(parts[0], parts[1], parts[2], int(parts[3]))

    def is_home(self, request_id: str) -> bool:
        """Tells whether this incarnation issued the id."""
        return request_id.startswith(self._home + ".")

    def is_near(self, request_id: str) -> bool:
        """Tells whether its home is in the own failure domain."""
        return request_id.startswith(self._failure_domain + ".")

    def _sign(self, unsigned: str, organisation: str) -> str:
        signed = f"{organisation}\0{unsigned}".encode()
        digest = hmac.new(self._key, signed, hashlib.sha256)
        return digest.hexdigest()[:SIGNATURE_CHARACTERS]
