"""What became of a request: whether it ran, may have run, or did not run."""

import dataclasses
import enum


class Reason(enum.Enum):
    """Why a request has the verdict it has; the value goes on the wire.

    Attributes:
        MALFORMED: the request cannot be read, or a field is out of range.
        UNAUTHENTICATED: the token or signature is missing or wrong.
        FORBIDDEN: the ticket belongs to another organisation's request.
        UNKNOWN_KIND: no rule of the configuration has that name.
        UNKNOWN_PATH: there is nothing at that path.
        WRONG_METHOD: the path takes the methods named in "Allow" alone.
        UNKNOWN_REQUEST: no request of the organisation is kept by that id.
        TOO_LARGE: the body is longer than the instance takes.
        KEY_REUSED: its key or ticket belongs to a request that asks otherwise.
        SHED: load left no room for it before its deadline.
        DEADLINE: it could not be answered by its deadline.
        DEADLINE_PASSED: its deadline passed before it ran.
        NO_ENDPOINT: no live endpoint offers its model or service.
        STOPPING: the instance is stopping; another one takes it.
        CANCELLED: the caller withdrew it.
        PLATFORM_UNAVAILABLE: its key cannot be claimed at the platform now;
            what became of earlier requests with that key is not known.
        CONNECTION_REFUSED: no connection was made, so nothing was sent.
        ENDPOINT_REFUSED: the endpoint said that it did not start it.
        ANSWER_LOST: it was sent, and the answer did not arrive.
        ANSWER_NOT_WHOLE: the answer had gaps or belonged to another request.
        ENDPOINT_SILENT: it was sent, and nothing came for too long.
        PEER_LOST: a peer has it, and nothing came from there for too long.
        HOME_UNREACHABLE: the instance that knows its fate does not answer.
        RETENTION_PASSED: it was known once, and its fate is no longer kept.
        INSTANCE_CUT: an operator's second signal cut it.
        INTERNAL_ERROR: a fault of the instance itself, which it has logged.
    """

    MALFORMED = "malformed"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_KIND = "unknown_kind"
    UNKNOWN_PATH = "unknown_path"
    WRONG_METHOD = "wrong_method"
    UNKNOWN_REQUEST = "unknown_request"
    TOO_LARGE = "too_large"
    KEY_REUSED = "key_reused"
    SHED = "shed"
    DEADLINE = "deadline_cannot_be_met"
    DEADLINE_PASSED = "deadline_passed"
    NO_ENDPOINT = "no_endpoint"
    STOPPING = "stopping"
    CANCELLED = "cancelled"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    CONNECTION_REFUSED = "connection_refused"
    ENDPOINT_REFUSED = "endpoint_refused"
    ANSWER_LOST = "answer_lost"
    ANSWER_NOT_WHOLE = "answer_not_whole"
    ENDPOINT_SILENT = "endpoint_silent"
    PEER_LOST = "peer_lost"
    HOME_UNREACHABLE = "home_unreachable"
    RETENTION_PASSED = "retention_passed"
    INSTANCE_CUT = "instance_cut"
    INTERNAL_ERROR = "internal_error"


@dataclasses.dataclass(slots=True, frozen=True)
class Ran:
    """The request ran and its whole answer is known."""


@dataclasses.dataclass(slots=True, frozen=True)
class NotRun:
    """No endpoint has started the request, and none will.

    Attributes:
        reason: why it was refused.
        retry_after_seconds: when to come back; None if it would not help.
    """

    reason: Reason
    retry_after_seconds: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class MayHaveRun:
    """An endpoint may have started the request; its effect is not known.

    Attributes:
        reason: what hides the outcome.
    """

    reason: Reason


Verdict = Ran | NotRun | MayHaveRun
