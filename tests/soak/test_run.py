"""Check the state that a run has by its promises."""

from __future__ import annotations

from pathlib import Path

import pytest

from soak.promptreads import PromptReads
from soak.run import Result
from soak.settings import SoakSettings
from soak.streampromises import TakeUps


# fault: a run that says nothing about a promise passed for one that kept it
@pytest.mark.parametrize(
    ("breaches", "unjudged", "state"),
    [
        ({}, {}, "kept"),
        ({}, {"CalmIsServed": "stalls"}, "not judged"),
        ({"RunsOnce": ["r1 ran 2 times"]}, {"CalmIsServed": "stalls"}, "broken"),
    ],
)
def test_only_what_was_judged_is_kept(
    breaches: dict[str, list[str]], unjudged: dict[str, str], state: str, tmp_path: Path
) -> None:
    result = Result(
        SoakSettings(),
        breaches,
        unjudged,
        1,
        1,
        TakeUps(0, 0, 0, 0),
        PromptReads(0, 0),
        0.0,
        tmp_path,
    )
    assert (result.state, result.is_kept) == (state, state == "kept")
