"""Verdicts: whether a request ran, did not run, or may have run."""

import dataclasses
import enum


class Reason(enum.Enum):
    """Why a request has its verdict; the value is sent on the wire.

    Attributes:
        MALFORMED: the request cannot be read, or a field is out of range.
        UNAUTHENTICATED: the token or signature is missing or wrong.
        FORBIDDEN: the ticket belongs to another organisation's request.
        UNKNOWN_KIND: no rule of the configuration has the name of its kind.
        UNKNOWN_PATH: no resource has the path of the HTTP request.
        WRONG_METHOD: the path allows only the methods named in "Allow".
        UNKNOWN_REQUEST: no known request of the organisation has that id.
        TOO_LARGE: the body is longer than the instance accepts.
        KEY_REUSED: its key or ticket belongs to a request with other content.
        SHED: under load, no capacity was left for it before its deadline.
        DEADLINE_CANNOT_BE_MET: it could not be answered by its deadline.
        DEADLINE_PASSED: its deadline passed before it ran.
        NO_ENDPOINT: no live endpoint offers its model or service.
        QUARANTINED: endpoints crashed under requests with its prefix, which
            are not sent for a while.
        STOPPING: the instance is stopping; another one accepts the request.
        CANCELLED: the caller cancelled it.
        PLATFORM_UNAVAILABLE: the instance has no configuration yet, or the
            key cannot be claimed at the platform now; the outcome of earlier
            requests with that key is not known.
        CONNECTION_REFUSED: no connection was made, so nothing was sent.
        ENDPOINT_REFUSED: the endpoint answered that it did not start it.
        ANSWER_LOST: it was sent, and the answer did not arrive.
        ANSWER_NOT_WHOLE: the answer had gaps or belonged to another request.
        ENDPOINT_SILENT: it was sent, and the endpoint sent nothing in time.
        ENDPOINT_LOST: it was sent, and when its answer broke off the endpoint
            could not be reached again.
        PEER_LOST: it was sent to a peer, and the peer sent nothing in time.
        HOME_UNREACHABLE: the instance that knows its outcome is unreachable.
        RETENTION_PASSED: its answer or outcome is no longer retained.
        INSTANCE_CUT: it was aborted by the second stop signal to its instance.
        INTERNAL_ERROR: the instance failed with an error that it has logged.
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
    DEADLINE_CANNOT_BE_MET = "deadline_cannot_be_met"
    DEADLINE_PASSED = "deadline_passed"
    NO_ENDPOINT = "no_endpoint"
    QUARANTINED = "quarantined"
    STOPPING = "stopping"
    CANCELLED = "cancelled"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    CONNECTION_REFUSED = "connection_refused"
    ENDPOINT_REFUSED = "endpoint_refused"
    ANSWER_LOST = "answer_lost"
    ANSWER_NOT_WHOLE = "answer_not_whole"
    ENDPOINT_SILENT = "endpoint_silent"
    ENDPOINT_LOST = "endpoint_lost"
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
        retry_after_seconds: when to retry; None if a retry would not help.
    """

    reason: Reason
    retry_after_seconds: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class MayHaveRun:
    """An endpoint may have started the request; its outcome is not known.

    Attributes:
        reason: why the outcome is not known.
    """

    reason: Reason


Verdict = Ran | NotRun | MayHaveRun
