"""JSON log lines and the lines that tell each routing or placement decision."""

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
_RENAMED = {"levelname": "level", "name": "logger"}


@attrs.frozen
class Candidate:
    """An endpoint that a decision weighed.

    :param endpoint: name of the endpoint
    :param score: sum that was compared, lower is better; none or infinite if it was not eligible
    :param parts: what the score is made of, by name
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
    :param chosen: name of what was chosen, empty if nothing was
    :param candidates: what was weighed, in the order in which it was weighed
    :param reason: short text that tells why
    """

    what: str
    request: str = ""
    generation: str = ""
    attempt: int = 0
    chosen: str = ""
    candidates: tuple[Candidate, ...] = ()
    reason: str = ""


class ForbiddenFieldFilter(logging.Filter):
    """Drops the extra fields that could hold a prompt, an answer or a secret."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Remove forbidden fields from a record.

        :param record: changed in place
        :return: always true, the record itself is kept
        """
        for name in [n for n in vars(record) if _is_forbidden(n)]:
            delattr(record, name)
        for name, value in vars(record).items():
            if isinstance(value, Mapping | list | tuple) and name != "args":
                setattr(record, name, _drop_forbidden(value, _MAX_DEPTH))
        return True


def configure_logs(host: str, level: str | int, handler: logging.Handler | None = None) -> None:
    """Send every log line of this process somewhere as one JSON object.

    :param host: name of this host, part of each line
    :param level: lowest level that is written
    :param handler: writes the lines; to stderr if left out
    :raises ValueError: the level is unknown
    """
    formatter = MsgspecFormatter(
        _FIELDS, rename_fields=_RENAMED, static_fields={"host": host}, timestamp="time"
    )
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    handler.addFilter(ForbiddenFieldFilter())
    root = logging.getLogger()
    root.setLevel(level.upper() if isinstance(level, str) else level)
    root.handlers[:] = [handler]


def log_decision(logger: logging.Logger, decision: Decision) -> None:
    """Write one line for a routing or placement decision.

    :param logger: logger of the module that decided
    :param decision: what was decided and why
    """
    if not logger.isEnabledFor(logging.INFO):
        return
    logger.info("%s", decision.what, extra={"decision": msgspec.to_builtins(decision)})


def _is_forbidden(name: object) -> bool:
    return isinstance(name, str) and name.lower().replace("-", "_") in FORBIDDEN_FIELDS


def _drop_forbidden(value: Any, depth: int) -> Any:
    if isinstance(value, Mapping):
        if not depth:
            return {}
        kept = {k: v for k, v in value.items() if not _is_forbidden(k)}
        return {k: _drop_forbidden(v, depth - 1) for k, v in kept.items()}
    if isinstance(value, list | tuple):
        return [_drop_forbidden(v, depth - 1) for v in value] if depth else []
    return value


__all__ = [
    "FORBIDDEN_FIELDS",
    "Candidate",
    "Decision",
    "ForbiddenFieldFilter",
    "configure_logs",
    "log_decision",
]
