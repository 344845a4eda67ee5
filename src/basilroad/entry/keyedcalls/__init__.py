"""Non-idempotent calls with an idempotency key: execution at most once, and earlier sends."""

from __future__ import annotations
