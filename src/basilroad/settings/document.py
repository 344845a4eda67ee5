"""YAML documents with the line number of each value."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

import attrs
import yaml

from basilroad.settings.problem import Problem, SettingsError

DocumentPath = tuple[str | int, ...]
"""Keys and indices from the root of a document to a value."""


@attrs.frozen
class Document:
    """One YAML document.

    :param name: name of the file
    :param value: content of the document, in plain Python types
    :param lines: line of each path in the document, from 1
    """

    name: str
    value: Any
    lines: Mapping[DocumentPath, int] = attrs.field(factory=dict)

    def find_line(self, path: DocumentPath) -> int:
        """:return: the line of a path, or of its nearest ancestor that has one; else 0."""
        for end in range(len(path), -1, -1):
            line = self.lines.get(path[:end])
            if line is not None:
                return line
        return 0


def read_documents(text: str, name: str) -> tuple[Document, ...]:
    """Read all YAML documents of a text.

    :param text: the YAML text
    :param name: name of the file, for problems
    :return: the documents that are not empty, in order
    :raises SettingsError: the text is not YAML, or a mapping has a duplicate key
    """
    try:
        documents = tuple(_read_all(text, name))
    except yaml.YAMLError as error:
        raise SettingsError((_explain_yaml(error, name),)) from error
    except RecursionError as error:
        raise SettingsError((Problem(name, 1, "", "not YAML: nested too deeply"),)) from error
    return tuple(document for document in documents if document.value is not None)


def _read_all(text: str, name: str) -> Iterator[Document]:
    loader = yaml.SafeLoader(text)
    try:
        while loader.check_node():
            node = loader.get_node()
            if node is not None:
                yield _read_node(loader, node, name)
    finally:
        loader.dispose()


def _read_node(loader: yaml.SafeLoader, node: yaml.Node, name: str) -> Document:
    lines: dict[DocumentPath, int] = {}
    problems: list[Problem] = []
    for path, line, is_duplicate in _walk(node, (), node.start_mark.line + 1):
        if is_duplicate:
            problems.append(Problem(name, line, format_path(path), "key stands twice"))
        lines.setdefault(path, line)
    if problems:
        raise SettingsError(tuple(problems))
    try:
        value = loader.construct_document(node)
    except ValueError as error:
        # e.g. an impossible date; the loader gives no line for it
        raise SettingsError((Problem(name, lines[()], "", f"not YAML: {error}"),)) from error
    return Document(name, value, lines)


def _walk(
    node: yaml.Node, path: DocumentPath, line: int
) -> Iterator[tuple[DocumentPath, int, bool]]:
    yield path, line, False
    if isinstance(node, yaml.MappingNode):
        seen: set[str] = set()
        for key, child in node.value:
            name = str(key.value)
            child_path = (*path, name)
            if name in seen:
                yield child_path, key.start_mark.line + 1, True
            seen.add(name)
            yield from _walk(child, child_path, key.start_mark.line + 1)
    elif isinstance(node, yaml.SequenceNode):
        for index, child in enumerate(node.value):
            yield from _walk(child, (*path, index), child.start_mark.line + 1)


def _explain_yaml(error: yaml.YAMLError, name: str) -> Problem:
    if not isinstance(error, yaml.MarkedYAMLError):
        return Problem(name, 1, "", f"not YAML: {error}")
    line = error.problem_mark.line + 1 if error.problem_mark else 1
    return Problem(name, line, "", f"not YAML: {error.problem or error.context}")


def format_path(path: DocumentPath) -> str:
    """:return: a path in dotted notation, such as ``endpoints[0].url``."""
    shown = ""
    for part in path:
        if isinstance(part, int):
            shown += f"[{part}]"
        else:
            shown += f".{part}" if shown else part
    return shown


__all__ = ["Document", "DocumentPath", "format_path", "read_documents"]
