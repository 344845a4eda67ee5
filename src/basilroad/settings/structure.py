"""Build attrs objects from plain values and report all problems with their paths."""

from __future__ import annotations

import typing
from collections.abc import Callable, Iterator
from functools import singledispatch
from typing import Any, Literal, TypeVar

import attrs
import cattrs
from cattrs.cols import homogenous_tuple_structure_factory, is_mapping, mapping_structure_factory
from cattrs.gen import make_dict_structure_fn, override

from basilroad.settings.document import Document, DocumentPath, format_path
from basilroad.settings.problem import Problem, SettingsError
from basilroad.world.name import FROM_PATH

T = TypeVar("T")
_Hook = Callable[[Any, Any], Any]

_TYPE_NAMES: dict[type, str] = {
    bool: "true or false",
    int: "a whole number",
    float: "a number",
    str: "text",
    dict: "a mapping",
    list: "a list",
    type(None): "nothing",
}


class WrongTypeError(TypeError):
    """A value has another type than its field.

    :param expected: description of the type that the field takes
    :param value: the value found
    """

    def __init__(self, expected: str, value: object) -> None:
        found = _TYPE_NAMES.get(type(value), type(value).__name__)
        super().__init__(f"expected {expected}, found {found}")


def structure_document(document: Document, cls: type[T]) -> T:
    """Build an object from a document.

    :param document: plain values and their lines
    :param cls: attrs class of the object
    :return: the object
    :raises SettingsError: all problems of the document
    """
    try:
        return _CONVERTER.structure(document.value, cls)
    except Exception as error:
        problems = tuple(sorted(_collect(error, (), document)))
        raise SettingsError(problems) from error


def _collect(error: BaseException, path: DocumentPath, document: Document) -> Iterator[Problem]:
    if isinstance(error, cattrs.BaseValidationError):
        for inner in error.exceptions:
            yield from _collect(inner, path + _get_key(inner), document)
        return
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        known = ", ".join(f.name for f in attrs.fields(error.cl) if not f.metadata.get(FROM_PATH))
        for key in sorted(map(str, error.extra_fields)):
            yield _make_problem((*path, key), f"unknown key; known are {known}", document)
        return
    yield _make_problem(path, explain_error(error), document)


def _get_key(error: BaseException) -> DocumentPath:
    for note in getattr(error, "__notes__", ()):
        if isinstance(note, cattrs.AttributeValidationNote):
            return (note.name,)
        if isinstance(note, cattrs.IterableValidationNote):
            return (note.index,)
    return ()


def _make_problem(path: DocumentPath, cause: str, document: Document) -> Problem:
    return Problem(document.name, document.find_line(path), format_path(path), cause)


@singledispatch
def explain_error(error: BaseException) -> str:
    """:return: description of a validation error."""
    return str(error)


@explain_error.register
def _(_error: KeyError) -> str:
    return "required key is missing"


def _check_plain(plain: type) -> _Hook:
    def check(value: Any, _: Any) -> Any:
        if type(value) is not plain:
            raise WrongTypeError(_TYPE_NAMES[plain], value)
        return value

    return check


def _structure_float(value: Any, _: Any) -> float:
    if type(value) not in (int, float):
        raise WrongTypeError(_TYPE_NAMES[float], value)
    return float(value)


def _check_choice(value: Any, cls: Any) -> Any:
    choices = typing.get_args(cls)
    if not any(type(value) is type(choice) and value == choice for choice in choices):
        listed = ", ".join(map(str, choices))
        raise ValueError(f"expected one of {listed}, found {value!r}")
    return value


def _is_tuple(cls: Any) -> bool:
    return typing.get_origin(cls) is tuple


def _is_literal(cls: Any) -> bool:
    return typing.get_origin(cls) is Literal


def _make_tuple_hook(cls: Any, converter: cattrs.Converter) -> _Hook:
    build = homogenous_tuple_structure_factory(cls, converter)

    def structure_tuple(value: Any, _: Any) -> Any:
        if not isinstance(value, list):
            raise WrongTypeError("a list", value)
        return build(value, cls)

    return structure_tuple


def _make_mapping_hook(cls: Any, converter: cattrs.Converter) -> _Hook:
    build = mapping_structure_factory(cls, converter, structure_to=dict)

    def structure_mapping(value: Any, _: Any) -> Any:
        if not isinstance(value, dict):
            raise WrongTypeError("a mapping", value)
        return build(value, cls)

    return structure_mapping


def _make_object_hook(cls: Any, converter: cattrs.Converter) -> _Hook:
    overrides: dict[str, Any] = {f.name: _override_field(f, converter) for f in attrs.fields(cls)}
    build = make_dict_structure_fn(
        cls,
        converter,
        _cattrs_forbid_extra_keys=True,
        _cattrs_detailed_validation=True,
        **overrides,
    )

    def structure_object(value: Any, _: Any) -> Any:
        if not isinstance(value, dict):
            raise WrongTypeError("a mapping", value)
        return build(value, cls)

    return structure_object


def _override_field(field: attrs.Attribute[Any], converter: cattrs.Converter) -> Any:
    if field.metadata.get(FROM_PATH):
        return override(omit=True)
    if field.validator is None:
        return override()
    validator = field.validator

    # Validators also run here, since the constructor stops at the first problem.
    def structure_field(value: Any, cls: Any) -> Any:
        structured = converter.structure(value, cls)
        validator(None, field, structured)
        return structured

    return override(struct_hook=structure_field)


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(detailed_validation=True, forbid_extra_keys=True)
    for plain in (bool, int, str):
        converter.register_structure_hook(plain, _check_plain(plain))
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook_func(_is_literal, _check_choice)
    converter.register_structure_hook_factory(_is_tuple, _make_tuple_hook)
    converter.register_structure_hook_factory(is_mapping, _make_mapping_hook)
    converter.register_structure_hook_factory(attrs.has, _make_object_hook)
    return converter


_CONVERTER = _make_converter()

__all__ = ["WrongTypeError", "explain_error", "structure_document"]
