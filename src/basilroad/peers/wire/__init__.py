"""Generated messages and stubs."""

from __future__ import annotations
