"""Messages between processes, as JSON over HTTP.

Unknown fields and wrong types are refused; every item states its unit.
"""

from typing import Any
from typing import TypeVar

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import verdicts

T = TypeVar("T")

REQUEST_ID_HEADER = "X-Request-Id"
ATTEMPT_HEADER = "X-Attempt"
KEY_HEADER = "Idempotency-Key"
EVENT_STREAM = "text/event-stream"
NO_ANSWER = msgspec.Raw()


class Document(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base of all messages."""


class RequestDocument(Document, kw_only=True):
    """What a caller asks.

    Attributes:
        kind: name of a rule of the configuration.
        prompt: text for a model.
        prefix: name of the part of the prompt shared by many requests.
        prompt_tokens: length of the prompt; estimated when absent.
        max_tokens: longest answer wanted; the rule's bound when absent.
        payload: arguments for a plain service.
        deadline_ms: time for the whole answer, counted from arrival.
        ticket: request id obtained before.
        stream: whether to answer with server-sent events.
    """

    kind: str
    prompt: str = ""
    prefix: str = ""
    prompt_tokens: int | None = None
    max_tokens: int | None = None
    payload: dict[str, Any] | None = None
    deadline_ms: int | None = None
    ticket: str | None = None
    stream: bool = False


class VerdictDocument(Document, omit_defaults=True):
    """What became of a request.

    Attributes:
        verdict: "ran", "not_run" or "may_have_run".
        request_id: the request, once it has an id.
        reason: why, as in verdicts.Reason.
        retry_after_ms: when to come back.
        detail: explanation for a person.
        answer: the whole answer of a request that ran.
    """

    verdict: str
    request_id: str = ""
    reason: str = ""
    retry_after_ms: int | None = None
    detail: str = ""
    answer: msgspec.Raw = NO_ANSWER


class AnswerDocument(Document):
    """A whole answer of a model.

    Attributes:
        text: what it generated.
        tokens: how many tokens that took.
    """

    text: str
    tokens: int


class TicketsRequest(Document):
    """Asks for request ids in bulk.

    Attributes:
        count: how many, 1 to 1000.
    """

    count: int = 1


class TicketsDocument(Document):
    """Request ids whose home is the instance that answers.

    Attributes:
        tickets: the ids; each is for one request.
    """

    tickets: list[str]


class EngineRequest(Document, kw_only=True):
    """What an engine or a plain service is sent.

    Attributes:
        request_id: the request.
        attempt: which dispatch of it.
        prompt: text for a model.
        prefix: name of the shared part of the prompt.
        prompt_tokens: length of the prompt.
        max_tokens: longest answer wanted; 0 for a plain service.
        payload: arguments for a plain service.
        kind: the rule's name.
    """

    request_id: str
    attempt: int
    kind: str
    prompt: str = ""
    prefix: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    payload: dict[str, Any] | None = None


class DelegatedRequest(Document, kw_only=True):
    """A request that its home hands to a peer, or a caller's to its home.

    Attributes:
        request: the caller's request.
        request_id: id given by the home, or the ticket.
        organisation: who asks.
        key: the caller's idempotency key; "" when delegated.
        attempt: which dispatch of the home; 0 when brought to the home.
        remaining_ms: time left until the deadline.
        first_token_ms: time left until the first token is due.
        version: version of the configuration that the sender goes by.
        idempotent: whether the sender's rule lets it be dispatched again.
    """

    request: RequestDocument
    request_id: str
    organisation: str
    key: str = ""
    attempt: int = 0
    remaining_ms: int
    first_token_ms: int
    version: int = 0
    idempotent: bool = False


class LookupDocument(Document):
    """Asks an instance about a request, or to cancel it.

    Attributes:
        request_id: the request.
        organisation: whose request it must be.
        cancel: whether to withdraw it.
    """

    request_id: str
    organisation: str
    cancel: bool = False


class InstanceDocument(Document, kw_only=True):
    """One row of the platform's list.

    Attributes:
        name: the platform's name.
        role: "entry", "engine" or "service".
        incarnation: which process of that name.
        address: "host:port".
        failure_domain: where it runs.
        state: "live" or "leaving".
        target: model or service; "" for entry instances.
        generation: hardware generation.
        slots: requests it is built to run at once.
        fenced: whether it refuses orders with an old fencing number.
    """

    name: str
    role: str
    incarnation: str
    address: str
    failure_domain: str
    state: str = "live"
    target: str = ""
    generation: str = "g1"
    slots: int = 8
    fenced: bool = False


class InstanceList(Document):
    """The platform's lagging list.

    Attributes:
        instances: live and leaving instances of all roles.
    """

    instances: list[InstanceDocument]


def decode(data: bytes, kind: type[T]) -> Result[T, str]:
    """Reads a message; the failure says what is wrong with it."""
    try:
        return Success(msgspec.json.decode(data, type=kind))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Failure(str(error))


def encode(document: Any) -> bytes:
    """Writes a message as JSON."""
    return msgspec.json.encode(document)


def verdict_document(
    request_id: str, verdict: verdicts.Verdict, detail: str = ""
) -> VerdictDocument:
    """Writes a verdict without an answer."""
    match verdict:
        case verdicts.Ran():
            return VerdictDocument(verdict="ran", request_id=request_id)
        case verdicts.NotRun(reason=reason, retry_after_seconds=retry):
            return VerdictDocument(
                verdict="not_run",
                request_id=request_id,
                reason=reason.value,
                retry_after_ms=None if retry is None else _milliseconds(retry),
                detail=detail,
            )
        case verdicts.MayHaveRun(reason=reason):
            return VerdictDocument(
                verdict="may_have_run",
                request_id=request_id,
                reason=reason.value,
                detail=detail,
            )


def read_verdict(document: VerdictDocument) -> verdicts.Verdict:
    """Reads the verdict of another process.

    One that cannot be understood may have run. A connection that was refused
    there was not refused here: it reads as the want of an endpoint there, for
    nothing was sent to any.
    """
    try:
        reason = verdicts.Reason(document.reason)
    except ValueError:
        reason = verdicts.Reason.ANSWER_LOST
    if reason is verdicts.Reason.CONNECTION_REFUSED:
        reason = verdicts.Reason.NO_ENDPOINT
    match document.verdict:
        case "not_run":
            retry = document.retry_after_ms
            return verdicts.NotRun(
                reason, None if retry is None else retry / 1000
            )
        case "ran":
            return verdicts.Ran()
        case _:
            return verdicts.MayHaveRun(reason)


def _milliseconds(seconds: float) -> int:
    return max(0, round(seconds * 1000))
