"""Closed list of error kinds and the answer that each one gets."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from grpclib.const import Status


class Effect(enum.Enum):
    """What a refusal says about the work it refers to."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class ErrorKind(enum.Enum):
    """Every way in which a request can end without its answer."""

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
    STALE_ORDER = "stale_order"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class Answer:
    """How one error kind is told to callers and peers.

    :param http_status: status code of the HTTP answer
    :param grpc_status: status of the answer between processes
    :param effect: whether the work ran
    :param type_name: value of ``error.type`` in the body
    :param retry_after: seconds after which the request may be sent again, if it may
    """

    http_status: int
    grpc_status: Status
    effect: Effect
    type_name: str
    retry_after: int | None = None


_INVALID = "invalid_request_error"
_SERVER = "server_error"
_LIMIT = "rate_limit_error"

ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, Status.INVALID_ARGUMENT, Effect.NOT_RUN, _INVALID),
    ErrorKind.BODY_TOO_LARGE: Answer(413, Status.INVALID_ARGUMENT, Effect.NOT_RUN, _INVALID),
    ErrorKind.PROMPT_TOO_LONG: Answer(400, Status.INVALID_ARGUMENT, Effect.NOT_RUN, _INVALID),
    ErrorKind.UNAUTHENTICATED: Answer(
        401, Status.UNAUTHENTICATED, Effect.NOT_RUN, "authentication_error"
    ),
    ErrorKind.UNKNOWN_MODEL: Answer(404, Status.NOT_FOUND, Effect.NOT_RUN, _INVALID),
    ErrorKind.UNKNOWN_SERVICE: Answer(404, Status.NOT_FOUND, Effect.NOT_RUN, _INVALID),
    ErrorKind.UNKNOWN_GENERATION: Answer(404, Status.NOT_FOUND, Effect.MAY_HAVE_RUN, _INVALID),
    ErrorKind.KEY_REUSED: Answer(422, Status.ALREADY_EXISTS, Effect.NOT_RUN, _INVALID),
    ErrorKind.OVERLOADED: Answer(429, Status.RESOURCE_EXHAUSTED, Effect.NOT_RUN, _LIMIT, 2),
    ErrorKind.TARGET_MISSED: Answer(429, Status.RESOURCE_EXHAUSTED, Effect.NOT_RUN, _LIMIT, 2),
    ErrorKind.NO_ENDPOINT: Answer(503, Status.UNAVAILABLE, Effect.NOT_RUN, _SERVER, 1),
    ErrorKind.DRAINING: Answer(503, Status.UNAVAILABLE, Effect.NOT_RUN, _SERVER, 1),
    ErrorKind.STORE_UNAVAILABLE: Answer(503, Status.UNAVAILABLE, Effect.NOT_RUN, _SERVER, 2),
    ErrorKind.POISONED: Answer(422, Status.FAILED_PRECONDITION, Effect.MAY_HAVE_RUN, _INVALID),
    ErrorKind.MAY_HAVE_RUN: Answer(502, Status.UNKNOWN, Effect.MAY_HAVE_RUN, _SERVER),
    ErrorKind.IN_PROGRESS: Answer(409, Status.ABORTED, Effect.MAY_HAVE_RUN, _SERVER),
    ErrorKind.OUTCOME_LOST: Answer(409, Status.DATA_LOSS, Effect.RAN, _SERVER),
    ErrorKind.GENERATION_LOST: Answer(410, Status.DATA_LOSS, Effect.MAY_HAVE_RUN, _SERVER),
    ErrorKind.ENDPOINT_FAILED: Answer(502, Status.UNAVAILABLE, Effect.MAY_HAVE_RUN, _SERVER),
    ErrorKind.DEADLINE_EXCEEDED: Answer(
        504, Status.DEADLINE_EXCEEDED, Effect.MAY_HAVE_RUN, _SERVER
    ),
    ErrorKind.TIME_TOO_SHORT: Answer(503, Status.DEADLINE_EXCEEDED, Effect.NOT_RUN, _SERVER),
    ErrorKind.STALE_ORDER: Answer(409, Status.FAILED_PRECONDITION, Effect.NOT_RUN, _SERVER),
    ErrorKind.INTERNAL: Answer(500, Status.INTERNAL, Effect.MAY_HAVE_RUN, _SERVER),
}


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that ended without its answer.

    :param kind: entry of the closed list
    :param message: text for the caller; never holds a prompt or a secret
    :param retry_after: seconds to wait before sending again; the table's value if absent
    """

    kind: ErrorKind
    message: str
    retry_after: float | None = field(default=None)

    @property
    def answer(self) -> Answer:
        """:return: the answer that the table gives for this kind."""
        return ANSWERS[self.kind]


class RefusedError(Exception):
    """Carries a refusal up to the place that answers it.

    :param refusal: what is answered
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(f"{refusal.kind.value}: {refusal.message}")
        self.refusal = refusal


def refuse(kind: ErrorKind, message: str, retry_after: float | None = None) -> RefusedError:
    """Build the exception for a refusal.

    :param kind: entry of the closed list
    :param message: text for the caller
    :param retry_after: seconds to wait before sending again
    :return: an exception to raise
    """
    return RefusedError(Refusal(kind, message, retry_after))


__all__ = ["ANSWERS", "Answer", "Effect", "ErrorKind", "Refusal", "RefusedError", "refuse"]
