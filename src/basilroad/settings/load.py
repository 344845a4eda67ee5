"""Load settings files."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

from basilroad.settings.document import read_documents
from basilroad.settings.problem import Problem, SettingsError
from basilroad.settings.structure import structure_document

T = TypeVar("T")


def load_settings(path: Path, cls: type[T]) -> T:
    """Load a YAML file that holds one object.

    :param path: the file
    :param cls: attrs class of the object
    :return: the object
    :raises SettingsError: the file can't be read or is invalid
    """
    return parse_settings(read_text(path), cls, str(path))


def parse_settings(text: str, cls: type[T], name: str = "<text>") -> T:
    """Build an object from YAML text.

    :param text: one YAML document
    :param cls: attrs class of the object
    :param name: name of the text, for error messages
    :return: the object
    :raises SettingsError: the text is invalid
    """
    documents = read_documents(text, name)
    if len(documents) != 1:
        raise SettingsError((Problem(name, 1, "", f"expected 1 document, found {len(documents)}"),))
    return structure_document(documents[0], cls)


def read_text(path: Path) -> str:
    """Read a settings file as text.

    :param path: the file
    :return: its text
    :raises SettingsError: the file can't be read or is not UTF-8
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError((Problem(str(path), 0, "", f"can't be read: {error}"),)) from error


__all__ = ["Problem", "SettingsError", "load_settings", "parse_settings", "read_text"]
