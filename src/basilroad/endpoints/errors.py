"""Ways in which an engine does not do as asked."""

from __future__ import annotations


class EngineError(Exception):
    """The engine did not do as asked."""


class EngineConnectionError(EngineError):
    """The engine's connection was refused, reset or closed."""


class EngineUnreachableError(EngineConnectionError):
    """The engine took no connection; nothing was sent to it."""


class EngineTimeoutError(EngineError):
    """The engine did not answer in time."""


class EngineRefusedError(EngineError):
    """The engine refused.

    :param status: status code of its answer
    :param detail: its reason
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(f"refused with {status}: {detail}")
        self.status = status
        self.detail = detail


__all__ = [
    "EngineConnectionError",
    "EngineError",
    "EngineRefusedError",
    "EngineTimeoutError",
    "EngineUnreachableError",
]
