"""Settings and marks of poison requests as they travel between peers."""

from __future__ import annotations

from collections.abc import Iterable

from basilroad.coordination.poison import PoisonMark
from basilroad.coordination.table import Row
from basilroad.peers.wire import peer_pb2 as wire


def pack_rows(rows: Iterable[Row]) -> wire.SettingsChanges:
    """Build the message that carries settings.

    :param rows: rows of the table, deleted ones included
    :return: the message
    """
    changes = [
        wire.SettingsChange(
            path=row.key,
            revision=row.revision,
            author=row.author,
            document=row.value or "",
        )
        for row in rows
    ]
    return wire.SettingsChanges(changes=changes)


def pack_marks(marks: Iterable[PoisonMark]) -> wire.PoisonMarks:
    """Build the message that carries marks of poison requests.

    :param marks: from a ledger
    :return: the message
    """
    packed = [
        wire.PoisonMark(
            fingerprint=mark.fingerprint,
            death=mark.death,
            cleared=mark.cleared,
            alone=mark.alone,
            age=mark.age_s,
            progress=mark.progress,
            offset=mark.offset,
        )
        for mark in marks
    ]
    return wire.PoisonMarks(marks=packed)


def unpack_marks(message: wire.PoisonMarks) -> tuple[PoisonMark, ...]:
    """Read the marks that a message carries.

    :param message: from a peer
    :return: marks for a ledger
    """
    return tuple(
        PoisonMark(
            mark.fingerprint,
            mark.death,
            mark.alone,
            mark.cleared,
            mark.age,
            mark.progress,
            mark.offset,
        )
        for mark in message.marks
    )


def unpack_rows(message: wire.SettingsChanges) -> tuple[Row, ...]:
    """Read the settings that a message carries.

    :param message: from a peer
    :return: rows as the table held them
    """
    return tuple(
        Row(change.path, change.document or None, change.revision, change.author)
        for change in message.changes
    )


__all__ = ["pack_marks", "pack_rows", "unpack_marks", "unpack_rows"]
