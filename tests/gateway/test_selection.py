"""Choice of endpoints under load and after losses; no network."""

from __future__ import annotations

import random
from collections import Counter
from functools import partial

from basilroad.gateway.call import PromptSize
from basilroad.gateway.endpoint import Endpoint, Reservation
from basilroad.gateway.preference import EnginePreference
from basilroad.gateway.selection import Chooser, has_room
from builders import ENGINE, PLACE, build_call, build_entry, build_stream_route


def build_chooser(seed: int = 1) -> Chooser:
    return Chooser(PLACE, random.Random(seed))


def build_engines(data_centres: list[str]) -> list[Endpoint]:
    return [
        Endpoint(build_entry(f"e{i}", service="llm", data_centre=dc, slots=48))
        for i, dc in enumerate(data_centres)
    ]


def place_streams(chooser: Chooser, engines: list[Endpoint], count: int) -> list[str]:
    """:return: where streams go that come one after the other, before any has begun."""
    chosen = []
    for _ in range(count):
        call = build_call(build_stream_route())
        endpoint = chooser.choose(engines, call, ENGINE, 0.0)
        assert endpoint is not None
        Reservation(endpoint, call.size)
        chosen.append(endpoint.id)
    return chosen


def test_the_nearest_of_like_endpoints_is_chosen() -> None:
    endpoints = [
        Endpoint(build_entry("far", data_centre="kurzeme-a")),
        Endpoint(build_entry("near", data_centre="riga-a")),
        Endpoint(build_entry("beside", data_centre="riga-b")),
    ]
    chosen = build_chooser().choose(endpoints, build_call(), None, 0.0)
    assert chosen is not None
    assert chosen.id == "near"


def test_prompts_spread_over_engines_instead_of_waiting_behind_each_other() -> None:
    # pattern: several prompts at once, each a second of reading
    engines = build_engines(["riga-a", "riga-a", "kurzeme-a"])
    chosen = place_streams(build_chooser(), engines, 3)
    assert sorted(chosen) == ["e0", "e1", "e2"]


def test_an_engine_is_full_when_its_memory_is_promised() -> None:
    # pattern: long prompts fill an engine's memory while most of its slots are free
    engine = build_engines(["riga-a"])[0]
    size = PromptSize(8000, 1000)
    taken = 0
    while has_room(engine, size, ENGINE):
        Reservation(engine, size)
        taken += 1
    assert taken == 9


def test_a_prompt_as_large_as_the_memory_fits_an_empty_engine() -> None:
    engine = build_engines(["riga-a"])[0]
    large = PromptSize(ENGINE.memory_tokens, 0)
    assert has_room(engine, large, ENGINE)
    Reservation(engine, PromptSize(10, 10))
    assert not has_room(engine, large, ENGINE)


def test_after_one_loss_the_endpoints_beside_it_are_doubted() -> None:
    # pattern: nearly all engines of a data centre crash in the same moment
    engines = build_engines(["riga-a"] * 4 + ["riga-b"] * 2)
    for engine in engines:
        engine.listed_at = 0.0
    chooser, call = build_chooser(), build_call(build_stream_route())
    engines[0].record_unreachable(10.0)
    chosen = {chooser.choose(engines, call, ENGINE, 10.1) for _ in range(20)}
    assert {e.entry.data_centre for e in chosen if e} == {"riga-b"}
    holder = chooser.choose_copy_holder(engines, engines[4], call.size, ENGINE, 10.1)
    assert holder is not None
    assert holder.entry.data_centre == "riga-a", "a doubtful holder is better than none"


def test_an_endpoint_heard_since_the_loss_is_not_doubted() -> None:
    engines = build_engines(["riga-a"] * 2 + ["kurzeme-a"])
    for engine in engines:
        engine.listed_at = 0.0
    engines[0].record_unreachable(10.0)
    engines[1].record_heard(10.05)
    chosen = build_chooser().choose(
        engines, build_call(build_stream_route()), ENGINE, 10.1, avoid={"e0"}
    )
    assert chosen is engines[1]


