"""Requests for tunnels, none of which is opened."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aiohttp import web


def has_tunnel_body(request: web.BaseRequest) -> bool:
    """Check whether the HTTP library would read the body of a request as the next request.

    :param request: the request
    :return: whether it is one for a tunnel that announces a body
    """
    length = request.headers.get("Content-Length", "0")
    is_announced = length != "0" or "Transfer-Encoding" in request.headers
    return request.method == "CONNECT" and is_announced


__all__ = ["has_tunnel_body"]
