"""Checks of single values, for use as attrs validators."""

from __future__ import annotations

import ipaddress
import math
import re
from collections.abc import Callable
from typing import Any
from urllib.parse import urlsplit

import attrs

MAX_PORT = 65535

MAX_COUNT = 2**31 - 1
"""Largest whole number, so that each fits into the messages between processes."""

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]*")
_SHA256 = re.compile(r"[0-9a-f]{64}")


Check = Callable[[Any, "attrs.Attribute[Any]", Any], None]
"""An attrs validator."""


def allow_empty(check: Check) -> Check:
    """:return: a check that passes an empty text and hands any other value on."""

    def check_if_set(instance: Any, field: attrs.Attribute[Any], value: Any) -> None:
        if value != "":
            check(instance, field, value)

    return check_if_set


def check_name(_instance: Any, _field: attrs.Attribute[Any], value: str) -> None:
    """Check a name that stands in paths and logs.

    :raises ValueError: it is empty or holds other characters
    """
    if not _NAME.fullmatch(value):
        raise ValueError(f"{value!r} is no name: letters, digits and . _ : - only")


def check_ip(_instance: Any, _field: attrs.Attribute[Any], value: str) -> None:
    """Check an IP number.

    :raises ValueError: it is no IP number
    """
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise ValueError(f"{value!r} is no IP number") from None


def check_address(_instance: Any, _field: attrs.Attribute[Any], value: str) -> None:
    """Check an ``ip:port``; an IPv6 number stands in square brackets.

    :raises ValueError: it is none
    """
    number, colon, port = value.rpartition(":")
    valid_port = port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT
    if not colon or not valid_port:
        raise ValueError(f"{value!r} is no ip:port")
    bracketed = number.startswith("[") and number.endswith("]")
    if (":" in number) != bracketed:
        raise ValueError(f"{value!r} is no ip:port")
    check_ip(None, _field, number.strip("[]"))


def check_url(_instance: Any, field: attrs.Attribute[Any], value: str) -> None:
    """Check a base URL whose host is an IP number.

    :raises ValueError: it is none
    """
    try:
        parts = urlsplit(value)
        port = parts.port
    except ValueError as error:
        raise ValueError(f"{value!r} is no URL: {error}") from None
    if parts.scheme not in ("http", "https"):
        raise ValueError(f"{value!r} is no http:// or https:// URL")
    if parts.username is not None:
        raise ValueError("must hold no user or password")
    if parts.query or parts.fragment or port == 0:
        raise ValueError(f"{value!r} is no base URL")
    check_ip(None, field, parts.hostname or "")


def _check_size(value: float) -> None:
    if isinstance(value, int) and abs(value) > MAX_COUNT:
        raise ValueError(f"must not be above {MAX_COUNT}")
    if not math.isfinite(value):
        raise ValueError(f"must be finite, found {value}")


def check_positive(_instance: Any, _field: attrs.Attribute[Any], value: float) -> None:
    """Check a finite number above 0.

    :raises ValueError: it is none, or a whole number above ``MAX_COUNT``
    """
    _check_size(value)
    if value <= 0:
        raise ValueError(f"must be above 0, found {value}")


def check_not_negative(_instance: Any, _field: attrs.Attribute[Any], value: float) -> None:
    """Check a finite number that is 0 or more.

    :raises ValueError: it is none, or a whole number above ``MAX_COUNT``
    """
    _check_size(value)
    if value < 0:
        raise ValueError(f"must be 0 or more, found {value}")


def check_share(_instance: Any, _field: attrs.Attribute[Any], value: float) -> None:
    """Check a share of a whole.

    :raises ValueError: it is not from 0 to 1
    """
    if not 0 <= value <= 1:
        raise ValueError(f"must be from 0 to 1, found {value}")


def check_unique(_instance: Any, _field: attrs.Attribute[Any], value: tuple[Any, ...]) -> None:
    """Check that nothing stands twice in a list.

    :raises ValueError: something does
    """
    twice = sorted({str(item) for item in value if value.count(item) > 1})
    if twice:
        raise ValueError(f"stands twice: {', '.join(twice)}")


def check_sha256(_instance: Any, _field: attrs.Attribute[Any], value: str) -> None:
    """Check a SHA-256 digest in lower-case hex.

    :raises ValueError: it is none
    """
    # The value may be a secret that was pasted here by mistake, so it isn't shown.
    if not _SHA256.fullmatch(value):
        raise ValueError("is no SHA-256 digest: expected 64 digits of lower-case hex")


__all__ = [
    "MAX_COUNT",
    "MAX_PORT",
    "Check",
    "allow_empty",
    "check_address",
    "check_ip",
    "check_name",
    "check_not_negative",
    "check_positive",
    "check_sha256",
    "check_share",
    "check_unique",
    "check_url",
]
