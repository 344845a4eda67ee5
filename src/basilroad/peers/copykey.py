"""Keys by which entries ask agents for running copies of a content."""

from __future__ import annotations

_PREFIX = b"copies/"


def build_copies_key(fingerprint: str) -> bytes:
    """Build the key of a lookup of copies.

    :param fingerprint: fingerprint of the content
    :return: a key that is longer than the keys of requests
    """
    return _PREFIX + fingerprint.encode()


def read_copies_key(key: bytes) -> str:
    """Extract the fingerprint from the key of a lookup.

    :param key: key in the message
    :return: the fingerprint; empty if the lookup is not for copies
    """
    return key.removeprefix(_PREFIX).decode(errors="replace") if key.startswith(_PREFIX) else ""


__all__ = ["build_copies_key", "read_copies_key"]
