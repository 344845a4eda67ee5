"""Check the mapping of error kinds to responses."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from basilroad.errors import ERROR_RESPONSES, Effect, ErrorKind, Refusal

ROW = re.compile(r"^\| `.*\|$", re.MULTILINE)


def test_every_kind_has_a_response() -> None:
    assert set(ERROR_RESPONSES) == set(ErrorKind)


@pytest.mark.parametrize(
    "kind", [k for k in ErrorKind if ERROR_RESPONSES[k].retry_after is not None]
)
def test_retry_is_offered_only_for_work_that_did_not_run(kind: ErrorKind) -> None:
    assert Refusal(kind, "").answer.effect is Effect.NOT_RUN


def test_reference_page_matches_the_table() -> None:
    page = Path(__file__).parents[1] / "docs" / "reference" / "errors.md"
    rows = [
        [cell.strip(" `") for cell in row.split("|")[1:7]] for row in ROW.findall(page.read_text())
    ]
    assert rows == [
        [
            kind.value,
            str(answer.http_status),
            answer.grpc_status.name,
            answer.effect.value,
            answer.type_name,
            str(answer.retry_after or "-"),
        ]
        for kind, answer in ERROR_RESPONSES.items()
    ]
