"""Records of the versions of streams as they are stored."""

from __future__ import annotations

import hashlib
import logging
from typing import TYPE_CHECKING

import attrs
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
"""Size of the hash of a stream's id; the streams of one hour differ in it."""

CALLER_BYTES = 8
"""Size of the hashes of a stream's caller; the callers that use one id differ in them."""

KEY_PREFIX = "stream-"
KEY_END = "stream."
"""Key after those of all records."""

KEY_SEPARATOR = "-"
KEY_SEPARATOR_END = "."
KEY_PARTS = 3

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


@attrs.frozen
class StreamKey:
    """Key of the record of a stream, which reveals neither its id nor its caller.

    The caller is named by its API key and by its workspace: an operator may give the key to another
    workspace, and the workspace another key, while the stream runs.

    :param stream: hash of the id of the request that began it
    :param api_key: hash of the API key of that request; empty without one
    :param workspace: hash of its workspace; empty without one
    """

    stream: str
    api_key: str
    workspace: str

    @classmethod
    def build(cls, call: Call, stream_id: str) -> StreamKey:
        """Build the key of a stream of a call's caller.

        :param call: the call
        :param stream_id: id of the request that began the stream
        :return: the key
        """
        stream = stream_id.encode(errors="surrogateescape")
        return cls(
            _hash(KEY_BYTES, stream),
            _hash(CALLER_BYTES, stream, call.api_key_hash) if call.api_key_hash else "",
            _hash(CALLER_BYTES, stream, call.workspace.encode()) if call.workspace else "",
        )

    @classmethod
    def parse(cls, text: str) -> StreamKey | None:
        """:return: the key in a row's key; ``None`` for one of another form."""
        parts = text.removeprefix(KEY_PREFIX).split(KEY_SEPARATOR)
        return cls(*parts) if len(parts) == KEY_PARTS else None

    def __str__(self) -> str:
        """:return: the key of its row."""
        return KEY_PREFIX + KEY_SEPARATOR.join((self.stream, self.api_key, self.workspace))

    @property
    def range(self) -> tuple[str, str]:
        """:return: first key of the rows of this id, whoever used it, and the key after them."""
        start = KEY_PREFIX + self.stream
        return start + KEY_SEPARATOR, start + KEY_SEPARATOR_END

    def may_take_up(self, begun: StreamKey) -> bool:
        """Check whether a stream may be this caller's, so that it must not be hidden from it.

        :param begun: key of a stream of the same id
        :return: whether it was begun with the same API key, in the same workspace, or in none
        """
        if not begun.workspace or begun.workspace == self.workspace:
            return True
        return bool(begun.api_key) and begun.api_key == self.api_key


def build_key(call: Call) -> str:
    """:return: key of the record of the stream that a call begins."""
    return str(StreamKey.build(call, call.id))


def _hash(size: int, *fields: bytes) -> str:
    digest = hashlib.blake2b(digest_size=size)
    for field in fields:
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return digest.hexdigest()


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
    "StreamKey",
    "build_key",
    "decode_version",
    "find_duration",
    "is_orphaned",
]
