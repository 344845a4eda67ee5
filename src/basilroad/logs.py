"""JSON log lines and log records of routing and placement decisions."""

from __future__ import annotations

import logging
import sys
from collections.abc import Mapping
from typing import Any

import attrs
import msgspec
from pythonjsonlogger.msgspec import MsgspecFormatter

FORBIDDEN_FIELDS = frozenset(
    {
        "api_key",
        "authorization",
        "body",
        "completion",
        "content",
        "cookie",
        "credentials",
        "headers",
        "messages",
        "password",
        "prior",
        "prompt",
        "secret",
    }
)

_MAX_DEPTH = 8
_FIELDS = "%(levelname)s %(name)s %(message)s"
_RENAMED_FIELDS = {"levelname": "level", "name": "logger"}


@attrs.frozen
class Candidate:
    """An endpoint considered in a decision.

    :param endpoint: name of the endpoint
    :param score: total score, lower is better; none or infinite if it was not eligible
    :param parts: components of the score by name
    """

    endpoint: str
    score: float | None
    parts: Mapping[str, float | None] = attrs.field(factory=dict)


@attrs.frozen
class Decision:
    """One routing or placement decision.

    :param what: one of "route", "resume", "queue", "refuse", "preempt", "drain", "place", "attach"
    :param request: key of the request, empty if it concerns none
    :param generation: id of the generation, empty if there is none
    :param attempt: number of the attempt, from 0
    :param chosen: name of the chosen target, empty if there is none
    :param candidates: endpoints considered, in order of evaluation
    :param reason: short explanation
    """

    what: str
    request: str = ""
    generation: str = ""
    attempt: int = 0
    chosen: str = ""
    candidates: tuple[Candidate, ...] = ()
    reason: str = ""


class ForbiddenFieldFilter(logging.Filter):
    """Drops extra fields that could hold a prompt, a completion or a secret."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Remove forbidden fields from a record.

        :param record: modified in place
        :return: always true; the record itself is kept
        """
        for name in [n for n in vars(record) if _is_forbidden(n)]:
            delattr(record, name)
        for name, value in vars(record).items():
            if isinstance(value, Mapping | list | tuple) and name != "args":
                setattr(record, name, _remove_forbidden(value, _MAX_DEPTH))
        return True


def configure_logs(host: str, level: str | int, handler: logging.Handler | None = None) -> None:
    """Configure the process to write each log record as one JSON object per line.

    :param host: name of this host, included in each line
    :param level: minimum level that is logged
    :param handler: destination of the lines; stderr by default
    :raises ValueError: the level is unknown
    """
    formatter = MsgspecFormatter(
        _FIELDS, rename_fields=_RENAMED_FIELDS, static_fields={"host": host}, timestamp="time"
    )
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    handler.addFilter(ForbiddenFieldFilter())
    root = logging.getLogger()
    root.setLevel(level.upper() if isinstance(level, str) else level)
    root.handlers[:] = [handler]


def log_decision(logger: logging.Logger, decision: Decision) -> None:
    """Log a routing or placement decision.

    :param logger: logger of the module that made the decision
    :param decision: the decision and its reason
    """
    if not logger.isEnabledFor(logging.INFO):
        return
    logger.info("%s", decision.what, extra={"decision": msgspec.to_builtins(decision)})


def _is_forbidden(name: object) -> bool:
    return isinstance(name, str) and name.lower().replace("-", "_") in FORBIDDEN_FIELDS


def _remove_forbidden(value: Any, depth: int) -> Any:
    if isinstance(value, Mapping):
        if not depth:
            return {}
        kept = {k: v for k, v in value.items() if not _is_forbidden(k)}
        return {k: _remove_forbidden(v, depth - 1) for k, v in kept.items()}
    if isinstance(value, list | tuple):
        return [_remove_forbidden(v, depth - 1) for v in value] if depth else []
    return value


__all__ = [
    "FORBIDDEN_FIELDS",
    "Candidate",
    "Decision",
    "ForbiddenFieldFilter",
    "configure_logs",
    "log_decision",
]
