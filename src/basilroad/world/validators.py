"""Attrs validators of single values."""

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
"""Largest integer, so that each fits into the messages between processes."""

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]*")
_SHA256 = re.compile(r"[0-9a-f]{64}")


Check = Callable[[Any, "attrs.Attribute[Any]", Any], None]
"""An attrs validator."""


def allow_empty(check: Check) -> Check:
    """:return: a validator that accepts an empty string and applies ``check`` to other values."""

    def check_if_set(instance: Any, field: attrs.Attribute[Any], value: Any) -> None:
        if value != "":
            check(instance, field, value)

    return check_if_set


def check_name(_instance: Any, _field: attrs.Attribute[Any], value: str) -> None:
    """Check a name used in paths and logs.

    :raises ValueError: the name is empty, does not start with a letter or digit, or has characters
        other than letters, digits, ``.``, ``_``, ``:`` and ``-``
    """
    if not _NAME.fullmatch(value):
        raise ValueError(
            f"{value!r} is not a valid name: expected letters, digits and . _ : - only"
        )


def check_ip(_instance: Any, _field: attrs.Attribute[Any], value: str) -> None:
    """Check an IP number.

    :raises ValueError: the value is not an IP number
    """
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise ValueError(f"{value!r} is no IP number") from None


def check_address(_instance: Any, _field: attrs.Attribute[Any], value: str) -> None:
    """Check an ``ip:port``; an IPv6 number is written in square brackets.

    :raises ValueError: the value is not an ``ip:port``
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

    :raises ValueError: the value is not such a URL
    """
    try:
        parts = urlsplit(value)
        port = parts.port
    except ValueError as error:
        raise ValueError(f"{value!r} is not a URL: {error}") from None
    if parts.scheme not in ("http", "https"):
        raise ValueError(f"{value!r} is no http:// or https:// URL")
    if parts.username is not None:
        raise ValueError("must hold no user or password")
    if parts.query or parts.fragment or port == 0:
        raise ValueError(f"{value!r} is not a base URL: expected no query, fragment or port 0")
    check_ip(None, field, parts.hostname or "")


def _check_size(value: float) -> None:
    if isinstance(value, int) and abs(value) > MAX_COUNT:
        raise ValueError(f"must not be above {MAX_COUNT}")
    if not math.isfinite(value):
        raise ValueError(f"must be finite, found {value}")


def check_positive(_instance: Any, _field: attrs.Attribute[Any], value: float) -> None:
    """Check a finite number above 0.

    :raises ValueError: the value is not such a number, or is an integer above ``MAX_COUNT``
    """
    _check_size(value)
    if value <= 0:
        raise ValueError(f"must be above 0, found {value}")


def check_not_negative(_instance: Any, _field: attrs.Attribute[Any], value: float) -> None:
    """Check a finite number that is 0 or more.

    :raises ValueError: the value is not such a number, or is an integer above ``MAX_COUNT``
    """
    _check_size(value)
    if value < 0:
        raise ValueError(f"must be 0 or more, found {value}")


def check_share(_instance: Any, _field: attrs.Attribute[Any], value: float) -> None:
    """Check a fraction.

    :raises ValueError: the value is not from 0 to 1
    """
    if not 0 <= value <= 1:
        raise ValueError(f"must be from 0 to 1, found {value}")


def check_unique(_instance: Any, _field: attrs.Attribute[Any], value: tuple[Any, ...]) -> None:
    """Check that a tuple has no duplicates.

    :raises ValueError: an item occurs more than once
    """
    duplicates = sorted({str(item) for item in value if value.count(item) > 1})
    if duplicates:
        raise ValueError(f"stands twice: {', '.join(duplicates)}")


def check_sha256(_instance: Any, _field: attrs.Attribute[Any], value: str) -> None:
    """Check a SHA-256 digest in lower-case hex.

    :raises ValueError: the value is not such a digest
    """
    # The message leaves out the value, which may be a secret pasted here by mistake.
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
