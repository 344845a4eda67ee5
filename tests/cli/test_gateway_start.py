"""A gateway that is started again takes calls soon: it imports nothing that it doesn't run."""

from __future__ import annotations

import subprocess
import sys

from basilroad import coordination

UNUSED_MODULES = (
    "typer",
    "cattrs",
    "pydantic",
    "basilroad.cli.app",
    "basilroad.settings",
    "grpclib.client",
)
"""Modules of other commands and of the project's own control interface."""


def test_the_program_of_a_gateway_imports_no_module_of_other_commands() -> None:
    script = "import sys; import basilroad.cli.gateway; print(*sys.modules)"
    done = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    )
    loaded = set(done.stdout.split())
    assert not loaded.intersection(UNUSED_MODULES)


def test_every_public_name_of_the_coordination_package_can_be_imported() -> None:
    assert coordination.__all__
    for name in coordination.__all__:
        assert getattr(coordination, name) is not None
