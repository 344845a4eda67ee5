"""Tests that the coordination package can be embedded on its own."""

from __future__ import annotations

import ast
import subprocess
import sys
from pathlib import Path

import pytest

import basilroad.coordination

MODULES = sorted(Path(basilroad.coordination.__file__).parent.glob("*.py"))
ALLOWED = {*sys.stdlib_module_names, "attrs", "mode", "msgspec", "xxhash"}


def _imported(path: Path) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0
            names.add(node.module)
    return names


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_module_imports_only_libraries_and_coordination(path: Path) -> None:
    foreign = {
        name
        for name in _imported(path)
        if name.split(".")[0] not in ALLOWED and not name.startswith("basilroad.coordination")
    }
    assert foreign == set()


def test_import_loads_no_other_package_of_basilroad() -> None:
    code = "import sys, basilroad.coordination; print(*sys.modules)"
    output = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True).stdout
    loaded = {name for name in output.decode().split() if name.startswith("basilroad.")}
    assert {name for name in loaded if not name.startswith("basilroad.coordination")} == set()
    assert not {"aiohttp", "grpclib"} & set(output.decode().split())


def test_public_names_exist() -> None:
    for name in basilroad.coordination.__all__:
        assert hasattr(basilroad.coordination, name)


def test_every_public_name_is_in_the_reference() -> None:
    page = (Path(__file__).parents[2] / "docs" / "reference" / "coordination.md").read_text()
    missing = [name for name in basilroad.coordination.__all__ if f"`{name}" not in page]
    assert missing == []
