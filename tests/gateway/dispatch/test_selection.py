"""Endpoint selection under load and after failures; no network."""

from __future__ import annotations

import random
from collections import Counter
from functools import partial

from basilroad.gateway.calls.call import PromptSize
from basilroad.gateway.dispatch.preference import EnginePreference
from basilroad.gateway.dispatch.selection import Chooser, has_room
from basilroad.gateway.registry.endpoint import Endpoint, Reservation
from builders import ENGINE, PLACE, build_call, build_entry, build_stream_route


def build_chooser(seed: int = 1) -> Chooser:
    return Chooser(PLACE, random.Random(seed))


def build_engines(data_centres: list[str]) -> list[Endpoint]:
    return [
        Endpoint(build_entry(f"e{i}", service="llm", data_centre=dc, slots=48))
        for i, dc in enumerate(data_centres)
    ]


def place_streams(chooser: Chooser, engines: list[Endpoint], count: int) -> list[str]:
    """:return: endpoints of successive streams, none of which has started yet."""
    chosen = []
    for _ in range(count):
        call = build_call(build_stream_route())
        endpoint = chooser.choose(engines, call, ENGINE, 0.0)
        assert endpoint is not None
        Reservation(endpoint, call.size)
        chosen.append(endpoint.id)
    return chosen


def test_the_nearest_of_equal_endpoints_is_chosen() -> None:
    endpoints = [
        Endpoint(build_entry("far", data_centre="kurzeme-a")),
        Endpoint(build_entry("near", data_centre="riga-a")),
        Endpoint(build_entry("beside", data_centre="riga-b")),
    ]
    chosen = build_chooser().choose(endpoints, build_call(), None, 0.0)
    assert chosen is not None
    assert chosen.id == "near"


def test_concurrent_prompts_spread_over_engines() -> None:
    # several concurrent prompts, each with 1 s of prefill
    engines = build_engines(["riga-a", "riga-a", "kurzeme-a"])
    chosen = place_streams(build_chooser(), engines, 3)
    assert sorted(chosen) == ["e0", "e1", "e2"]


def test_an_engine_is_full_when_its_memory_is_reserved() -> None:
    # long prompts fill an engine's memory while most of its slots are free
    engine = build_engines(["riga-a"])[0]
    size = PromptSize(8000, 1000)
    taken = 0
    while has_room(engine, size, ENGINE, 0.0):
        Reservation(engine, size)
        taken += 1
    assert taken == 9


def test_a_prompt_as_large_as_the_memory_fits_an_empty_engine() -> None:
    engine = build_engines(["riga-a"])[0]
    large = PromptSize(ENGINE.memory_tokens, 0)
    assert has_room(engine, large, ENGINE, 0.0)
    Reservation(engine, PromptSize(10, 10))
    assert not has_room(engine, large, ENGINE, 0.0)


def test_after_a_failure_the_endpoints_of_its_data_centre_are_suspect() -> None:
    # fault: nearly all engines of a data centre crash at the same time
    engines = build_engines(["riga-a"] * 4 + ["riga-b"] * 2)
    for engine in engines:
        engine.listed_at = 0.0
    chooser, call = build_chooser(), build_call(build_stream_route())
    engines[0].record_unreachable(10.0)
    chosen = {chooser.choose(engines, call, ENGINE, 10.1) for _ in range(20)}
    assert {e.entry.data_centre for e in chosen if e} == {"riga-b"}
    holder = chooser.choose_backup_endpoint(engines, engines[4], call.size, ENGINE, 10.1)
    assert holder is not None
    assert holder.entry.data_centre == "riga-a", "a suspect backup endpoint is better than none"


def test_an_endpoint_that_has_responded_since_the_failure_is_not_suspect() -> None:
    engines = build_engines(["riga-a"] * 2 + ["kurzeme-a"])
    for engine in engines:
        engine.listed_at = 0.0
    engines[0].record_unreachable(10.0)
    engines[1].record_received(10.05)
    chosen = build_chooser().choose(
        engines, build_call(build_stream_route()), ENGINE, 10.1, avoid={"e0"}
    )
    assert chosen is engines[1]


def test_the_backup_is_kept_in_another_data_centre() -> None:
    engines = build_engines(["riga-a", "riga-a", "riga-b"])
    size = PromptSize(8000, 1000)
    holder = build_chooser().choose_backup_endpoint(engines, engines[0], size, ENGINE, 0.0)
    assert holder is engines[2]


