"""Calls of plain services and their answers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs

from basilroad.errors import ErrorKind, Refusal, RefusedError

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
"""Headers that are not passed on."""

DECODED_HEADERS = HOP_BY_HOP_HEADERS | {"content-encoding"}
"""Headers of a request that are not passed on, since its body was decoded here."""


SERVICE_PARTS = 4
"""Slashes before the part of a path that belongs to the service."""


@attrs.frozen
class ServiceCall:
    """One call as a caller sent it.

    :param service: name of the plain service
    :param method: HTTP method
    :param path: with its query, from the first slash on
    :param headers: that are passed on
    :param body: content
    :param contract: what the service allows
    :param deadline_s: monotonic time until which it may begin
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
        """:return: whether the contract lets it run again."""
        return self.contract.is_idempotent(self.method, self.path.partition("?")[0])

    @property
    def patience_s(self) -> float:
        """:return: seconds left in which it may begin."""
        return max(0.0, self.deadline_s - time.monotonic())


@attrs.frozen
class ServiceAnswer:
    """Answer of a plain service.

    :param status: HTTP status
    :param headers: that are passed on
    :param body: content
    """

    status: int
    headers: dict[str, str]
    body: bytes


def read_call(http: web.Request, body: bytes, view: SettingsView) -> ServiceCall:
    """Read a caller's request.

    :param http: the request
    :param body: its content
    :param view: settings in force
    :return: the call
    """
    service = http.match_info["service"]
    contract = view.service(service)
    # "/v1/services/SERVICE/REST", where the service may be percent-encoded
    rest = http.rel_url.raw_path_qs.split("/", SERVICE_PARTS)[SERVICE_PARTS]
    return ServiceCall(
        service=service,
        method=http.method,
        path=f"/{rest}",
        headers=tuple(
            (name, value)
            for name, value in http.headers.items()
            if name.lower() not in DECODED_HEADERS
        ),
        body=body,
        contract=contract,
        deadline_s=time.monotonic() + contract.patience_s,
    )


def build_answer(answer: wire.CallAnswer) -> ServiceAnswer:
    """Read an agent's answer.

    :param answer: as the agent sent it
    :return: the service's answer
    :raises RefusedError: the call was not answered
    """
    if answer.kind:
        raise RefusedError(Refusal(ErrorKind(answer.kind), answer.detail))
    headers = {h.name: h.value for h in answer.headers if h.name.lower() not in HOP_BY_HOP_HEADERS}
    return ServiceAnswer(answer.status, headers, answer.body)


__all__ = ["ServiceAnswer", "ServiceCall", "build_answer", "read_call"]
