"""Decides which engine loads which model, and sends the load and unload commands."""

from __future__ import annotations
