"""Check that imports are acyclic and that only allowed modules import the platform adapter."""

from __future__ import annotations

import ast
import gc
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import basilroad

ROOT = Path(basilroad.__file__).parent
PLATFORM_IMPORTERS = {"basilroad.cli.gateway"}
"""Modules outside the adapter that may import it (the composition root)."""


def read_imports() -> dict[str, set[str]]:
    """Imports of each module, including those for type checking."""
    imports: dict[str, set[str]] = {}
    for path in ROOT.rglob("*.py"):
        parts = path.relative_to(ROOT.parent).with_suffix("").parts
        found = imports.setdefault(".".join(parts), set())
        for node in ast.walk(_parse(path)):
            if isinstance(node, ast.ImportFrom) and node.module and node.level == 0:
                found.update(_name_modules(node))
    return imports


def _parse(path: Path) -> ast.Module:
    # finalizers that a garbage collection runs within the parser of Python 3.11 end it with
    # "AST constructor recursion depth mismatch"
    gc.disable()
    try:
        return ast.parse(path.read_text())
    finally:
        gc.enable()


def _name_modules(node: ast.ImportFrom) -> set[str]:
    assert node.module is not None
    if not node.module.startswith("basilroad"):
        return set()
    folder = ROOT.parent.joinpath(*node.module.split("."))
    names = {alias.name for alias in node.names if (folder / f"{alias.name}.py").exists()}
    return {f"{node.module}.{name}" for name in names} or {node.module}


def test_imports_are_acyclic() -> None:
    try:
        TopologicalSorter(read_imports()).prepare()
    except CycleError as error:
        raise AssertionError(f"import cycle: {error.args[1]}") from None


def test_only_the_composition_root_imports_the_adapter() -> None:
    for module, imports in read_imports().items():
        if module.startswith("basilroad.platform.") or module in PLATFORM_IMPORTERS:
            continue
        assert not [name for name in imports if name.startswith("basilroad.platform")], module
