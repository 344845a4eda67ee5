"""How far a silence reaches, and how long calls wait for its end; no network."""

from __future__ import annotations

import math

import pytest

from basilroad.gateway.registry.endpoint import Endpoint
from basilroad.gateway.registry.pendingcalls import MoveScope
from basilroad.gateway.registry.silence import (
    LONG_SILENCE_S,
    Silence,
    SilenceKind,
    choose_scope,
    estimate_restart,
    find_silence,
)
from builders import build_entry

NOW = 100.0
PROMPT_TOKENS = 8000


def build_engines(silent: str, heard: str) -> list[Endpoint]:
    """Build engines, one for each letter, which names the data centre."""
    engines = []
    for number, letter in enumerate(silent + heard):
        entry = build_entry(f"i-{number}", service="llm", data_centre=f"riga-{letter}")
        engine = Endpoint(entry)
        if number < len(silent):
            engine.last_received_at = NOW - 0.5
            engine.record_silent(NOW - 0.01)
        else:
            engine.record_received(NOW - 0.05)
        engines.append(engine)
    return engines


@pytest.mark.parametrize(
    ("silent", "heard", "kind"),
    [
        ("a", "abcabc", SilenceKind.ALONE),
        ("ab", "abcabc", SilenceKind.ALONE),
        ("abc", "abc", SilenceKind.WIDESPREAD),
        ("aaa", "abc", SilenceKind.WIDESPREAD),
        ("aaa", "bbcc", SilenceKind.DATA_CENTRE),
        ("aaabbb", "cc", SilenceKind.WIDESPREAD),
        ("abc", "", SilenceKind.CUT_OFF),
        ("ab", "", SilenceKind.CUT_OFF),
        ("a", "", SilenceKind.ALONE),
    ],
)
def test_a_silence_is_judged_by_that_of_other_engines(silent, heard, kind) -> None:
    engine, *others = build_engines(silent, heard)
    assert find_silence(engine, others, NOW).kind is kind


def test_an_old_silence_counts_no_longer() -> None:
    engine, *others = build_engines("abc", "abc")
    for other in others[:2]:
        other.lost_at = NOW - 3.0
    assert find_silence(engine, others, NOW).kind is SilenceKind.ALONE


def test_the_calls_of_all_silent_engines_count_in_the_restart_of_each() -> None:
    engines = build_engines("abc", "abc")
    alone = Silence(SilenceKind.ALONE, 0, 5)
    half = Silence(SilenceKind.WIDESPREAD, 3, 3)
    idle_s = estimate_restart(PROMPT_TOKENS, engines, half)
    assert idle_s == estimate_restart(PROMPT_TOKENS, engines, alone)
    for engine in engines:
        engine.remote.calls = 4
    assert estimate_restart(PROMPT_TOKENS, engines, alone) == idle_s
    assert estimate_restart(PROMPT_TOKENS, engines, half) == pytest.approx(3 * idle_s)


@pytest.mark.parametrize(
    ("kind", "silence_s", "scope"),
    [
        (SilenceKind.ALONE, 0.45, MoveScope.FREE_PLACE),
        (SilenceKind.DATA_CENTRE, 0.45, MoveScope.FREE_PLACE),
        (SilenceKind.WIDESPREAD, 0.45, MoveScope.COPY),
        (SilenceKind.WIDESPREAD, 1.3, MoveScope.COPY),
        (SilenceKind.WIDESPREAD, 1.6, MoveScope.FREE_PLACE),
        (SilenceKind.CUT_OFF, 1.3, MoveScope.COPY),
        (SilenceKind.ALONE, LONG_SILENCE_S, MoveScope.QUEUE),
        (SilenceKind.CUT_OFF, LONG_SILENCE_S, MoveScope.QUEUE),
    ],
)
def test_calls_without_a_copy_wait_as_long_as_they_would_wait_elsewhere(
    kind, silence_s, scope
) -> None:
    assert choose_scope(Silence(kind, 3, 3), silence_s, restart_s=1.5) is scope


def test_nothing_can_be_run_again_while_no_engine_is_heard() -> None:
    assert estimate_restart(PROMPT_TOKENS, [], Silence(SilenceKind.CUT_OFF, 3, 0)) == math.inf


def test_an_engine_that_was_asked_counts_as_silent_until_it_answers() -> None:
    engine, *others = build_engines("a", "abcab")
    assert find_silence(engine, others, NOW, others[:1]).kind is SilenceKind.ALONE
    assert find_silence(engine, others, NOW, others[:2]).kind is SilenceKind.WIDESPREAD
