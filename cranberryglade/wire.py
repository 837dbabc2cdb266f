"""Messages between processes, as JSON over HTTP.

Decoding rejects unknown fields and wrong types. Fields that hold a quantity
name its unit.
"""

from typing import Any
from typing import TypeVar

import msgspec
from returns.result import Result

from cranberryglade import decoding
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
    """A caller's request.

    Attributes:
        kind: name of a rule of the configuration.
        prompt: text for a model.
        prefix: name of the part of the prompt shared by many requests.
        prompt_tokens: length of the prompt; estimated when absent.
        max_tokens: maximum length of the answer; the rule's limit when absent.
        payload: arguments for a plain service.
        deadline_ms: time allowed for the whole answer, from arrival on.
        ticket: request id that was issued in advance.
        stream: whether to answer with server-sent events.
    """

    kind: str
    prompt: str = ""
    prefix: str = ""
    prompt_tokens: decoding.Integer | None = None
    max_tokens: decoding.Integer | None = None
    payload: dict[str, Any] | None = None
    deadline_ms: decoding.Integer | None = None
    ticket: str | None = None
    stream: bool = False


class VerdictDocument(Document, omit_defaults=True):
    """The verdict or the present state of a request.

    Attributes:
        verdict: "ran", "not_run" or "may_have_run"; also "pending" or
            "unknown" when the state of a request is looked up.
        request_id: the request, once it has an id.
        reason: cause of the verdict, as in verdicts.Reason.
        retry_after_ms: time to wait before a retry.
        detail: explanation for a person.
        answer: the whole answer of a request that ran.
    """

    verdict: str
    request_id: str = ""
    reason: str = ""
    retry_after_ms: decoding.Integer | None = None
    detail: str = ""
    answer: msgspec.Raw = NO_ANSWER


class AnswerDocument(Document):
    """A whole answer of a model.

    Attributes:
        text: the generated text.
        tokens: number of tokens generated.
    """

    text: str
    tokens: decoding.Integer


class TicketsRequest(Document):
    """Requests several tickets at once.

    Attributes:
        count: number of tickets, 1 to 1000.
    """

    count: decoding.Integer = 1


class TicketsDocument(Document):
    """Request ids whose home is the instance that answers.

    Attributes:
        tickets: the ids; each may be used for one request.
    """

    tickets: list[str]


class EngineRequest(Document, kw_only=True):
    """A request as sent to an engine or a plain service.

    Attributes:
        request_id: the request.
        attempt: number of the dispatch.
        prompt: text for a model.
        prefix: name of the shared part of the prompt.
        prompt_tokens: length of the prompt.
        max_tokens: maximum length of the answer; 0 for a plain service.
        payload: arguments for a plain service.
        kind: the rule's name.
    """

    request_id: str
    attempt: decoding.Integer
    kind: str
    prompt: str = ""
    prefix: str = ""
    prompt_tokens: decoding.Integer = 0
    max_tokens: decoding.Integer = 0
    payload: dict[str, Any] | None = None


class DelegatedRequest(Document, kw_only=True):
    """A request delegated by its home to a peer, or forwarded to its home.

    Attributes:
        request: the caller's request.
        request_id: id issued by the home, or the ticket.
        organisation: organisation of the caller.
        key: the caller's idempotency key; "" when delegated.
        attempt: number of the home's dispatch; 0 when forwarded to the home.
        remaining_ms: time left until the deadline.
        first_token_ms: time left until the first token is due.
        version: version of the configuration in force at the sender.
        idempotent: whether the sender's rule allows another dispatch.
    """

    request: RequestDocument
    request_id: str
    organisation: str
    key: str = ""
    attempt: decoding.Integer = 0
    remaining_ms: decoding.Integer
    first_token_ms: decoding.Integer
    version: decoding.Integer = 0
    idempotent: bool = False


class LookupDocument(Document):
    """Looks up a request at an instance, or cancels it.

    Attributes:
        request_id: the request.
        organisation: organisation that the request must belong to.
        cancel: whether to cancel it.
    """

    request_id: str
    organisation: str
    cancel: bool = False


class InstanceDocument(Document, kw_only=True):
    """An instance in the platform's list.

    Attributes:
        name: name that the platform gives it.
        role: "entry", "engine" or "service".
        incarnation: identifies the process among those of that name.
        address: "host:port".
        failure_domain: failure domain that it runs in.
        state: "live" or "leaving".
        target: model or service; "" for entry instances.
        generation: hardware generation.
        slots: number of requests it can run at once.
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
    slots: decoding.Integer = 8
    fenced: bool = False


class InstanceList(Document):
    """The platform's list of instances, which lags behind their state.

    Attributes:
        instances: live and leaving instances of all roles.
    """

    instances: list[InstanceDocument]


def decode(data: bytes, document_type: type[T]) -> Result[T, str]:
    """Decodes a message from JSON.

    Args:
        data: the JSON.
        document_type: type of the message.

    Returns:
        The message, or a description of the first problem found.
    """
    return decoding.from_json(data, document_type)


def encode(document: Any) -> bytes:
    """Encodes a message as JSON."""
    return msgspec.json.encode(document)


def verdict_document(
    request_id: str, verdict: verdicts.Verdict, detail: str = ""
) -> VerdictDocument:
    """Returns the message for a verdict, without an answer.

    Args:
        request_id: the request; "" if it has no id.
        verdict: the verdict.
        detail: explanation for a person; left out if the request ran.
    """
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
    """Returns the verdict in a message from another process.

    An unknown verdict becomes MayHaveRun, and an unknown reason ANSWER_LOST.
    CONNECTION_REFUSED becomes NO_ENDPOINT: the connection from this instance
    succeeded, and the other process sent the request to no endpoint.
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
