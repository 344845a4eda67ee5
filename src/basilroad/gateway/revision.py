"""Revisions of a store that may be restored from a copy."""

from __future__ import annotations

import attrs


@attrs.frozen(order=True)
class Revision:
    """A revision with the epoch of the store in which it was given.

    A store that is restored gives numbers out again. Revisions of two epochs compare by epoch.

    :param epoch: rises by one with each restore; 0 for a store that names none
    :param number: rises with each transaction of an epoch
    """

    epoch: int
    number: int


__all__ = ["Revision"]
