"""Check that the log reference lists each log line of a gateway with its fields."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import basilroad

SOURCE = Path(basilroad.__file__).parent
PAGE = Path(__file__).parents[2] / "docs" / "reference" / "logs.md"
FOLDERS = ("gateway", "platform", "endpoints", "http")
LEVELS = {"info", "warning", "error"}


def read_lines() -> Iterator[tuple[str, str, set[str]]]:
    """:return: location, message and fields of each log call in the code."""
    paths = [path for folder in FOLDERS for path in (SOURCE / folder).rglob("*.py")]
    for path in [*paths, SOURCE / "cli" / "gateway.py"]:
        tree = ast.parse(path.read_text())
        for node in ast.walk(tree):
            if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
                continue
            if node.func.attr not in LEVELS or ast.unparse(node.func.value) != "_LOGGER":
                continue
            assert isinstance(node.args[0], ast.Constant), path
            yield f"{path.name}:{node.lineno}", str(node.args[0].value), _read_fields(node, tree)


def _read_fields(node: ast.Call, tree: ast.Module) -> set[str]:
    extra = next((k.value for k in node.keywords if k.arg == "extra"), None)
    if extra is None:
        return set()
    if isinstance(extra, ast.Call):
        # fields that several log calls share are built by a function of the module
        name = ast.unparse(extra.func)
        [extra] = [n for n in tree.body if isinstance(n, ast.FunctionDef) and n.name == name]
    elif isinstance(extra, ast.Name):
        assigned = [n for n in ast.walk(tree) if isinstance(n, ast.AnnAssign)]
        [extra] = [n for n in assigned if ast.unparse(n.target) == extra.id]
    tables = [n for n in ast.walk(extra) if isinstance(n, ast.Dict)]
    keys = [key for table in tables for key in table.keys]
    return {str(key.value) for key in keys if isinstance(key, ast.Constant)}


def read_page() -> dict[str, set[str]]:
    """:return: documented fields by message."""
    section = PAGE.read_text().split("## Lines of a gateway")[1].split("\n## ")[0]
    found: dict[str, set[str]] = {}
    for row in section.splitlines():
        cells = row.split("|")
        if len(cells) < 5:
            continue
        for message in re.findall(r"`([^`]+)`", cells[1]):
            found[message] = set(re.findall(r"`([^`]+)`", cells[2]))
    return found


def test_each_line_stands_on_the_page_with_its_fields() -> None:
    page, lines = read_page(), list(read_lines())
    assert len(lines) > 20
    missing = [
        (place, message, sorted(fields - page.get(message, set())))
        for place, message, fields in lines
        if message not in page or fields - page[message]
    ]
    assert not missing


def test_the_page_names_no_line_that_is_never_written() -> None:
    written = {message for _, message, _ in read_lines()} | {"lines dropped"}
    assert set(read_page()) <= written
