"""Generations: requests, flights, attempts, takeovers, containment, and responses."""

from __future__ import annotations
