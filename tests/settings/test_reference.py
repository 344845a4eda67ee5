"""Check that the reference documents every key with its default."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import attrs
import pytest

from basilroad.settings.daemon import (
    AgentSettings,
    DaemonSettings,
    EndpointSettings,
    EntrySettings,
)
from basilroad.settings.schema import KINDS
from basilroad.world.contract import CallRule
from basilroad.world.model import ReplicaBounds
from basilroad.world.name import FROM_PATH

REFERENCE = Path(__file__).parents[2] / "docs/reference/settings.md"
CLASSES = (
    DaemonSettings,
    EntrySettings,
    AgentSettings,
    EndpointSettings,
    CallRule,
    ReplicaBounds,
    *KINDS.values(),
)


def show_default(field: attrs.Attribute[Any]) -> str:
    default = field.default
    if default is attrs.NOTHING:
        return "required"
    if default in (None, (), "") or isinstance(default, attrs.Factory):  # type: ignore[arg-type]
        return "none"
    if isinstance(default, bool):
        return f"`{str(default).lower()}`"
    return f"`{default:.10g}`" if isinstance(default, float) else f"`{default}`"


@pytest.mark.parametrize("cls", CLASSES)
def test_reference_documents_every_key(cls: type[attrs.AttrsInstance]) -> None:
    rows = [line.split(" | ") for line in REFERENCE.read_text().splitlines() if " | " in line]
    known = {(row[0].removeprefix("| "), row[2]) for row in rows if len(row) == 4}
    for field in attrs.fields(cls):
        if not field.metadata.get(FROM_PATH):
            assert (f"`{field.name}`", show_default(field)) in known
