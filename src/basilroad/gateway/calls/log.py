"""Log records of the decisions about a call."""

from __future__ import annotations

import logging
import time
from functools import singledispatch
from typing import TYPE_CHECKING, Any

import attrs

from basilroad.gateway.calls.attempt import MayHaveRun, NotRun
from basilroad.gateway.calls.call import Reply

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from basilroad.errors import Refusal
    from basilroad.gateway.calls.call import Call
    from basilroad.gateway.dispatch.promptplan import PromptPlan
    from basilroad.gateway.registry.endpoint import Endpoint

_LOGGER = logging.getLogger(__name__)
_MS_PER_S = 1000


@attrs.frozen
class AttemptRecord:
    """One finished attempt.

    :param call: the call
    :param endpoint: its endpoint
    :param outcome: its outcome
    :param took_s: duration in seconds
    :param last_event: last event forwarded, for a stream
    :param copy_at: id of the endpoint that kept a backup of its KV cache
    :param version: software version of the endpoint when the attempt began
    """

    call: Call
    endpoint: Endpoint
    outcome: object
    took_s: float
    last_event: int | None = None
    copy_at: str | None = None
    version: str = ""


def log_attempt(attempt: AttemptRecord, passed_over: Sequence[Mapping[str, object]] = ()) -> None:
    """Log the outcome of one attempt.

    :param attempt: the attempt
    :param passed_over: endpoints of the service that get no calls by their own notice, and why
    """
    now = time.monotonic()
    call, endpoint = attempt.call, attempt.endpoint
    fields: dict[str, Any] = {
        "request": call.id,
        "route": call.route.name,
        "rank": call.rank,
        "endpoint": endpoint.id,
        "data_centre": endpoint.entry.data_centre,
        "version": attempt.version,
        "calls_there": endpoint.load.calls,
        "heard_ms_ago": (
            _to_ms(now - endpoint.last_received_at) if endpoint.last_received_at > 0 else None
        ),
        "took_ms": _to_ms(attempt.took_s),
        **describe_outcome(attempt.outcome),
    }
    if attempt.last_event is not None:
        fields["last_event"] = attempt.last_event
        fields["copy_at"] = attempt.copy_at
    if passed_over:
        fields["passed_over"] = passed_over
    _LOGGER.info("attempt", extra=fields)


def log_service_pause(call: Call, passed_over: Sequence[Mapping[str, object]]) -> None:
    """Log that a call is refused since no endpoint of its service takes calls in time.

    :param call: the call
    :param passed_over: endpoints of the service, and why they get no calls
    """
    _LOGGER.info(
        "no endpoint takes calls",
        extra={"request": call.id, "service": call.service, "passed_over": passed_over},
    )


def log_resume_from_backup(call: Call, holder: Endpoint, events: int) -> None:
    """Log that a stream resumes from a backup of its KV cache.

    :param call: the call
    :param holder: endpoint that keeps the backup
    :param events: last event forwarded
    """
    _LOGGER.info(
        "resume from copy",
        extra={"request": call.id, "endpoint": holder.id, "last_event": events},
    )


def log_prompt_plan(call: Call, endpoint: Endpoint, plan: PromptPlan) -> None:
    """Log how the engine of an attempt gets a prompt that was run before.

    :param call: the call
    :param endpoint: the engine
    :param plan: how it gets the prompt
    """
    _LOGGER.info(
        "prompt planned",
        extra={
            "request": call.id,
            "endpoint": endpoint.id,
            "access": plan.access.value,
            "source": plan.source.id if plan.source else None,
            "reason": plan.reason or None,
        },
    )


def log_refusal(request_id: str, refusal: Refusal, waited_s: float, **inputs: object) -> None:
    """Log that a call ends without an endpoint's response.

    :param request_id: id of the call
    :param refusal: the error returned to the caller
    :param waited_s: seconds since it arrived
    :param inputs: values that led to the decision
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
    """Describe the outcome of an attempt.

    :param outcome: the outcome
    :return: fields of its log record
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


__all__ = [
    "AttemptRecord",
    "describe_outcome",
    "log_attempt",
    "log_prompt_plan",
    "log_refusal",
    "log_resume_from_backup",
    "log_service_pause",
]
