"""Entry process, which serves callers over HTTP."""

from __future__ import annotations
