"""Errors of requests to an engine."""

from __future__ import annotations


class EngineError(Exception):
    """A request to the engine failed."""


class EngineConnectionError(EngineError):
    """The engine's connection was refused, reset or closed."""


class EngineUnreachableError(EngineConnectionError):
    """No connection to the engine could be opened; nothing was sent."""


class EngineTimeoutError(EngineError):
    """The engine did not respond before the timeout."""


class EngineRefusedError(EngineError):
    """The engine refused the request or sent an invalid response.

    :param status: HTTP status code
    :param detail: reason
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
