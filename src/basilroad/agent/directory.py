"""Directory of the locations of requests that entries have registered with this agent."""

from __future__ import annotations

import time

import attrs

from basilroad.peers.wire import peer_pb2 as wire

RETAIN_S = 600.0
"""Seconds for which a record is retained after its last write."""


@attrs.define
class _Record:
    location: wire.Location
    written_s: float


class GenerationDirectory:
    """Volatile records of locations, by request key."""

    def __init__(self) -> None:
        self._records: dict[bytes, _Record] = {}

    def __len__(self) -> int:
        return len(self._records)

    def register(self, request: wire.Register) -> wire.Found:
        """Write a location if the stored attempt is the one that the writer expects.

        :param request: the location and the expected attempt
        :return: the record afterwards
        """
        key = request.location.key
        record = self._records.get(key)
        if not _may_write(record, request):
            assert record is not None
            return _build_found(request.call, record, done=False)
        self._records.pop(key, None)
        self._records[key] = _Record(request.location, time.monotonic())
        return wire.Found(call=request.call, done=True, location=request.location)

    def find(self, request: wire.Find) -> wire.Found:
        """Read a location.

        :param request: names the key
        :return: the record, if it exists
        """
        record = self._records.get(request.key)
        if record is None:
            return wire.Found(call=request.call, done=False)
        return _build_found(request.call, record, done=True)

    def expire(self) -> None:
        """Remove the records last written more than ``RETAIN_S`` ago."""
        limit = time.monotonic() - RETAIN_S
        for key, record in list(self._records.items()):
            if record.written_s > limit:
                return
            del self._records[key]


def _build_found(call: int, record: _Record, *, done: bool) -> wire.Found:
    age = time.monotonic() - record.written_s
    return wire.Found(call=call, done=done, location=record.location, age=age)


def _may_write(record: _Record | None, request: wire.Register) -> bool:
    if record is None:
        return True
    if request.forced:
        return request.location.attempt >= record.location.attempt
    return request.expected_attempt == record.location.attempt


__all__ = ["RETAIN_S", "GenerationDirectory"]
