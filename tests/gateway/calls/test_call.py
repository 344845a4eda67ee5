"""Keys of calls."""

from __future__ import annotations

import pytest

from basilroad.gateway.calls.call import CACHE_KEY_BYTES
from builders import build_call, build_stream_route

ROUTE = build_stream_route()


def test_a_prompt_has_one_key_in_all_calls_of_its_workspace() -> None:
    first = build_call(ROUTE, id="c1", prompt_key="p")
    second = build_call(ROUTE, id="c2", prompt_key="p", body=b"other", resume_after="3")
    assert first.cache_key == second.cache_key
    assert len(first.cache_key) == CACHE_KEY_BYTES


# fault: a caller of another workspace that named the same prompt was placed where it was cached
@pytest.mark.parametrize("other", [{"workspace": "x"}, {"service": "x"}, {"prompt_key": "x"}])
def test_another_workspace_shares_no_key(other: dict[str, str]) -> None:
    call = build_call(ROUTE, prompt_key="p")
    assert build_call(ROUTE, **{"prompt_key": "p", **other}).cache_key != call.cache_key


def test_names_that_join_to_the_same_text_have_different_keys() -> None:
    calls = [
        build_call(ROUTE, workspace="a", service="bc", prompt_key="d"),
        build_call(ROUTE, workspace="ab", service="c", prompt_key="d"),
        build_call(ROUTE, workspace="ab", service="", prompt_key="cd"),
    ]
    assert len({call.cache_key for call in calls}) == len(calls)


def test_a_call_without_a_prompt_has_no_key() -> None:
    assert build_call(ROUTE).cache_key == b""


def test_bytes_that_are_no_text_have_a_key() -> None:
    assert build_call(ROUTE, prompt_key=b"\xff".decode(errors="surrogateescape")).cache_key
