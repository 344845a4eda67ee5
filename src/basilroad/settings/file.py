"""Files of operators' settings: YAML mappings from path to object."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import attrs
import msgspec
import yaml

from basilroad.settings.daemon import DaemonSettings
from basilroad.settings.document import Document, DocumentPath, format_path, read_documents
from basilroad.settings.load import read_text
from basilroad.settings.problem import Problem, SettingsError
from basilroad.settings.schema import ROOT, Setting, build_setting, parse_path
from basilroad.settings.structure import structure_document


@attrs.frozen
class FileSetting:
    """One setting of a file.

    :param path: path of the setting
    :param value: the object as written, in plain values
    :param setting: the object that was built from it
    """

    path: str
    value: Any
    setting: Setting

    @property
    def text(self) -> str:
        """:return: the value as JSON, as stored in the table."""
        return msgspec.json.encode(self.value).decode()


def read_settings_file(path: Path) -> tuple[FileSetting, ...]:
    """Read a file of operators' settings.

    :param path: the file
    :return: its settings, in order
    :raises SettingsError: all problems of the file
    """
    return parse_settings_file(read_text(path), str(path))


def parse_settings_file(text: str, name: str) -> tuple[FileSetting, ...]:
    """Read the text of a file of operators' settings.

    :param text: YAML documents, each a mapping from a path to an object
    :param name: name of the file, for error messages
    :return: its settings, in order
    :raises SettingsError: all problems of the text
    """
    file_settings: list[FileSetting] = []
    problems: list[Problem] = []
    for document in read_documents(text, name):
        if not isinstance(document.value, dict):
            problems.append(_make_problem(document, (), "expected a mapping from path to object"))
            continue
        for path in document.value:
            try:
                file_settings.append(
                    _read_file_setting(document, path, {each.path for each in file_settings})
                )
            except SettingsError as error:
                problems.extend(error.problems)
    if problems:
        raise SettingsError(tuple(sorted(problems)))
    if not file_settings:
        raise SettingsError((Problem(name, 1, "", "holds no settings"),))
    return tuple(file_settings)


def _read_file_setting(document: Document, path: Any, seen: set[str]) -> FileSetting:
    location = (str(path),)
    if path in seen:
        raise SettingsError((_make_problem(document, location, "path stands twice"),))
    try:
        parsed = parse_path(str(path))
    except ValueError as error:
        raise SettingsError((_make_problem(document, location, str(error)),)) from error
    part = _extract(document, location)
    try:
        return FileSetting(str(path), part.value, build_setting(parsed, part))
    except SettingsError as error:
        raise SettingsError(
            tuple(_add_prefix(location, each) for each in error.problems)
        ) from error


def _extract(document: Document, location: DocumentPath) -> Document:
    depth = len(location)
    lines = {key[depth:]: line for key, line in document.lines.items() if key[:depth] == location}
    return Document(document.name, document.value[location[0]], lines)


def _add_prefix(location: DocumentPath, problem: Problem) -> Problem:
    path = f"{format_path(location)}: {problem.path}" if problem.path else format_path(location)
    return attrs.evolve(problem, path=path)


def _make_problem(document: Document, location: DocumentPath, cause: str) -> Problem:
    return Problem(document.name, document.find_line(location), format_path(location), cause)


def read_object_file(setting_path: str, path: Path) -> FileSetting:
    """Read a file that holds one setting without its path.

    :param setting_path: path of the setting
    :param path: the file
    :return: the setting
    :raises SettingsError: all problems of the file
    """
    name = str(path)
    documents = read_documents(read_text(path), name)
    if len(documents) != 1:
        raise SettingsError((Problem(name, 1, "", f"expected 1 document, found {len(documents)}"),))
    try:
        parsed = parse_path(setting_path)
    except ValueError as error:
        raise SettingsError((Problem(name, 1, "", str(error)),)) from error
    return FileSetting(setting_path, documents[0].value, build_setting(parsed, documents[0]))


def check_file(path: Path) -> str:
    """Check a settings file, of a daemon or of operators as its content suggests.

    :param path: the file
    :return: description of the content
    :raises SettingsError: all problems of the file
    """
    documents = read_documents(read_text(path), str(path))
    if any(_holds_paths(document) for document in documents):
        file_settings = read_settings_file(path)
        return f"{len(file_settings)} operators' settings"
    if len(documents) != 1:
        cause = f"expected 1 document of a daemon, found {len(documents)}"
        raise SettingsError((Problem(str(path), 1, "", cause),))
    settings = structure_document(documents[0], DaemonSettings)
    return f"settings of the {'entry' if settings.entry else 'agent'} {settings.host}"


def _holds_paths(document: Document) -> bool:
    keys = document.value if isinstance(document.value, dict) else ()
    return any("/" in str(key) or str(key).startswith(ROOT.rstrip("/")) for key in keys)


def show_settings(values: dict[str, Any]) -> str:
    """:return: YAML text in the format of :func:`parse_settings_file`."""
    return yaml.safe_dump(values, sort_keys=False, allow_unicode=True) if values else ""


__all__ = [
    "FileSetting",
    "check_file",
    "parse_settings_file",
    "read_object_file",
    "read_settings_file",
    "show_settings",
]
