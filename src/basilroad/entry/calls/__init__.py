"""Calls to plain services: their content, retries and answers."""

from __future__ import annotations
