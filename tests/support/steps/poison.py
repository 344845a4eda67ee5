"""Steps for a request that crashes every engine that runs it."""

from __future__ import annotations

import time
from concurrent.futures import Future

from pytest_bdd import given, parsers, then, when

from support.callers import StreamedAnswer, stream_completion
from support.fleet import POLL_INTERVAL_S, Endpoint
from support.steps.context import MODEL, ScenarioContext
from support.steps.fleets import start_entries, wait_links

POISON = "POISON"
PROMPT = f"a {POISON} cask"
RESPONSE_TIMEOUT_S = 60.0


@given(
    parsers.parse(
        "a fleet of {engines:d} engines and {entries:d} entries that a poison request crashes"
    )
)
def start_fleet(context: ScenarioContext, engines: int, entries: int) -> None:
    context.fleet.add_platform()
    for number in range(engines):
        context.fleet.add_engine(f"engine-{number}", model=MODEL, slots=8, crash_on=POISON)
    start_entries(context, entries)


@given(
    parsers.parse(
        "2 data centres of {engines:d} engines and an entry that a poison request crashes in "
        "{first_s:g} and {second_s:g} seconds"
    )
)
def start_data_centres(
    context: ScenarioContext, engines: int, first_s: float, second_s: float
) -> None:
    context.fleet.add_platform()
    places = {("riga", "riga-a"): first_s, ("riga", "riga-b"): second_s}
    for place, crash_s in places.items():
        for number in range(engines):
            context.fleet.add_engine(
                f"{place[1]}-engine-{number}",
                model=MODEL,
                place=place,
                crash_on=POISON,
                prefill_s_per_token=crash_s / len(PROMPT.split()),
            )
    for place in places:
        context.fleet.add_entry(f"{place[1]}-entry", place=place)
    context.fleet.wait_ready()
    wait_links(context)


@when("the poison request is sent at the second entry")
def send_at_second(context: ScenarioContext) -> None:
    _spawn(context, 1)
    while not any(_count_running(each) for each in context.fleet.endpoints):
        time.sleep(POLL_INTERVAL_S)


@when("the second entry is killed before an engine crashes")
def kill_entry_first(context: ScenarioContext) -> None:
    context.fleet.entries[1].kill()
    assert not _list_crashed(context)
    while not _list_crashed(context):
        time.sleep(POLL_INTERVAL_S)


@when("the poison request is sent")
def send(context: ScenarioContext) -> None:
    context.poison_answers.append(context.wait(_spawn(context, 0), RESPONSE_TIMEOUT_S))


@when(parsers.parse("the poison request is sent again at both entries {times:d} times"))
def send_again(context: ScenarioContext, times: int) -> None:
    for number in range(2 * times):
        context.poison_answers.append(context.wait(_spawn(context, number % 2), RESPONSE_TIMEOUT_S))


@when(parsers.parse("the poison request is sent {times:d} times concurrently at both entries"))
def send_at_once(context: ScenarioContext, times: int) -> None:
    sent = [_spawn(context, number % 2) for number in range(times)]
    context.poison_answers.extend(context.wait(each, RESPONSE_TIMEOUT_S) for each in sent)


@then("each poison request is refused as poisoned")
def check_refused(context: ScenarioContext) -> None:
    assert context.poison_answers
    for answer in context.poison_answers:
        assert answer.error["code"] == "poisoned", answer
        assert not answer.texts


@then(parsers.parse("at most {crashes:d} engines have crashed"))
def check_crashes(context: ScenarioContext, crashes: int) -> None:
    crashed = _list_crashed(context)
    assert 1 <= len(crashed) <= crashes, crashed


def _list_crashed(context: ScenarioContext) -> list[str]:
    return [e.backend.name for e in context.fleet.endpoints if not e.backend.running]


def _count_running(endpoint: Endpoint) -> int:
    return int(endpoint.backend.ask("GET", "/control/counters")["running"])


def _spawn(context: ScenarioContext, entry: int) -> Future[StreamedAnswer]:
    url = context.fleet.entries[entry].url
    request = stream_completion(url, PROMPT, model=MODEL, max_tokens=20)
    return context.background.spawn(request)
