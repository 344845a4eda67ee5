"""Requests and heads of responses on a connection, and its errors."""

from __future__ import annotations

import attrs

NO_REQUEST_ID = ""
"""Id of requests whose responses name none."""


class ChannelError(Exception):
    """The connection failed or the response is not valid HTTP.

    :param detail: description of the failure
    """


class ConnectError(ChannelError):
    """No connection could be opened; no byte of the request was sent."""


class RequestEncodingError(ChannelError):
    """The request is not valid HTTP; no byte of it was sent."""


@attrs.frozen
class ReplyHead:
    """Status line and headers of a response.

    :param status: status code
    :param headers: header names, as sent, and values
    """

    status: int
    headers: tuple[tuple[str, str], ...]

    def get(self, name: str) -> str:
        """:return: value of a header by its name in lower case, empty without one."""
        return next((value for key, value in self.headers if key.lower() == name), "")


@attrs.frozen
class OutgoingRequest:
    """A request to an endpoint.

    :param method: HTTP method
    :param target: path and query, as the caller sent them
    :param headers: all headers except Content-Length
    :param body: whole body
    :param id: id that the endpoint echoes in its response; ``NO_REQUEST_ID`` without one
    """

    method: str
    target: str
    headers: tuple[tuple[str, str | bytes], ...]
    body: bytes = b""
    id: str = NO_REQUEST_ID


__all__ = [
    "NO_REQUEST_ID",
    "ChannelError",
    "ConnectError",
    "OutgoingRequest",
    "ReplyHead",
    "RequestEncodingError",
]
