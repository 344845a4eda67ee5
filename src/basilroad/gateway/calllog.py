"""Log lines of the decisions that touch a call."""

from __future__ import annotations

import logging
import time
from functools import singledispatch
from typing import TYPE_CHECKING, Any

import attrs

from basilroad.gateway.attempt import MayHaveRun, NotRun
from basilroad.gateway.call import Reply

if TYPE_CHECKING:
    from basilroad.errors import Refusal
    from basilroad.gateway.call import Call
    from basilroad.gateway.endpoint import Endpoint

_LOGGER = logging.getLogger(__name__)
_MS_PER_S = 1000


@attrs.frozen
class AttemptRecord:
    """One attempt that has ended.

    :param call: the call
    :param endpoint: where it was sent
    :param outcome: what became of it
    :param took_s: seconds that it took
    :param last_event: last event passed on, for a stream
    :param copy_at: endpoint that kept a copy of its memory
    """

    call: Call
    endpoint: Endpoint
    outcome: object
    took_s: float
    last_event: int | None = None
    copy_at: str | None = None


def log_attempt(attempt: AttemptRecord) -> None:
    """Write what became of one attempt.

    :param attempt: the attempt
    """
    now = time.monotonic()
    call, endpoint = attempt.call, attempt.endpoint
    fields: dict[str, Any] = {
        "request": call.id,
        "route": call.route.name,
        "rank": call.rank,
        "endpoint": endpoint.id,
        "data_centre": endpoint.entry.data_centre,
        "calls_there": endpoint.load.calls,
        "heard_ms_ago": _to_ms(now - endpoint.heard_at) if endpoint.heard_at > 0 else None,
        "took_ms": _to_ms(attempt.took_s),
        **describe_outcome(attempt.outcome),
    }
    if attempt.last_event is not None:
        fields["last_event"] = attempt.last_event
        fields["copy_at"] = attempt.copy_at
    _LOGGER.info("attempt", extra=fields)


def log_copy(call: Call, holder: Endpoint, events: int) -> None:
    """Write that a stream goes on from a copy of its memory.

    :param call: the call
    :param holder: endpoint that keeps the copy
    :param events: last event passed on
    """
    _LOGGER.info(
        "resume from copy",
        extra={"request": call.id, "endpoint": holder.id, "last_event": events},
    )


def log_refusal(request_id: str, refusal: Refusal, waited_s: float, **inputs: object) -> None:
    """Write that a call ends without an endpoint's answer.

    :param request_id: the call
    :param refusal: how it ends
    :param waited_s: seconds since it arrived
    :param inputs: what decided it
    """
    _LOGGER.info(
        "refuse",
        extra={
            "request": request_id,
            "kind": refusal.kind.value,
            "effect": refusal.answer.effect.value,
            "detail": refusal.message,
            "waited_ms": _to_ms(waited_s),
            **inputs,
        },
    )


@singledispatch
def describe_outcome(outcome: object) -> dict[str, Any]:
    """Describe what became of an attempt.

    :param outcome: the outcome
    :return: fields of its log line
    """
    return {"outcome": type(outcome).__name__.lower()}


@describe_outcome.register
def _(outcome: NotRun) -> dict[str, Any]:
    return {"outcome": "not_run", "detail": outcome.detail}


@describe_outcome.register
def _(outcome: MayHaveRun) -> dict[str, Any]:
    return {"outcome": "may_have_run", "detail": outcome.detail}


@describe_outcome.register
def _(outcome: Reply) -> dict[str, Any]:
    return {"outcome": "answered", "status": outcome.status}


def _to_ms(seconds: float) -> int:
    return round(seconds * _MS_PER_S)


__all__ = ["AttemptRecord", "describe_outcome", "log_attempt", "log_copy", "log_refusal"]
