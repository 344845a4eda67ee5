"""Decodes what the servers' responses say of the server itself."""

from __future__ import annotations

import logging
import re
from typing import TYPE_CHECKING

from basilroad.gateway.notices import MAX_PAUSE_S, Notice

if TYPE_CHECKING:
    from collections.abc import Iterator

    from basilroad.endpoints.channels import ReplyHead

HEADER_LEAVING = "server-leaving"
HEADER_RETRY_AFTER = "retry-after"
HEADER_SERVER_ID = "x-instance-id"
LEAVING = "1"
STATUS_UNAVAILABLE = 503
STATUS_MISDIRECTED = 421

MAX_SECONDS_CHARACTERS = 32
"""Longest text that is read as a number of seconds; any longer one is no sensible time."""

MAX_LOGGED_CHARACTERS = 40
"""Length at which a malformed value is cut in the log."""

_SECONDS = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")

_LOGGER = logging.getLogger(__name__)


def read_notice(head: ReplyHead, endpoint_id: str) -> Notice:
    """Read what a response says of its server.

    :param head: status and headers of the response
    :param endpoint_id: id of the server that was asked
    :return: the notice; an empty one for the response of another server at the address
    """
    if head.status == STATUS_MISDIRECTED or head.get(HEADER_SERVER_ID) not in ("", endpoint_id):
        return Notice()
    leaving = any(_read_leaving(text, endpoint_id) for text in _list(head, HEADER_LEAVING))
    if head.status != STATUS_UNAVAILABLE:
        return Notice(leaving)
    read = [_read_seconds(text, endpoint_id) for text in _list(head, HEADER_RETRY_AFTER)]
    return Notice(leaving, max((value for value in read if value is not None), default=None))


def _list(head: ReplyHead, name: str) -> Iterator[str]:
    return (value.strip() for key, value in head.headers if key.lower() == name)


def _read_leaving(text: str, endpoint_id: str) -> bool:
    if text == LEAVING:
        return True
    _log_ignored(HEADER_LEAVING, text, endpoint_id)
    return False


def _read_seconds(text: str, endpoint_id: str) -> float | None:
    # float() also accepts signs, exponents, infinity and other scripts' digits
    if len(text) > MAX_SECONDS_CHARACTERS or not _SECONDS.fullmatch(text) or float(text) <= 0:
        _log_ignored(HEADER_RETRY_AFTER, text, endpoint_id)
        return None
    seconds = float(text)
    if seconds > MAX_PAUSE_S:
        _LOGGER.warning(
            "pause shortened",
            extra={"endpoint": endpoint_id, "asked_s": seconds, "limit_s": MAX_PAUSE_S},
        )
    return min(MAX_PAUSE_S, seconds)


def _log_ignored(header: str, text: str, endpoint_id: str) -> None:
    _LOGGER.warning(
        "notice ignored",
        extra={"endpoint": endpoint_id, "header": header, "value": text[:MAX_LOGGED_CHARACTERS]},
    )


__all__ = [
    "HEADER_LEAVING",
    "HEADER_RETRY_AFTER",
    "MAX_SECONDS_CHARACTERS",
    "STATUS_MISDIRECTED",
    "read_notice",
]
