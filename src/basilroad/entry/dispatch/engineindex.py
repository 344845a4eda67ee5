"""Index of the engines that an entry uses, by model."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from basilroad.coordination.rendezvous import rank_hosts

if TYPE_CHECKING:
    from collections.abc import Iterable

    from basilroad.entry.links.link import EndpointView


@attrs.frozen(cache_hash=True)
class Variant:
    """Model, adapter and version that an engine has loaded.

    :param model: name of the model
    :param adapter: name of the adapter; empty for none
    :param version: version of the model
    """

    model: str
    adapter: str
    version: str


@attrs.define
class _Member:
    variant: Variant
    usable: bool


class EngineIndex:
    """Selects a bounded number of engines per variant of a model.

    Engines of the local region are preferred. Rendezvous hashing spreads the entries over the
    engines, so that when an engine fails only the entries that used it choose another.

    :param host: name of this entry's host
    :param region: region of this entry
    :param limit: maximum number of engines used per variant; 0 for all
    """

    def __init__(self, host: str, region: str, limit: int) -> None:
        self._host = host
        self._region = region
        self._limit = limit
        self._members: dict[EndpointView, _Member] = {}
        self._variants: dict[str, dict[Variant, dict[EndpointView, None]]] = {}
        self._chosen: dict[str, tuple[EndpointView, ...]] = {}

    def put(self, view: EndpointView) -> None:
        """Add an engine or update its state.

        :param view: the endpoint
        """
        state = view.state
        if state.kind != "engine":
            return
        member = _Member(Variant(state.service, state.adapter, state.version), view.usable)
        if self._members.get(view) == member:
            return
        self._drop(view)
        self._members[view] = member
        variants = self._variants.setdefault(state.service, {})
        variants.setdefault(member.variant, {})[view] = None
        self._chosen.pop(state.service, None)

    def keep(self, views: Iterable[EndpointView]) -> None:
        """Remove all engines except those that are still known.

        :param views: engines that are still known
        """
        for view in self._members.keys() - set(views):
            self._drop(view)

    def find(self, model: str) -> tuple[EndpointView, ...]:
        """:return: the engines of a model that this entry uses."""
        chosen = self._chosen.get(model)
        if chosen is None:
            variants = self._variants.get(model, {})
            chosen = tuple(view for views in variants.values() for view in self._choose(views))
            self._chosen[model] = chosen
        return chosen

    def _choose(self, views: Iterable[EndpointView]) -> list[EndpointView]:
        known = list(views)
        if not self._limit or len(known) <= self._limit:
            return known
        order = {name: position for position, name in enumerate(self._order(known))}
        known.sort(key=lambda view: (not view.usable, self._is_remote(view), order[view.name]))
        return known[: self._limit]

    def _order(self, views: list[EndpointView]) -> list[str]:
        return rank_hosts(self._host, (view.name for view in views))

    def _is_remote(self, view: EndpointView) -> bool:
        hello = view.link.hello
        return hello is None or hello.region != self._region

    def _drop(self, view: EndpointView) -> None:
        member = self._members.pop(view, None)
        if member is None:
            return
        model = member.variant.model
        variants = self._variants[model]
        del variants[member.variant][view]
        if not variants[member.variant]:
            del variants[member.variant]
        self._chosen.pop(model, None)


__all__ = ["EngineIndex", "Variant"]
