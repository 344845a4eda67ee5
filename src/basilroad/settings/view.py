"""Immutable snapshot of the operators' settings that are in force."""

from __future__ import annotations

from collections.abc import Mapping
from functools import cached_property
from typing import TypeVar, cast

import attrs

from basilroad.settings.objects import DEFAULT_LIMITS, Drain, Limits, Owners
from basilroad.settings.schema import Setting
from basilroad.world.contract import Contract
from basilroad.world.link import Link, build_link_name
from basilroad.world.model import Model
from basilroad.world.rank import DEFAULT_RANKS, STANDARD_RANK, Rank
from basilroad.world.workspace import Workspace

T = TypeVar("T")


@attrs.frozen
class SettingsView:
    """Settings in force, with defaults for those that are not set.

    :param revision: newest revision of a setting when the snapshot was made
    :param objects: settings in force, by kind and name
    """

    revision: int = 0
    objects: Mapping[str, Mapping[str, Setting]] = attrs.field(factory=dict)

    def _get_all(self, kind: str, cls: type[T]) -> Mapping[str, T]:
        del cls
        return cast("Mapping[str, T]", self.objects.get(kind, {}))

    @property
    def set_ranks(self) -> Mapping[str, Rank]:
        """:return: the ranks that are set, by name, with the floors as written."""
        return self._get_all("ranks", Rank)

    @cached_property
    def ranks(self) -> tuple[Rank, ...]:
        """:return: all ranks, the most urgent first; their floors sum up to 1 at most."""
        ranks = {rank.name: rank for rank in DEFAULT_RANKS}
        ranks.update(self.set_ranks)
        total = sum(rank.floor_share for rank in ranks.values())
        if total > 1:
            # Each row is valid by itself, so the floors are scaled here rather than refused.
            scaled = (attrs.evolve(r, floor_share=r.floor_share / total) for r in ranks.values())
            ranks = {rank.name: rank for rank in scaled}
        return tuple(sorted(ranks.values(), key=lambda rank: (rank.order, rank.name)))

    def rank(self, name: str) -> Rank | None:
        """:return: the rank with this name; ``None`` if there is none."""
        return next((rank for rank in self.ranks if rank.name == name), None)

    def rank_by_order(self, order: int) -> Rank:
        """:return: the rank with this order, else the next less urgent one, else the last."""
        return next((rank for rank in self.ranks if rank.order >= order), self.ranks[-1])

    def rank_of(self, workspace: str) -> Rank:
        """:return: the default rank of a workspace's requests."""
        named = self.rank(self.workspace(workspace).rank)
        standard = self.rank(STANDARD_RANK)
        return named or standard or self.ranks[-1]

    @property
    def workspaces(self) -> Mapping[str, Workspace]:
        """:return: the workspaces that are set, by name."""
        return self._get_all("workspaces", Workspace)

    def workspace(self, name: str) -> Workspace:
        """:return: the workspace with this name, with defaults if none is set."""
        return self.workspaces.get(name) or Workspace(name=name)

    @cached_property
    def _workspaces_by_token(self) -> Mapping[str, Workspace]:
        ordered = sorted(self.workspaces.values(), key=lambda each: each.name, reverse=True)
        return {token: each for each in ordered for token in each.tokens}

    @property
    def requires_token(self) -> bool:
        """:return: whether any workspace has tokens, so that callers must send one."""
        return bool(self._workspaces_by_token)

    def workspace_by_token(self, digest: str) -> Workspace | None:
        """Find the workspace that a bearer token belongs to.

        :param digest: SHA-256 of the token, in lower-case hex
        :return: the workspace; the first by name if several hold the token; ``None`` if none does
        """
        return self._workspaces_by_token.get(digest)

    @property
    def services(self) -> Mapping[str, Contract]:
        """:return: the contracts that are set, by name of the plain service."""
        return self._get_all("services", Contract)

    def service(self, name: str) -> Contract:
        """:return: the contract of a plain service; by default nothing is idempotent."""
        return self.services.get(name) or Contract(name=name)

    @property
    def models(self) -> Mapping[str, Model]:
        """:return: the models that are set, by name."""
        return self._get_all("models", Model)

    def model(self, name: str) -> Model:
        """:return: the settings of a model, with defaults if none are set."""
        return self.models.get(name) or Model(name=name)

    @property
    def links(self) -> Mapping[str, Link]:
        """:return: the links that are set, by name."""
        return self._get_all("links", Link)

    def link(self, one: str, other: str) -> Link:
        """:return: the link between two regions, with defaults if none is set."""
        name = build_link_name(one, other)
        return self.links.get(name) or Link(name=name)

    @property
    def drains(self) -> Mapping[str, Drain]:
        """:return: hosts and endpoints that get no new work, by name."""
        return self._get_all("drains", Drain)

    @property
    def owners(self) -> Mapping[str, Owners]:
        """:return: owners, by prefix without ``settings/``."""
        return self._get_all("owners", Owners)

    def limits(self, name: str = DEFAULT_LIMITS) -> Limits:
        """:return: the limits of a model or plain service, else those of ``default``."""
        limits = self._get_all("limits", Limits)
        return limits.get(name) or limits.get(DEFAULT_LIMITS) or Limits(name=DEFAULT_LIMITS)


__all__ = ["SettingsView"]
