"""Requests behind which nothing more is read, such as those for another protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aiohttp import web

KNOWN_UPGRADES = ("tcp", "websocket")
"""Values of ``Upgrade`` behind which the HTTP library continues to read requests."""


def is_rest_lost(request: web.BaseRequest) -> bool:
    """Check whether nothing is read behind a request, so that its connection has to be closed.

    Nothing is read behind a malformed body, behind a tunnel's request with a body, and behind a
    request for another protocol that the HTTP library doesn't know.

    :param request: the request, once its body was read or refused
    :return: whether what follows it is lost
    """
    if request.method == "CONNECT":
        return _announces_body(request)
    # the HTTP library has no public name for it
    is_upgrade = request._message.upgrade
    is_known = request.headers.get("Upgrade", "").lower() in KNOWN_UPGRADES
    return request.content.exception() is not None or (is_upgrade and not is_known)


def _announces_body(request: web.BaseRequest) -> bool:
    # the HTTP library would read it as the next request
    length = request.headers.get("Content-Length", "0")
    return length != "0" or "Transfer-Encoding" in request.headers


__all__ = ["is_rest_lost"]
