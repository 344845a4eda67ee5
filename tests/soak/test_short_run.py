"""A short run of the soak, and a run of each seed that failed before."""

from __future__ import annotations

from pathlib import Path

import pytest
import yaml

from soak.run import Result, run_soak
from soak.settings import SoakSettings

# a run beside a machine that stalls again and again goes on for up to MAX_UNJUDGED_S
pytestmark = pytest.mark.timeout(240)

SHORT_S = 4.0
REGRESSIONS = Path(__file__).parents[2] / "soak" / "regressions.yaml"


def read_regressions() -> list[dict[str, object]]:
    return yaml.safe_load(REGRESSIONS.read_text())


def check_kept(result: Result, cause: str) -> None:
    assert result.breaches == {}, f"{cause}; see {result.folder}"
    assert result.unjudged == {}, f"not judged; see {result.folder}"


async def test_a_short_run_keeps_all_promises() -> None:
    result = await run_soak(SoakSettings(seed=1, length_s=SHORT_S))
    check_kept(result, "a promise was broken")
    assert result.served


@pytest.mark.parametrize("case", read_regressions(), ids=lambda case: f"seed-{case['seed']}")
async def test_a_seed_that_failed_before(case: dict[str, object]) -> None:
    settings = SoakSettings(
        seed=int(str(case["seed"])),
        length_s=float(str(case["length_s"])),
        gateways=int(str(case.get("gateways", SoakSettings().gateways))),
        has_releases=bool(case.get("has_releases", True)),
        has_pauses=bool(case.get("has_pauses", True)),
    )
    result = await run_soak(settings)
    check_kept(result, str(case["cause"]))
