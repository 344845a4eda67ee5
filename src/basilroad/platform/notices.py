"""Decodes the notices of servers in their responses."""

from __future__ import annotations

import logging
import math
import re
from typing import TYPE_CHECKING

from basilroad.gateway.registry.notices import MAX_PAUSE_S, Notice

if TYPE_CHECKING:
    from collections.abc import Iterator

    from basilroad.http.messages import ReplyHead

HEADER_LEAVING = "server-leaving"
HEADER_RETRY_AFTER = "retry-after"
HEADER_LIMIT = "server-limit"  # requests a second of all gateways together
HEADER_SERVER_ID = "x-instance-id"
LEAVING = "1"
STATUS_UNAVAILABLE = 503
STATUS_MISDIRECTED = 421

MAX_NUMBER_CHARACTERS = 32
"""Longest text that is read as a number; any longer one is no sensible value."""

MIN_LIMIT_PER_S = 0.1
"""Smallest limit; below it no response would show its end in time."""

MAX_LIMIT_PER_S = 1e6
"""Limit beyond which there is none: more than all hosts send."""

MAX_LOGGED_CHARACTERS = 40
"""Length at which a malformed value is cut in the log."""

_DECIMAL = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")

_LOGGER = logging.getLogger(__name__)


def read_notice(head: ReplyHead, endpoint_id: str) -> Notice:
    """Read the notice of the server in a response.

    :param head: status and headers of the response
    :param endpoint_id: id of the server to which the request was sent
    :return: the notice; an empty one for the response of another server at the address
    """
    if _is_from_other(head, endpoint_id):
        return Notice()
    leaving = any(_read_leaving(text, endpoint_id) for text in _list(head, HEADER_LEAVING))
    if head.status != STATUS_UNAVAILABLE:
        return Notice(leaving)
    read = [_read_seconds(text, endpoint_id) for text in _list(head, HEADER_RETRY_AFTER)]
    return Notice(leaving, max((value for value in read if value is not None), default=None))


def read_limit(head: ReplyHead, endpoint_id: str) -> float | None:
    """Read the limit that a response names.

    :param head: status and headers of the response
    :param endpoint_id: id of the server to which the request was sent
    :return: requests a second, the lowest of several values; infinite if it names none; ``None``
        for the response of another server at the address
    """
    if _is_from_other(head, endpoint_id):
        return None
    limits = [_read_limit(text, endpoint_id) for text in _list(head, HEADER_LIMIT)]
    return min(limits, default=math.inf)


def _is_from_other(head: ReplyHead, endpoint_id: str) -> bool:
    return head.status == STATUS_MISDIRECTED or head.get(HEADER_SERVER_ID) not in ("", endpoint_id)


def _read_limit(text: str, endpoint_id: str) -> float:
    if len(text) > MAX_NUMBER_CHARACTERS or not _DECIMAL.fullmatch(text):
        _log_ignored(HEADER_LIMIT, text, endpoint_id)
        return math.inf
    per_s = float(text)
    if per_s < MIN_LIMIT_PER_S:
        _LOGGER.warning(
            "limit raised",
            extra={"endpoint": endpoint_id, "named_per_s": per_s, "used_per_s": MIN_LIMIT_PER_S},
        )
    return max(MIN_LIMIT_PER_S, per_s) if per_s <= MAX_LIMIT_PER_S else math.inf


def _list(head: ReplyHead, name: str) -> Iterator[str]:
    return (value.strip() for key, value in head.headers if key.lower() == name)


def _read_leaving(text: str, endpoint_id: str) -> bool:
    if text == LEAVING:
        return True
    _log_ignored(HEADER_LEAVING, text, endpoint_id)
    return False


def _read_seconds(text: str, endpoint_id: str) -> float | None:
    # float() also accepts signs, exponents, infinity and other scripts' digits
    if len(text) > MAX_NUMBER_CHARACTERS or not _DECIMAL.fullmatch(text) or float(text) <= 0:
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
    "HEADER_LIMIT",
    "HEADER_RETRY_AFTER",
    "MAX_LIMIT_PER_S",
    "MAX_NUMBER_CHARACTERS",
    "MIN_LIMIT_PER_S",
    "STATUS_MISDIRECTED",
    "read_limit",
    "read_notice",
]
