"""Calls from callers, as the gateway handles them, and their answers."""

from __future__ import annotations

from typing import Protocol

import attrs

from basilroad.gateway.route import Route

Headers = tuple[tuple[str, str], ...]


@attrs.frozen
class PromptSize:
    """Size of a generation.

    :param prompt_tokens: tokens to read
    :param output_tokens: most tokens that are generated
    """

    prompt_tokens: int = 0
    output_tokens: int = 0

    @property
    def total(self) -> int:
        """:return: tokens of engine memory that the whole generation takes."""
        return self.prompt_tokens + self.output_tokens


@attrs.frozen
class Call:
    """One request of a caller, admitted to a route.

    :param id: names the caller's request; endpoints echo it
    :param method: HTTP method
    :param target: path and query, as sent
    :param headers: headers that are passed on unchanged
    :param body: whole body
    :param route: route in force when the call arrived
    :param service: service that takes the call
    :param workspace: name of the caller's workspace; empty without one
    :param rank: order of urgency, 0 first
    :param arrived_at: monotonic seconds at which the call was read
    :param expires_at: monotonic seconds at which its final answer is due
    :param size: tokens of a generation; zero for other calls
    :param resume_after: last event that the caller has; empty for a call from the start
    :param prompt_key: names the prompt of a generation; empty without one
    """

    id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    route: Route
    service: str
    workspace: str
    rank: int
    arrived_at: float
    expires_at: float
    size: PromptSize = PromptSize()
    resume_after: str = ""
    prompt_key: str = ""

    @property
    def on_time_until(self) -> float:
        """:return: monotonic seconds until which an answer is on time."""
        return min(self.expires_at, self.arrived_at + self.route.latency_target_s)

    @property
    def events_had(self) -> int:
        """:return: events that the caller has, from their number."""
        return int(self.resume_after) if self.resume_after.isdigit() else 0


@attrs.frozen
class Reply:
    """A whole answer.

    :param status: status code
    :param headers: headers that are passed on
    :param body: whole body
    """

    status: int
    headers: Headers
    body: bytes


class Responder(Protocol):
    """Takes the answer of one call to its caller."""

    async def begin(self, status: int, headers: Headers) -> None:
        """Start a streamed answer.

        :param status: status code
        :param headers: headers of the answer
        """

    async def write(self, data: bytes) -> None:
        """Pass on a part of a streamed answer.

        :param data: whole events
        """


__all__ = ["Call", "Headers", "PromptSize", "Reply", "Responder"]
