"""Name fields that are set from the path of the object in the settings."""

from __future__ import annotations

from typing import Any

import attrs

FROM_PATH = "from_path"
"""Metadata key of a field that is set from the path of the object, not from its document."""


def make_name_field() -> Any:
    """Create a name field that is set from the path of the object.

    :return: an attrs field with an empty default
    """
    return attrs.field(default="", metadata={FROM_PATH: True})


__all__ = ["FROM_PATH", "make_name_field"]
