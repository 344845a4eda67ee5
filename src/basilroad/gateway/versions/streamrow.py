"""Records of the versions of streams as they are stored."""

from __future__ import annotations

import hashlib
import logging
from typing import TYPE_CHECKING

import msgspec

from basilroad.coordination.decoding import DecodeError, JsonDecoder

if TYPE_CHECKING:
    from basilroad.gateway.calls.call import Call
    from basilroad.gateway.versions.archive import ArchiveRow

RESUME_WINDOW_S = 60.0
"""Longest time after the end of a response in which its caller may take the stream up again."""

ORPHAN_AGE_S = 600.0
"""Age from which a record was left behind by a host that died, unless it names a longer time."""

KEY_BYTES = 16
"""Size of the hash of a stream's workspace and id; the streams of one hour differ in it."""

KEY_PREFIX = "stream-"
KEY_END = "stream."
"""Key after those of all records."""

_LOGGER = logging.getLogger(__name__)


class StoredVersion(msgspec.Struct, omit_defaults=True):
    """Value of a record.

    :param version: version that began the stream
    :param written_s: store clock in seconds when it was written; ``None`` if not known
    :param lasts_s: seconds after that in which its stream may be taken up; ``None`` if they are
        ``ORPHAN_AGE_S`` at most
    """

    version: str
    written_s: float | None = None
    lasts_s: float | None = None


_DECODER = JsonDecoder(StoredVersion)


def find_duration(call: Call) -> float:
    """:return: longest time in seconds from a call to the last take-up of its stream."""
    limit_s = call.expires_at - call.arrived_at
    return limit_s + max(RESUME_WINDOW_S, limit_s)


def build_key(workspace: str, stream_id: str) -> str:
    """:return: key of the record of a stream, which reveals neither its workspace nor its id."""
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for field in (workspace.encode(), stream_id.encode()):
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return KEY_PREFIX + digest.hexdigest()


def decode_version(row: ArchiveRow) -> str | None:
    """:return: version in a record; ``None`` if it can't be read."""
    try:
        return _DECODER.decode(row.value).version
    except DecodeError as error:
        _LOGGER.warning("stream record skipped", extra={"detail": str(error)})
        return None


def is_orphaned(row: ArchiveRow, store_s: float) -> bool:
    """Check whether a record was left behind.

    :param row: the record
    :param store_s: the store's clock in seconds
    :return: whether its stream ended long ago; also if it can't be read
    """
    try:
        stored = _DECODER.decode(row.value)
    except DecodeError:
        return True
    if stored.written_s is None:
        return True
    return not 0 <= store_s - stored.written_s < max(ORPHAN_AGE_S, stored.lasts_s or 0.0)


__all__ = [
    "KEY_END",
    "KEY_PREFIX",
    "ORPHAN_AGE_S",
    "RESUME_WINDOW_S",
    "StoredVersion",
    "build_key",
    "decode_version",
    "find_duration",
    "is_orphaned",
]
