"""What became of a request: whether it ran, may have run, or did not run."""

import dataclasses
import enum


class Reason(enum.Enum):
    """Why a request has the verdict it has; the value goes on the wire."""

    MALFORMED = "malformed"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_KIND = "unknown_kind"
    UNKNOWN_PATH = "unknown_path"
    WRONG_METHOD = "wrong_method"
    UNKNOWN_REQUEST = "unknown_request"
    TOO_LARGE = "too_large"
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
    HOME_UNREACHABLE = "home_unreachable"
    RETENTION_PASSED = "retention_passed"
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
