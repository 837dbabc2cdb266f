"""What one holder takes from the memory budget."""

from collections.abc import Callable
import dataclasses
import enum


class Kind(enum.Enum):
    """What is held, and for whom.

    Attributes:
        REQUEST: the body of a request that is being read.
        KEPT: the whole body of a request, kept until its answer.
        SENT: a body that an endpoint has not taken yet.
        ANSWER: the body of an answer that is being read.
        UNREAD: what a caller has not taken of an answer.
        TUNNEL: bytes that an instance passes on and that are not taken yet.
    """

    REQUEST = "request"
    KEPT = "kept"
    SENT = "sent"
    ANSWER = "answer"
    UNREAD = "unread"
    TUNNEL = "tunnel"


def ignore() -> None:
    """Does nothing: the callback of holders that are never called."""


@dataclasses.dataclass(slots=True, eq=False)
class Holding:
    """One holder's part of the budget; only `MemoryBudget` changes it.

    Attributes:
        kind: what is held.
        owner: who it is held for: a key, or the address of a caller.
        began: when it was opened, seconds of the loop's clock.
        size: bytes that it holds.
        expected: bytes that it will hold in the end; 0 if unknown.
        allowed: size up to which it was told to go on.
        moved_at: when it last grew by a part that counts, or was last allowed
            to go on.
        moved_size: its size then.
        waits_since: since when it waits to go on; None if it does not.
        resume: called when it may go on.
        refuse: called when it is to end and give back what it holds.
    """

    kind: Kind
    owner: str
    began: float
    size: int = 0
    expected: int = 0
    allowed: int = 0
    moved_at: float = 0.0
    moved_size: int = 0
    waits_since: float | None = None
    resume: Callable[[], None] = ignore
    refuse: Callable[[], None] = ignore

    @property
    def promised(self) -> int:
        """Bytes by which it was told to go on and has not grown yet."""
        return max(0, self.allowed - self.size)
