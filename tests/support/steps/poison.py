"""Steps for a request that crashes every engine that runs it."""

from __future__ import annotations

from concurrent.futures import Future

from pytest_bdd import given, parsers, then, when

from support.callers import StreamedAnswer, stream_completion
from support.steps.context import MODEL, ScenarioContext
from support.steps.fleets import start_entries

POISON = "POISON"
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


@when("the poison request is sent")
def send(context: ScenarioContext) -> None:
    context.poison_answers.append(_spawn(context, 0).result(RESPONSE_TIMEOUT_S))


@when(parsers.parse("the poison request is sent again at both entries {times:d} times"))
def send_again(context: ScenarioContext, times: int) -> None:
    for number in range(2 * times):
        context.poison_answers.append(_spawn(context, number % 2).result(RESPONSE_TIMEOUT_S))


@when(parsers.parse("the poison request is sent {times:d} times concurrently at both entries"))
def send_at_once(context: ScenarioContext, times: int) -> None:
    sent = [_spawn(context, number % 2) for number in range(times)]
    context.poison_answers.extend(each.result(RESPONSE_TIMEOUT_S) for each in sent)


@then("each poison request is refused as poisoned")
def check_refused(context: ScenarioContext) -> None:
    assert context.poison_answers
    for answer in context.poison_answers:
        assert answer.error["code"] == "poisoned", answer
        assert not answer.texts


@then(parsers.parse("at most {crashes:d} engines have crashed"))
def check_crashes(context: ScenarioContext, crashes: int) -> None:
    crashed = [e.backend.name for e in context.fleet.endpoints if not e.backend.running]
    assert 1 <= len(crashed) <= crashes, crashed


def _spawn(context: ScenarioContext, entry: int) -> Future[StreamedAnswer]:
    url = context.fleet.entries[entry].url
    request = stream_completion(url, f"a {POISON} cask", model=MODEL, max_tokens=20)
    return context.background.spawn(request)
