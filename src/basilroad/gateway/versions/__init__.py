"""Software versions of streams: which one began a stream, and where it may be resumed."""

from __future__ import annotations
