"""Schema of the operators' settings, objects at paths of the platform's table."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

from basilroad.coordination.decoding import DecodeError, decode_json
from basilroad.settings.document import Document
from basilroad.settings.objects import Drain, Limits, Owners
from basilroad.settings.problem import UNKNOWN_LINE, Problem, SettingsError
from basilroad.settings.structure import structure_document
from basilroad.world.contract import Contract
from basilroad.world.link import SEPARATOR, Link, build_link_name
from basilroad.world.model import Model
from basilroad.world.rank import Rank
from basilroad.world.validators import check_name
from basilroad.world.workspace import Workspace

ROOT = "settings/"
"""Prefix of the paths of all operators' settings."""

Setting = Rank | Workspace | Contract | Model | Link | Owners | Drain | Limits

KINDS: Mapping[str, type[Setting]] = {
    "ranks": Rank,
    "workspaces": Workspace,
    "services": Contract,
    "models": Model,
    "links": Link,
    "owners": Owners,
    "drains": Drain,
    "limits": Limits,
}
"""Class of the objects by kind, the first part of a path below ``ROOT``."""


@attrs.frozen
class SettingPath:
    """Path of one operators' setting.

    :param kind: first part below the root, a key of ``KINDS``
    :param name: the rest of the path
    """

    kind: str
    name: str

    def __str__(self) -> str:
        return f"{ROOT}{self.kind}/{self.name}"


def parse_path(path: str) -> SettingPath:
    """Parse the path of a setting.

    :param path: path of a row
    :return: its parts
    :raises ValueError: not a valid path of a setting
    """
    if not path.startswith(ROOT):
        raise ValueError(f"{path!r} is not below {ROOT}")
    kind, _, name = path.removeprefix(ROOT).partition("/")
    if kind not in KINDS:
        raise ValueError(f"unknown kind {kind!r}; known are {', '.join(KINDS)}")
    _check_setting_name(kind, name)
    return SettingPath(kind, name)


def _check_setting_name(kind: str, name: str) -> None:
    parts = name.split("/") if kind == "owners" else [name]
    for part in parts:
        check_name(None, attrs.fields(SettingPath).name, part)
    if kind == "owners" and parts[0] not in KINDS:
        raise ValueError(f"no settings exist below {name!r}; known are {', '.join(KINDS)}")
    if kind == "links":
        _check_link_name(name)


def _check_link_name(name: str) -> None:
    one, separator, other = name.partition(SEPARATOR)
    if not separator or not one or not other or one == other:
        raise ValueError(f"{name!r} does not name two regions as one{SEPARATOR}other")
    if name != build_link_name(one, other):
        raise ValueError(f"{name!r} is not in order; write {build_link_name(one, other)}")


def build_setting(path: SettingPath, document: Document) -> Setting:
    """Build the object at a path.

    :param path: path of the setting
    :param document: the object as written
    :return: the object, with its name
    :raises SettingsError: all problems of the document
    """
    setting = structure_document(document, KINDS[path.kind])
    return attrs.evolve(setting, name=path.name)


def parse_setting(path: str, text: str) -> Setting:
    """Build the object of a row.

    :param path: path of the row
    :param text: JSON text of the row
    :return: the object, with its name
    :raises SettingsError: the path or the text is invalid
    """
    try:
        parsed = parse_path(path)
        value: Any = decode_json(text)
    except DecodeError as error:
        raise SettingsError((Problem(path, UNKNOWN_LINE, "", f"not JSON: {error}"),)) from error
    except ValueError as error:
        raise SettingsError((Problem(path, UNKNOWN_LINE, "", str(error)),)) from error
    return build_setting(parsed, Document(path, value))


__all__ = [
    "KINDS",
    "ROOT",
    "Setting",
    "SettingPath",
    "build_setting",
    "parse_path",
    "parse_setting",
]
