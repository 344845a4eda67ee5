"""Support code shared by the tests."""

from __future__ import annotations
