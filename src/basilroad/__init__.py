"""Fault-tolerant serving system for long generations on unreliable engines."""

from __future__ import annotations

VERSION = "0.1.0"

__all__ = ["VERSION"]
