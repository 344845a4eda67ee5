"""Routes and keys of one configuration."""

from __future__ import annotations

import random

from basilroad.gateway.route import RoutingTable, WeightedService
from builders import build_route, build_stream_route, build_table


def test_the_longest_prefix_wins() -> None:
    table = build_table(
        1, build_route(name="short", prefix="/a/"), build_route(name="long", prefix="/a/b/")
    )
    found = table.find_route("h.example", "/a/b/c")
    assert found is not None
    assert found.name == "long"
    other = table.find_route("h.example", "/a/bc")
    assert other is not None
    assert other.name == "short"


def test_another_host_or_path_has_no_route() -> None:
    table = build_table()
    assert table.find_route("other.example", "/a/x") is None
    assert table.find_route("h.example", "/a") is None


def test_keys_lead_to_their_workspace() -> None:
    table = build_table()
    found = table.find_workspace("key")
    assert found is not None
    assert found.name == "w"
    assert table.find_workspace("") is None


def test_targets_are_drawn_by_weight() -> None:
    route = build_route(targets=(WeightedService("one", 9), WeightedService("two", 1)))
    generator = random.Random(1)
    drawn = [route.select_service(generator) for _ in range(1000)]
    assert 850 < drawn.count("one") < 950


def test_a_stream_has_the_same_target_at_every_host() -> None:
    # fault: a stream was taken up at another service, where nothing was known of it
    targets = (WeightedService("one", 9), WeightedService("two", 1))
    routes = [build_route(targets=targets), build_route(targets=targets[::-1])]
    ids = [f"{number:016x}" for number in range(2000)]
    found = [[route.find_service(stream) for stream in ids] for route in routes]
    assert found[0] == found[1]
    assert 1740 < found[0].count("one") < 1860


def test_a_table_without_workspaces_needs_no_keys() -> None:
    assert not RoutingTable(1, [build_route()], []).needs_keys


def test_the_longest_time_limit_of_streams_is_found_by_service() -> None:
    two = (WeightedService("llm", 1), WeightedService("other", 1))
    table = build_table(
        1,
        build_route(prefix="/a/", timeout_s=900.0),
        build_stream_route(prefix="/b/", timeout_s=25.0),
        build_stream_route(prefix="/c/", timeout_s=300.0, targets=two),
        build_stream_route(prefix="/d/", timeout_s=60.0, targets=two),
    )
    assert table.find_stream_limits() == {"llm": 300.0, "other": 300.0}
