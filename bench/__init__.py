"""Benchmarks, each reported as a ratio to a baseline measured in the same run."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))
