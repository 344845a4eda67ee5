"""Problems of a settings document, with their location."""

from __future__ import annotations

import attrs

UNKNOWN_LINE = 0
"""Line of a problem in a value that was not read from a file."""


@attrs.frozen(order=True)
class Problem:
    """One problem of a settings document.

    :param file: name of the file, or path of the row
    :param line: line in the file, from 1; ``UNKNOWN_LINE`` for a value not from a file
    :param path: path in the document, such as ``entry.listen`` or ``endpoints[0].url``
    :param cause: description of the problem
    """

    file: str
    line: int
    path: str
    cause: str

    def __str__(self) -> str:
        location = f"{self.file}:{self.line}" if self.line else self.file
        return (
            f"{location}: {self.path}: {self.cause}" if self.path else f"{location}: {self.cause}"
        )


class SettingsError(Exception):
    """A settings document was refused.

    :param problems: all problems found, by line
    """

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


__all__ = ["UNKNOWN_LINE", "Problem", "SettingsError"]
