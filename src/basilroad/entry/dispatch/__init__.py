"""Assignment of attempts to endpoints: queues, admission, scores, and other regions."""

from __future__ import annotations
