"""Interface of the adapter that translates HTTP headers of a platform."""

import dataclasses
from typing import Protocol

from cranberryglade.answer_grammar import heads
from cranberryglade.gateway import messages


@dataclasses.dataclass(slots=True, frozen=True)
class AddedHeaders:
    """Values of the headers that the gateway adds to a request.

    Attributes:
        endpoint: id that the endpoint must have to run the request.
        organisation: organisation of the caller's API key; "" if it needed
            none.
        remaining_seconds: seconds until the request's deadline.
        last_event_id: id of the last event that the caller received; "" if
            none.
    """

    endpoint: str
    organisation: str
    remaining_seconds: float
    last_event_id: str


Framing = heads.Framing


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerHead:
    """Status and headers of an endpoint's answer.

    Attributes:
        status: HTTP status.
        reason: reason phrase.
        headers: all fields in order.
        framing: how the end of the body is marked.
    """

    status: int
    reason: bytes
    headers: list[messages.Header]
    framing: Framing


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerFacts:
    """Decoded headers of an endpoint's answer.

    Attributes:
        id: id of the request that it answers; "" if absent, or if it names
            several.
        stamped: whether it carries the stamp of an endpoint that ran the
            request.
        not_run: whether it states that the request was not run.
        encoded: whether the body has a content encoding, which means that a
            host other than the endpoint changed it.
        idle_seconds: idle timeout of the endpoint's connections; None if
            absent.
        leaving: whether the endpoint states that it is about to stop.
        retry_after_seconds: time for which the endpoint wants no requests;
            None if it states none.
        limits: requests a second that the endpoint takes from all instances
            together, as often as it states one; NaN for one that cannot be
            read.
        brittle: whether the endpoint states that it fails if it has to refuse
            requests often.
    """

    id: str
    stamped: bool
    not_run: bool
    encoded: bool
    idle_seconds: float | None
    leaving: bool
    retry_after_seconds: float | None
    limits: tuple[float, ...] = ()
    brittle: bool = False


class UnreadableRequestError(Exception):
    """A required header is missing, repeated or invalid."""


class Dialect(Protocol):
    """Translates headers; each platform has an implementation."""

    def decode_request(
        self, request: messages.Request
    ) -> messages.RequestMetadata:
        """Decodes the headers of a caller's request.

        Raises:
            UnreadableRequestError: if a required header cannot be read.
        """

    def request_headers(
        self, request: messages.Request, added: AddedHeaders
    ) -> list[messages.Header]:
        """Returns the headers of a request to an endpoint.

        Args:
            request: the caller's request.
            added: values of the headers to add.
        """

    def decode_answer(self, head: AnswerHead) -> AnswerFacts:
        """Decodes the headers of an endpoint's answer."""

    def relayed_headers(self, head: AnswerHead) -> list[messages.Header]:
        """Returns the headers of an endpoint's answer that are relayed."""

    def own_answer_headers(
        self, facts: messages.RequestMetadata
    ) -> list[messages.Header]:
        """Returns the headers of an answer that the gateway itself creates."""
