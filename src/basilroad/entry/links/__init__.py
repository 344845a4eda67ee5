"""Connections to agents: discovery, links, their cost, and how messages arrive."""

from __future__ import annotations
