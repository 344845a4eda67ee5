"""What a gateway knows of endpoints: the list, their state, notices, limits, reports and probes."""

from __future__ import annotations
