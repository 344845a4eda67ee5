"""Agent process, which runs beside the endpoints of one host."""

from __future__ import annotations
