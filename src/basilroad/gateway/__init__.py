"""Gateway: forwards calls to endpoints that it drives directly."""

from __future__ import annotations
