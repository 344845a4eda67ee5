"""Adapter to the users' platform; no other package depends on its names and formats."""

from __future__ import annotations
