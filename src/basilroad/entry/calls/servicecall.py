"""Calls to plain services and their answers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs

from basilroad.errors import ErrorKind, Refusal, RefusedError
from basilroad.http.headervalues import decode_header_value

if TYPE_CHECKING:
    from aiohttp import web

    from basilroad.peers.wire import peer_pb2 as wire
    from basilroad.settings.view import SettingsView
    from basilroad.world.contract import Contract

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "authorization",
    }
)
"""Headers that are not forwarded."""

DECODED_HEADERS = HOP_BY_HOP_HEADERS | {"content-encoding"}
"""Headers of a request that are not forwarded, since the entry has decoded its body."""


SERVICE_PATH_SLASHES = 4
"""Slashes in a path up to and including the one before the service's part."""


@attrs.frozen
class ServiceCall:
    """A call as the caller sent it.

    :param service: name of the plain service
    :param method: HTTP method
    :param path: with its query, from the first slash on
    :param headers: forwarded headers
    :param body: body of the request
    :param contract: settings of the service
    :param deadline_s: monotonic time until which the call may start
    """

    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    contract: Contract
    deadline_s: float

    @property
    def idempotent(self) -> bool:
        """:return: whether the contract declares the call idempotent."""
        return self.contract.is_idempotent(self.method, self.path.partition("?")[0])

    @property
    def remaining_wait_s(self) -> float:
        """:return: seconds left in which the call may start."""
        return max(0.0, self.deadline_s - time.monotonic())


@attrs.frozen
class ServiceAnswer:
    """Answer of a plain service.

    :param status: HTTP status
    :param headers: forwarded headers
    :param body: body of the response
    """

    status: int
    headers: dict[str, str]
    body: bytes


def read_call(http: web.Request, body: bytes, view: SettingsView) -> ServiceCall:
    """Read a caller's request.

    :param http: the request
    :param body: body of the request
    :param view: settings in force
    :return: the call
    """
    service = http.match_info["service"]
    contract = view.service(service)
    # "/v1/services/SERVICE/REST", where the service may be percent-encoded
    rest = http.rel_url.raw_path_qs.split("/", SERVICE_PATH_SLASHES)[SERVICE_PATH_SLASHES]
    return ServiceCall(
        service=service,
        method=http.method,
        path=f"/{rest}",
        headers=tuple(
            (name, decode_header_value(value))
            for name, value in http.headers.items()
            if name.lower() not in DECODED_HEADERS
        ),
        body=body,
        contract=contract,
        deadline_s=time.monotonic() + contract.patience_s,
    )


def read_answer(answer: wire.CallAnswer) -> ServiceAnswer:
    """Read an agent's answer.

    :param answer: message from the agent
    :return: the service's answer
    :raises RefusedError: the agent reported an error instead of an answer
    """
    if answer.kind:
        raise RefusedError(Refusal(ErrorKind(answer.kind), answer.detail))
    headers = {h.name: h.value for h in answer.headers if h.name.lower() not in HOP_BY_HOP_HEADERS}
    return ServiceAnswer(answer.status, headers, answer.body)


__all__ = ["ServiceAnswer", "ServiceCall", "read_answer", "read_call"]
