"""Clients of the backing services: table, objects, host list and weights."""

from __future__ import annotations
