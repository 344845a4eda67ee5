"""Calls that crash endpoints: their runs, and what is refused after crashes."""

from __future__ import annotations
