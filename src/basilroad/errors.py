"""Error kinds and the response for each of them."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from grpclib.const import Status


class Effect(enum.Enum):
    """Whether the requested work was executed."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class ErrorKind(enum.Enum):
    """Every reason for which a request can fail."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    PROMPT_TOO_LONG = "prompt_too_long"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_GENERATION = "unknown_generation"
    KEY_REUSED = "key_reused"
    OVERLOADED = "overloaded"
    TARGET_MISSED = "target_missed"
    NO_ENDPOINT = "no_endpoint"
    DRAINING = "draining"
    STORE_UNAVAILABLE = "store_unavailable"
    POISONED = "poisoned"
    MAY_HAVE_RUN = "may_have_run"
    IN_PROGRESS = "in_progress"
    OUTCOME_LOST = "outcome_lost"
    GENERATION_LOST = "generation_lost"
    ENDPOINT_FAILED = "endpoint_failed"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    TIME_TOO_SHORT = "time_too_short"
    CRASHES_ENDPOINTS = "crashes_endpoints"
    VERSION_UNKNOWN = "version_unknown"
    VERSION_GONE = "version_gone"
    STALE_ORDER = "stale_order"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """Error response for one error kind, as sent to callers and peers.

    :param http_status: status code of the HTTP response
    :param grpc_status: status of the response between processes
    :param effect: whether the work was executed
    :param type_name: value of ``error.type`` in the body
    :param retry_after: seconds after which the request may be retried; absent if it may not
    """

    http_status: int
    grpc_status: Status
    effect: Effect
    type_name: str
    retry_after: int | None = None


_INVALID = "invalid_request_error"
_SERVER = "server_error"
_LIMIT = "rate_limit_error"

ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, Status.INVALID_ARGUMENT, Effect.NOT_RUN, _INVALID),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(413, Status.INVALID_ARGUMENT, Effect.NOT_RUN, _INVALID),
    ErrorKind.PROMPT_TOO_LONG: ErrorResponse(
        400, Status.INVALID_ARGUMENT, Effect.NOT_RUN, _INVALID
    ),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(
        401, Status.UNAUTHENTICATED, Effect.NOT_RUN, "authentication_error"
    ),
    ErrorKind.UNKNOWN_MODEL: ErrorResponse(404, Status.NOT_FOUND, Effect.NOT_RUN, _INVALID),
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(404, Status.NOT_FOUND, Effect.NOT_RUN, _INVALID),
    ErrorKind.UNKNOWN_GENERATION: ErrorResponse(
        404, Status.NOT_FOUND, Effect.MAY_HAVE_RUN, _INVALID
    ),
    ErrorKind.KEY_REUSED: ErrorResponse(422, Status.ALREADY_EXISTS, Effect.NOT_RUN, _INVALID),
    ErrorKind.OVERLOADED: ErrorResponse(429, Status.RESOURCE_EXHAUSTED, Effect.NOT_RUN, _LIMIT, 2),
    ErrorKind.TARGET_MISSED: ErrorResponse(
        429, Status.RESOURCE_EXHAUSTED, Effect.NOT_RUN, _LIMIT, 2
    ),
    ErrorKind.NO_ENDPOINT: ErrorResponse(503, Status.UNAVAILABLE, Effect.NOT_RUN, _SERVER, 1),
    ErrorKind.DRAINING: ErrorResponse(503, Status.UNAVAILABLE, Effect.NOT_RUN, _SERVER, 1),
    ErrorKind.STORE_UNAVAILABLE: ErrorResponse(503, Status.UNAVAILABLE, Effect.NOT_RUN, _SERVER, 2),
    ErrorKind.POISONED: ErrorResponse(
        422, Status.FAILED_PRECONDITION, Effect.MAY_HAVE_RUN, _INVALID
    ),
    ErrorKind.MAY_HAVE_RUN: ErrorResponse(502, Status.UNKNOWN, Effect.MAY_HAVE_RUN, _SERVER),
    ErrorKind.IN_PROGRESS: ErrorResponse(409, Status.ABORTED, Effect.MAY_HAVE_RUN, _SERVER),
    ErrorKind.OUTCOME_LOST: ErrorResponse(409, Status.DATA_LOSS, Effect.RAN, _SERVER),
    ErrorKind.GENERATION_LOST: ErrorResponse(410, Status.DATA_LOSS, Effect.MAY_HAVE_RUN, _SERVER),
    ErrorKind.ENDPOINT_FAILED: ErrorResponse(502, Status.UNAVAILABLE, Effect.MAY_HAVE_RUN, _SERVER),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(
        504, Status.DEADLINE_EXCEEDED, Effect.MAY_HAVE_RUN, _SERVER
    ),
    ErrorKind.TIME_TOO_SHORT: ErrorResponse(503, Status.DEADLINE_EXCEEDED, Effect.NOT_RUN, _SERVER),
    ErrorKind.CRASHES_ENDPOINTS: ErrorResponse(
        503, Status.FAILED_PRECONDITION, Effect.NOT_RUN, _SERVER, 600
    ),
    ErrorKind.VERSION_UNKNOWN: ErrorResponse(
        503, Status.FAILED_PRECONDITION, Effect.NOT_RUN, _SERVER, 1
    ),
    ErrorKind.VERSION_GONE: ErrorResponse(503, Status.UNAVAILABLE, Effect.NOT_RUN, _SERVER, 1),
    ErrorKind.STALE_ORDER: ErrorResponse(409, Status.FAILED_PRECONDITION, Effect.NOT_RUN, _SERVER),
    ErrorKind.INTERNAL: ErrorResponse(500, Status.INTERNAL, Effect.MAY_HAVE_RUN, _SERVER),
}


@dataclass(frozen=True, slots=True)
class Refusal:
    """An error response to a failed request.

    :param kind: error kind
    :param message: text for the caller; must not contain a prompt or a secret
    :param retry_after: seconds to wait before a retry; the default of the error kind if absent
    """

    kind: ErrorKind
    message: str
    retry_after: float | None = field(default=None)

    @property
    def answer(self) -> ErrorResponse:
        """:return: the response defined for this error kind."""
        return ERROR_RESPONSES[self.kind]


class RefusedError(Exception):
    """Propagates a refusal to the request handler that sends the response.

    :param refusal: the error response
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(f"{refusal.kind.value}: {refusal.message}")
        self.refusal = refusal


def refuse(kind: ErrorKind, message: str, retry_after: float | None = None) -> RefusedError:
    """Build the exception for a refusal.

    :param kind: error kind
    :param message: text for the caller
    :param retry_after: seconds to wait before a retry
    :return: an exception to raise
    """
    return RefusedError(Refusal(kind, message, retry_after))


__all__ = [
    "ERROR_RESPONSES",
    "Effect",
    "ErrorKind",
    "ErrorResponse",
    "Refusal",
    "RefusedError",
    "refuse",
]
