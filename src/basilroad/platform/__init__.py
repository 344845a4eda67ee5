"""Adapter to the users' platform: the only place that knows its names."""

from __future__ import annotations
