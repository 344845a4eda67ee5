"""Command line."""

from __future__ import annotations
