"""Streams: their attempts, events, time limits and backups, and resumption after failures."""

from __future__ import annotations
