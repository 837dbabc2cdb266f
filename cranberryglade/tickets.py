"""Request ids that name their home and cannot be made up."""

import dataclasses
import hashlib
import hmac

SIGNATURE_CHARACTERS = 24


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
    >>> office.read(office.issue()).instance
    'entry-1'
    >>> office.read("wien-a.entry-1.c0ffee.7.0badbad") is None
    True
    """

    __slots__ = ("_home", "_key", "_sequence")

    def __init__(
        self, failure_domain: str, instance: str, incarnation: str, key: bytes
    ):
        self._home = f"{failure_domain}.{instance}.{incarnation}"
        self._key = key
        self._sequence = 0

    def issue(self) -> str:
        """Returns an id that was never issued before."""
        self._sequence += 1
        unsigned = f"{self._home}.{self._sequence}"
        return f"{unsigned}.{self._sign(unsigned)}"

    def read(self, text: str) -> Ticket | None:
        """Reads an id; None if it was not issued by an instance."""
        unsigned, _, signature = text.rpartition(".")
        if not hmac.compare_digest(
            self._sign(unsigned).encode(), signature.encode()
        ):
            return None
        domain, instance, incarnation, sequence = unsigned.split(".")
        return Ticket(domain, instance, incarnation, int(sequence))

    def is_home(self, request_id: str) -> bool:
        """Tells whether this incarnation issued the id."""
        return request_id.startswith(self._home + ".")

    def _sign(self, unsigned: str) -> str:
        digest = hmac.new(self._key, unsigned.encode(), hashlib.sha256)
        return digest.hexdigest()[:SIGNATURE_CHARACTERS]