def test_the_copy_is_kept_in_another_data_centre() -> None:
    engines = build_engines(["riga-a", "riga-a", "riga-b"])
    size = PromptSize(8000, 1000)
    holder = build_chooser().choose_copy_holder(engines, engines[0], size, ENGINE, 0.0)
    assert holder is engines[2]


def test_a_failing_endpoint_is_passed_over_until_its_failures_fade() -> None:
    # pattern: a server fails part of its calls while it says that it is well
    endpoints = [Endpoint(build_entry("near")), Endpoint(build_entry("far", data_centre="riga-b"))]
    for _ in range(3):
        endpoints[0].record_outcome(0.0, failed=True)
    chosen = build_chooser().choose(endpoints, build_call(), None, 0.1)
    assert chosen is endpoints[1]
    later = build_chooser().choose(endpoints, build_call(), None, 60.0)
    assert later is endpoints[0]


def test_the_copy_is_rather_kept_at_a_busy_engine_than_at_one_in_doubt() -> None:
    # pattern: a data centre is lost, and all that is left reads prompts
    engines = build_engines(["riga-a", "riga-b", "kurzeme-a"])
    for engine in engines:
        engine.listed_at = 0.0
    engines[1].record_unreachable(10.0)
    engines[1].suspect_until = 0.0
    engines[2].load.unread_tokens = 30_000
    size = PromptSize(8000, 1000)
    holder = build_chooser().choose_copy_holder(engines, engines[0], size, ENGINE, 10.5)
    assert holder is engines[2]


def build_choosers(hosts: int) -> list[Chooser]:
    """:return: choosers of gateways of one region that have heard of each other."""
    return [
        Chooser(
            PLACE, random.Random(number), lambda: hosts, partial(EnginePreference, number, hosts)
        )
        for number in range(hosts)
    ]


def test_gateways_that_see_a_loss_at_once_part() -> None:
    # pattern: streams of a lost data centre go on elsewhere, from four gateways at once
    picks: Counter[str] = Counter()
    for chooser in build_choosers(4):
        engines = build_engines(["riga-a"] * 4 + ["riga-b"] * 4)
        picks.update(place_streams(chooser, engines, 2))
    # eight prompts at eight engines, though none hears of the others
    assert set(picks.values()) == {1}


def test_gateways_that_have_not_heard_of_each_other_part_by_chance() -> None:
    # pattern: all gateways have just started, and callers come back to all of them at once
    worst = []
    for seed in range(40):
        picks: Counter[str] = Counter()
        for gateway in range(4):
            engines = build_engines(["riga-a"] * 3 + ["riga-b"] * 3)
            chooser = build_chooser(100 * seed + gateway)
            picks.update(place_streams(chooser, engines, 2))
        worst.append(max(picks.values()))
    # eight prompts at six engines by chance alone: three at one engine on the average
    assert sum(worst) / len(worst) < 3.3


def count_idle(hosts: int) -> float:
    """:return: share of the gateways that choose the one engine that looks idle to all."""
    call = build_call(build_stream_route())
    engines = build_engines(["riga-a"] * 4)
    for busy in engines[1:]:
        for _ in range(6):
            Reservation(busy, PromptSize(8000, 1000), reads_prompt=False)
    chosen = [chooser.choose(engines, call, ENGINE, 0.0) for chooser in build_choosers(hosts)]
    return sum(endpoint is engines[0] for endpoint in chosen) / hosts


def test_many_gateways_with_one_old_view_do_not_all_choose_the_idle_engine() -> None:
    # pattern: 28 gateways hear of each other every fifth round, and one engine looks idle to all
    assert count_idle(hosts=4) == 1.0
    assert 0.25 < count_idle(hosts=28) < 0.85


def test_a_gateway_leaves_its_territory_for_an_engine_that_reads_nothing() -> None:
    # pattern: one host has most of the callers of its region
    chooser = build_choosers(4)[1]
    engines = build_engines(["riga-a"] * 8)
    assert len(set(place_streams(chooser, engines, 8))) == 8
