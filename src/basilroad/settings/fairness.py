"""Fair queueing parameters from the operators' settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from basilroad.coordination.fairpolicy import FairSettings

if TYPE_CHECKING:
    from basilroad.settings.view import SettingsView


def build_fairness(view: SettingsView) -> FairSettings:
    """Build the fair queueing settings.

    :param view: settings in force
    :return: guaranteed minimum shares by order of the rank, and weights of the workspaces
    """
    return FairSettings(
        floors={rank.order: rank.floor_share for rank in view.ranks},
        weights={workspace.name: workspace.weight for workspace in view.workspaces.values()},
    )


__all__ = ["build_fairness"]
