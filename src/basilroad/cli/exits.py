"""Exit codes of the settings commands, and the write outcomes that map to them."""

from __future__ import annotations

import enum
from functools import singledispatch
from typing import NoReturn

import attrs
import typer

from basilroad.settings.publish import (
    Accepted,
    Conflict,
    Forbidden,
    Outcome,
    Unavailable,
    Unknown,
)


class Exit(enum.IntEnum):
    """Exit codes for scripts."""

    OK = 0
    REFUSED = 1
    BAD_FILE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNKNOWN = 5


@attrs.frozen
class ExitResult:
    """Exit code and output of a command.

    :param code: exit code
    :param message: text for the operator
    """

    code: Exit
    message: str


@singledispatch
def to_exit_result(outcome: Outcome) -> ExitResult:
    """:return: the exit code and output for the outcome of a write."""
    raise TypeError(f"no exit code for outcome {outcome!r}")


@to_exit_result.register
def _(outcome: Accepted) -> ExitResult:
    lines = [f"{row.key}: written, revision {row.revision}" for row in outcome.rows]
    return ExitResult(Exit.OK, "\n".join(lines) or "deleted")


@to_exit_result.register
def _(outcome: Forbidden) -> ExitResult:
    owners = ", ".join(outcome.owners)
    return ExitResult(Exit.REFUSED, f"{outcome.path}: not written, it belongs to {owners}")


@to_exit_result.register
def _(outcome: Conflict) -> ExitResult:
    row = outcome.row
    found = "there is none"
    if row is not None and row.value is None:
        found = f"{row.author or 'an unknown author'} deleted it at revision {row.revision}"
    elif row is not None:
        found = f"{row.author or 'an unknown author'} wrote revision {row.revision}"
    expected = f"revision {outcome.expected}" if outcome.expected else "no row"
    return ExitResult(
        Exit.CONFLICT, f"{outcome.path}: not in force, expected {expected} but {found}"
    )


@to_exit_result.register
def _(outcome: Unavailable) -> ExitResult:
    return ExitResult(
        Exit.UNAVAILABLE, f"not written, the platform is unavailable: {outcome.detail}"
    )


@to_exit_result.register
def _(outcome: Unknown) -> ExitResult:
    message = f"unknown whether written, check with `settings get`: {outcome.detail}"
    return ExitResult(Exit.UNKNOWN, message)


def fail(code: Exit, message: str) -> NoReturn:
    """Exit from a command that failed.

    :param code: exit code
    :param message: text for the operator
    """
    typer.echo(message, err=True)
    raise typer.Exit(code)


__all__ = ["Exit", "ExitResult", "fail", "to_exit_result"]
