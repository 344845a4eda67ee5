"""Models as loaded by engines."""

from __future__ import annotations

import attrs


@attrs.frozen(order=True)
class Loaded:
    """A model with the adapter and version that an engine loads.

    :param model: name of the model
    :param adapter: its adapter; empty for none
    :param version: its version
    """

    model: str
    adapter: str = ""
    version: str = ""

    def __str__(self) -> str:
        adapter = f"+{self.adapter}" if self.adapter else ""
        return f"{self.model}{adapter}@{self.version}"


__all__ = ["Loaded"]
