"""Encoding of the frames of one stream, compressed between regions."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING, Generic, TypeVar

from basilroad.peers.wire import peer_pb2 as wire

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

F = TypeVar("F", wire.EntryFrame, wire.AgentFrame)

WINDOW_BITS = 12
"""Base-2 logarithm of the compression window in bytes; the data is raw deflate without a header."""

MEM_LEVEL = 5
"""zlib memory level; with the window, about 32 KB per stream."""

COMPRESSION_LEVEL = 6
"""zlib compression level."""

FRAME_BYTES_MAX = 64 * 1024 * 1024
"""Largest size of a decompressed frame."""


class BadFrameError(Exception):
    """A peer sent a frame that can't be decompressed."""


class FrameCodec(Generic[F]):
    """Encodes and decodes the frames of one stream, in order for each direction.

    :param kind: class of the sent frames
    """

    def __init__(self, kind: type[F]) -> None:
        self.compresses = False
        self._frame_type: Callable[..., F] = kind
        self._deflater: zlib._Compress | None = None
        self._inflater: zlib._Decompress | None = None

    def pack(self, messages: Sequence[object]) -> F:
        """Build the next frame.

        :param messages: messages of the frame
        :return: the frame
        """
        frame = self._frame_type(messages=messages)
        if not self.compresses:
            return frame
        if self._deflater is None:
            self._deflater = zlib.compressobj(
                COMPRESSION_LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEM_LEVEL
            )
        packed = self._deflater.compress(frame.SerializeToString())
        packed += self._deflater.flush(zlib.Z_SYNC_FLUSH)
        return self._frame_type(compressed=packed)

    def inflate(self, compressed: bytes) -> bytes:
        """Decompress the next frame.

        :param compressed: the frame's ``compressed`` field
        :return: the serialized frame
        :raises BadFrameError: the data is corrupt or too large
        """
        if self._inflater is None:
            self._inflater = zlib.decompressobj(-WINDOW_BITS)
        try:
            decompressed = self._inflater.decompress(compressed, FRAME_BYTES_MAX)
        except zlib.error as error:
            raise BadFrameError(str(error)) from error
        if self._inflater.unconsumed_tail:
            raise BadFrameError(f"decompressed frame is larger than {FRAME_BYTES_MAX} bytes")
        return decompressed


__all__ = ["BadFrameError", "FrameCodec"]
