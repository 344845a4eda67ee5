"""Row of the base version of a service, which also names the other versions that were listed."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Annotated

import attrs
import msgspec

from basilroad.coordination.decoding import DecodeError, JsonDecoder

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from basilroad.gateway.versions.archive import ArchiveRow
    from basilroad.gateway.versions.listing import VersionListing

MAX_NAMED = 100
"""Limit of the other versions that a row names; further ones are left out."""

MAX_GENERATION = 2**63 - 1

_LOGGER = logging.getLogger(__name__)


class StoredBase(msgspec.Struct, frozen=True):
    """Value of the row.

    :param version: the base version
    :param generation: rises with each change
    :param successor: version to which it is about to change; ``None`` without an announcement
    :param epoch: epoch of the store in which no record of another version is missing
    :param others: other versions of which streams may be taken up, in the order of their names;
        gateways of releases before the field leave it out
    """

    version: str
    generation: Annotated[int, msgspec.Meta(ge=1, le=MAX_GENERATION)]
    successor: str | None = None
    epoch: Annotated[int, msgspec.Meta(ge=0, le=MAX_GENERATION)] = 0
    others: tuple[str, ...] = ()


@attrs.define
class BaseState:
    """What is known of the row.

    :param base: its value; ``None`` without a row
    :param revision: its revision; 0 without a row
    :param read_at: when it was read, in seconds
    """

    base: StoredBase | None
    revision: int
    read_at: float


_DECODER = JsonDecoder(StoredBase)


def decode_base(row: ArchiveRow) -> StoredBase | None:
    """:return: value of the row; ``None`` if it can't be read."""
    try:
        return _DECODER.decode(row.value)
    except DecodeError as error:
        _LOGGER.warning("base version skipped", extra={"detail": str(error)})
        return None


def find_others(
    listing: VersionListing, service: str, now: float, named: Iterable[str], base: str
) -> tuple[str, ...]:
    """Find the versions that a row has to name beside the base version.

    :param listing: versions of the listed endpoints
    :param service: the service
    :param now: boot clock in seconds
    :param named: versions that were named until now
    :param base: the base version
    :return: the versions in the order of their names
    """
    others = set(named)
    forgotten_at = now - listing.windows.find_forget(service)
    if listing.is_complete_since(forgotten_at):
        others &= listing.list_since(service, forgotten_at)
    others |= listing.list_since(service, now - listing.windows.find_memory(service))
    return tuple(sorted(others - {base})[:MAX_NAMED])


def choose_version(candidates: Mapping[str, int]) -> str:
    """:return: the most frequent version; among several the first by name."""
    return min(candidates, key=lambda version: (-candidates[version], version))


__all__ = [
    "MAX_NAMED",
    "BaseState",
    "StoredBase",
    "choose_version",
    "decode_base",
    "find_others",
]
