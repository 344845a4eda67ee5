"""Headers of callers; no network."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from basilroad.gateway.exchange.crashreports import MAX_KEY_CHARS, MAX_PARTS
from basilroad.platform.protocol import read_prompt_key, read_prompt_parts


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        ("303f382f7be8:207,a1981a4c14ec:95,33186cc311a2:8542", ("303f382f7be8", "a1981a4c14ec")),
        (" a:1 , b:2 ,c:3", ("a", "b")),
        ("c:3", ()),
        ("", ()),
        (",:5,a,last", ("a",)),
        ("=forged:1,last", ()),
        ("x" * (MAX_KEY_CHARS + 1) + ":1,a:1,last", ("a",)),
    ],
)
def test_the_last_part_and_unusable_names_are_left_out(text: str, parts: tuple[str, ...]) -> None:
    assert read_prompt_parts({"X-Prompt-Prefix": text}) == parts


# fault: a header of many thousand parts costs time and memory at each gateway
@given(st.text(alphabet="ab:,= ", max_size=400))
def test_parts_are_bounded(text: str) -> None:
    headers = {"X-Prompt-Prefix": text}
    parts = read_prompt_parts(headers)
    assert len(parts) <= MAX_PARTS
    assert all(0 < len(part) <= MAX_KEY_CHARS for part in parts)
    assert read_prompt_parts({"X-Prompt-Prefix": "a:1," * 5000 + "last"}) == ("a",) * MAX_PARTS
    assert read_prompt_key({"X-Prompt-Prefix": "a:1," * 5000 + "last:2"}) == "last"
