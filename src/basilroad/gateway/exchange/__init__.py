"""Messages between gateways: load, failures, listings, limits, loans of retries, and the config."""

from __future__ import annotations