def test_a_backup_is_kept_only_at_the_version_of_its_run() -> None:
    # fault: a stream resumed from the memory of another software version
    engines = [
        Endpoint(build_entry("e1", service="llm", slots=48)),
        Endpoint(build_entry("e2", service="llm", slots=48, data_centre="riga-b", version="v2")),
        Endpoint(build_entry("e3", service="llm", slots=48, data_centre="kurzeme-a")),
    ]
    size = PromptSize(8000, 1000)
    engines[2].load.memory_tokens = 10_000
    chooser = build_chooser()
    assert chooser.choose_backup_endpoint(engines, engines[0], size, ENGINE, 0.0) is engines[2]
    assert chooser.choose_backup_endpoint(engines[:2], engines[0], size, ENGINE, 0.0) is None


def test_a_failing_endpoint_is_avoided_until_its_failure_rate_decays() -> None:
    # fault: a server fails some of its calls while it reports itself healthy
    endpoints = [Endpoint(build_entry("near")), Endpoint(build_entry("far", data_centre="riga-b"))]
    for _ in range(3):
        endpoints[0].record_outcome(0.0, failed=True)
    chosen = build_chooser().choose(endpoints, build_call(), None, 0.1)
    assert chosen is endpoints[1]
    later = build_chooser().choose(endpoints, build_call(), None, 60.0)
    assert later is endpoints[0]


def test_a_busy_backup_engine_is_preferred_to_a_suspect_one() -> None:
    # fault: a data centre fails, and all remaining engines are busy with prefill
    engines = build_engines(["riga-a", "riga-b", "kurzeme-a"])
    for engine in engines:
        engine.listed_at = 0.0
    engines[1].record_unreachable(10.0)
    engines[1].backoff_until = 0.0
    engines[2].load.pending_prefill_tokens = 30_000
    size = PromptSize(8000, 1000)
    holder = build_chooser().choose_backup_endpoint(engines, engines[0], size, ENGINE, 10.5)
    assert holder is engines[2]


def build_choosers(hosts: int) -> list[Chooser]:
    """:return: choosers of gateways in one region that know each other."""
    return [
        Chooser(
            PLACE, random.Random(number), lambda: hosts, partial(EnginePreference, number, hosts)
        )
        for number in range(hosts)
    ]


def test_gateways_that_see_a_failure_at_once_select_different_engines() -> None:
    # fault: streams of a failed data centre are resumed by four gateways at the same time
    picks: Counter[str] = Counter()
    for chooser in build_choosers(4):
        engines = build_engines(["riga-a"] * 4 + ["riga-b"] * 4)
        picks.update(place_streams(chooser, engines, 2))
    # eight prompts at eight engines, without any gossip
    assert set(picks.values()) == {1}


def test_gateways_that_do_not_know_each_other_select_at_random() -> None:
    # all gateways have just started, and callers reconnect to all of them at once
    worst = []
    for seed in range(40):
        picks: Counter[str] = Counter()
        for gateway in range(4):
            engines = build_engines(["riga-a"] * 3 + ["riga-b"] * 3)
            chooser = build_chooser(100 * seed + gateway)
            picks.update(place_streams(chooser, engines, 2))
        worst.append(max(picks.values()))
    # eight prompts at six engines at random: on average three at the busiest engine
    assert sum(worst) / len(worst) < 3.3


def measure_idle_share(hosts: int) -> float:
    """:return: fraction of the gateways that choose the only engine that all report as idle."""
    call = build_call(build_stream_route())
    engines = build_engines(["riga-a"] * 4)
    for busy in engines[1:]:
        for _ in range(6):
            Reservation(busy, PromptSize(8000, 1000), needs_prefill=False)
    chosen = [chooser.choose(engines, call, ENGINE, 0.0) for chooser in build_choosers(hosts)]
    return sum(endpoint is engines[0] for endpoint in chosen) / hosts


def test_many_gateways_with_an_old_view_do_not_all_choose_the_idle_engine() -> None:
    # fault: 28 gateways get reports only every fifth round, and one engine looks idle to all
    assert measure_idle_share(hosts=4) == 1.0
    assert 0.25 < measure_idle_share(hosts=28) < 0.85


def test_a_gateway_prefers_a_distant_engine_without_pending_prefill() -> None:
    # one host has most of the callers of its region
    chooser = build_choosers(4)[1]
    engines = build_engines(["riga-a"] * 8)
    assert len(set(place_streams(chooser, engines, 8))) == 8
