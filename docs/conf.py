"""Sphinx configuration."""

from __future__ import annotations

project = "basilroad"
extensions = ["myst_parser"]
html_theme = "alabaster"
myst_heading_anchors = 3
exclude_patterns = ["_build"]
