"""Entry point of the program."""

from __future__ import annotations

import sys

from basilroad.cli.app import app


def run() -> None:
    """Run the command line and exit with its exit code."""
    sys.exit(app())


__all__ = ["run"]
