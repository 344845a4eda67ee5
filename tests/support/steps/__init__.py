"""Steps of the feature files."""

from __future__ import annotations
