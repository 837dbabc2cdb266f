"""What an adapter knows of the headers that callers and endpoints use."""

import dataclasses
from typing import Protocol

from cranberryglade.gateway import messages


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """What the gateway adds to a request when it sends it.

    Attributes:
        endpoint: identity that the endpoint must have to run it.
        organisation: holder of the caller's key; "" if it needed none.
        seconds_left: how long the answer is waited for.
        last_event: id of the last event that the caller has; "" if none.
    """

    endpoint: str
    organisation: str
    seconds_left: float
    last_event: str


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerHead:
    """Status and headers of an endpoint's answer."""

    status: int
    reason: bytes
    headers: list[messages.Header]


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerFacts:
    """What the headers of an answer say.

    Attributes:
        id: the submission that it answers; "" if it does not say.
        stamped: whether it bears the stamp of an endpoint that ran it.
        unsent: whether it says that the request was not run.
        encoded: whether the body is not as the endpoint made it.
        idle_seconds: how long the endpoint keeps an idle connection; None if
            it does not say.
    """

    id: str
    stamped: bool
    unsent: bool
    encoded: bool
    idle_seconds: float | None


class UnreadableRequestError(Exception):
    """A header that must be understood cannot be."""


class Dialect(Protocol):
    """Translates headers; one implementation for each platform."""

    def facts(self, request: messages.Request) -> messages.Facts:
        """Decodes a request; raises UnreadableRequestError."""

    def outgoing(
        self, request: messages.Request, order: Order
    ) -> list[messages.Header]:
        """The headers that an endpoint gets."""

    def answer(self, head: AnswerHead) -> AnswerFacts:
        """Decodes the head of an answer."""

    def passed_on(self, head: AnswerHead) -> list[messages.Header]:
        """The headers of an answer that a caller gets."""

    def marks(self, facts: messages.Facts) -> list[messages.Header]:
        """Headers of an answer that the gateway gives itself."""
