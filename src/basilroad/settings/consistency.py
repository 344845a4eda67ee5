"""Checks for settings that are valid singly but inconsistent together."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator

from basilroad.settings.view import SettingsView
from basilroad.world.rank import DEFAULT_RANKS


def list_inconsistencies(view: SettingsView) -> tuple[str, ...]:
    """Find settings that are inconsistent with each other.

    :param view: the settings
    :return: one line for each inconsistency; the settings work nevertheless
    """
    return tuple(_check_ranks(view)) + tuple(_check_workspaces(view))


def _check_ranks(view: SettingsView) -> Iterator[str]:
    for order in _find_duplicates(rank.order for rank in view.ranks):
        names = ", ".join(rank.name for rank in view.ranks if rank.order == order)
        yield f"ranks of the same order {order}: {names}; work of that order goes to the first"
    floor_shares = {rank.name: rank.floor_share for rank in DEFAULT_RANKS}
    floor_shares.update({name: rank.floor_share for name, rank in view.set_ranks.items()})
    total = sum(floor_shares.values())
    if total > 1:
        yield f"floor_share of all ranks sums up to {total:g}; each is scaled down by that"


def _check_workspaces(view: SettingsView) -> Iterator[str]:
    for workspace in view.workspaces.values():
        if view.rank(workspace.rank) is None:
            fallback = view.rank_of(workspace.name).name
            yield f"workspace {workspace.name}: no rank {workspace.rank}; {fallback} is used"
    for _ in _find_duplicates(token for each in view.workspaces.values() for token in each.tokens):
        yield "a token belongs to several workspaces; the first by name has it"


def _find_duplicates(values: Iterable[int | str]) -> list[int | str]:
    return [value for value, count in Counter(values).items() if count > 1]


__all__ = ["list_inconsistencies"]
