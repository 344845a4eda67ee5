"""Calls: their attempts, responses, and log records of the decisions about them."""

from __future__ import annotations
