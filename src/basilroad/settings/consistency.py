"""Settings that are valid one by one and odd together."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator

from basilroad.settings.view import SettingsView
from basilroad.world.rank import DEFAULT_RANKS


def list_inconsistencies(view: SettingsView) -> tuple[str, ...]:
    """Look for settings that hardly mean what they say together.

    :param view: the settings
    :return: one line for each doubt; the settings work nevertheless
    """
    return tuple(_doubt_ranks(view)) + tuple(_doubt_workspaces(view))


def _doubt_ranks(view: SettingsView) -> Iterator[str]:
    for order in _find_twice(rank.order for rank in view.ranks):
        names = ", ".join(rank.name for rank in view.ranks if rank.order == order)
        yield f"ranks of the same order {order}: {names}; work of that order goes to the first"
    own = {rank.name: rank.floor_share for rank in DEFAULT_RANKS}
    own.update({name: rank.floor_share for name, rank in view.set_ranks.items()})
    total = sum(own.values())
    if total > 1:
        yield f"floor_share of all ranks sums up to {total:g}; each is scaled down by that"


def _doubt_workspaces(view: SettingsView) -> Iterator[str]:
    for workspace in view.workspaces.values():
        if view.rank(workspace.rank) is None:
            fallback = view.rank_of(workspace.name).name
            yield f"workspace {workspace.name}: no rank {workspace.rank}; {fallback} is used"
    for _ in _find_twice(token for each in view.workspaces.values() for token in each.tokens):
        yield "a token belongs to several workspaces; the first by name has it"


def _find_twice(values: Iterable[int | str]) -> list[int | str]:
    return [value for value, count in Counter(values).items() if count > 1]


__all__ = ["list_inconsistencies"]
