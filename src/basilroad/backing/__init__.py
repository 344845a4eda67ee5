"""Clients of the platform's services: table, object store, host list and weight store."""

from __future__ import annotations
