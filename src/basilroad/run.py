"""Entry point of the program."""

from __future__ import annotations

import sys

EXIT_INTERRUPTED = 130
"""Exit code after SIGINT, as a shell reports it."""


def run() -> None:
    """Run the command line and exit with its exit code."""
    try:
        # takes a part of a second, in which SIGINT may arrive
        from basilroad.cli.app import app

        status = app()
    except KeyboardInterrupt:
        status = EXIT_INTERRUPTED
    sys.exit(status)


__all__ = ["run"]
