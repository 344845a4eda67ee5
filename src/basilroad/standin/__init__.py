"""Lightweight stand-ins for engines, plain services and the platform, for tests and trials."""

from __future__ import annotations
