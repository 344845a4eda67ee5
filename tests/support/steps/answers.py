"""Steps for callers that request completions."""

from __future__ import annotations

import itertools

from pytest_bdd import parsers, then, when

from basilroad.standin.tokens import expect_tokens
from support.callers import attach_generation
from support.steps.context import CompletionRequest, ScenarioContext


@when(parsers.parse("a caller asks for {count:d} tokens"))
def ask_one(context: ScenarioContext, count: int) -> None:
    context.send_request(CompletionRequest("anna", count, key="only"))


@when(parsers.parse("a caller asks for {count:d} tokens with seed {seed:d}"))
def ask_with_seed(context: ScenarioContext, count: int, seed: int) -> None:
    context.send_request(CompletionRequest("anna", count, seed=seed))


@when(parsers.parse("a caller asks for {count:d} tokens of a model that is not served"))
def ask_unknown(context: ScenarioContext, count: int) -> None:
    context.send_request(CompletionRequest("anna", count, model="nobody"))


@when(parsers.parse("{callers:d} callers ask for {count:d} tokens each"))
def ask_many(context: ScenarioContext, callers: int, count: int) -> None:
    entries = itertools.cycle(range(len(context.fleet.entries)))
    first = len(context.requests)
    for number in range(first, first + callers):
        context.send_request(
            CompletionRequest(f"caller-{number}", count, key="same", entry=next(entries))
        )


@when(parsers.parse("caller {caller:w} asks for {count:d} tokens with key {key}"))
def ask_with_key(context: ScenarioContext, caller: str, count: int, key: str) -> None:
    context.send_request(CompletionRequest(caller, count, key=key))


@when(parsers.parse("caller {caller:w} sends key {key:w} again at each entry"))
def ask_again(context: ScenarioContext, caller: str, key: str) -> None:
    first = context.requests[0]
    for entry in range(len(context.fleet.entries)):
        context.send_request(CompletionRequest(caller, first.count, key=key, entry=entry))


@when("each of them sends its key again at each entry")
def ask_all_again(context: ScenarioContext) -> None:
    for request in list(context.requests):
        for entry in range(len(context.fleet.entries)):
            context.send_request(
                CompletionRequest(request.caller, request.count, key=request.key, entry=entry)
            )


@when(parsers.parse("caller {caller:w} sends key {key:w} again with another body at each entry"))
def ask_otherwise(context: ScenarioContext, caller: str, key: str) -> None:
    first = context.requests[0]
    for entry in range(len(context.fleet.entries)):
        context.send_request(CompletionRequest(caller, first.count + 1, key=key, entry=entry))


@when(parsers.parse("{count:d} tokens have been received"))
@when(parsers.parse("each of them has {count:d} tokens"))
def wait_tokens(context: ScenarioContext, count: int) -> None:
    context.wait_tokens(count)


@when("all answers are complete")
def wait_ended(context: ScenarioContext) -> None:
    context.wait_answers()


@when("the caller's connection breaks")
def break_connection(context: ScenarioContext) -> None:
    (request,) = context.requests
    assert request.future is not None
    request.future.cancel()


@when("the caller attaches at the other entry")
def attach_other(context: ScenarioContext) -> None:
    context.attach(context.requests[0], 1)


@when("the caller attaches at the same entry")
def attach_same(context: ScenarioContext) -> None:
    context.attach(context.requests[0], 0)


@then(parsers.re(r"the caller has all (?P<count>\d+) tokens once"))
@then(parsers.re(r"each caller has all (?P<count>\d+) tokens of its own answer once"))
@then("each caller has all tokens of its own answer once")
def check_answers(context: ScenarioContext, count: str = "") -> None:
    context.wait_answers()
    for request in context.requests:
        assert not count or request.count == int(count)
        check_whole(request)


@then(
    parsers.re(
        r"the caller has all (?P<count>\d+) tokens once, or an error that the generation is lost"
    )
)
def check_whole_or_lost(context: ScenarioContext, count: str) -> None:
    context.wait_answers()
    (request,) = context.requests
    assert request.count == int(count)
    if request.answer.ended:
        check_whole(request)
    else:
        assert request.answer.error["code"] == "generation_lost", request.answer.error
        check_offsets(request)


@then(parsers.re(r"the answers are (?P<number>one|two) generations?"))
def check_generations(context: ScenarioContext, number: str) -> None:
    generations = set().union(*(request.answer.generations for request in context.requests))
    assert len(generations) == ("one", "two").index(number) + 1


@then("there is one generation for each caller")
def check_one_each(context: ScenarioContext) -> None:
    named = {(request.caller, *request.answer.generations) for request in context.requests}
    assert len(named) == len({request.caller for request in context.requests})


@then(parsers.parse("the engines have generated {count:d} tokens"))
def check_generated(context: ScenarioContext, count: int) -> None:
    assert context.count_generated() == count


@then("no token was generated twice")
def check_generated_once(context: ScenarioContext) -> None:
    assert context.count_generated() == sum(request.count for request in context.requests)


@then("both are refused by 422 as key_reused, which was not run")
def check_key_reused(context: ScenarioContext) -> None:
    refused = [context.requests.pop(), context.requests.pop()]
    for request in refused:
        assert request.future is not None
        context.wait(request.future, 10)
        answer = request.answer
        assert (answer.status, answer.error["code"]) == (422, "key_reused")
        assert answer.error["effect"] == "not_run"


@then("it is refused and was not run")
def check_not_run(context: ScenarioContext) -> None:
    context.wait_answers()
    answer = context.requests[-1].answer
    assert answer.status >= 400
    assert answer.error["effect"] == "not_run"
    assert not answer.texts


@then(parsers.parse("caller {caller:w} cannot attach to it at any entry"))
def check_foreign(context: ScenarioContext, caller: str) -> None:
    request = context.requests[0]
    for entry in context.fleet.entries:
        foreign = CompletionRequest(caller, request.count)
        foreign.answer.ids.extend(request.answer.ids[:1])
        attach = attach_generation(entry.url, foreign.answer, foreign.headers)
        answer = context.background.run(attach)
        assert (answer.status, answer.error["code"]) == (404, "unknown_generation")


def check_whole(request: CompletionRequest) -> None:
    """Check that an answer is complete, with each token once and byte for byte as expected."""
    answer = request.answer
    assert answer.error is None, f"{answer.error} after {answer.count} tokens"
    expected = expect_tokens(request.model, "", "1", request.prompt, request.seed, request.count)
    assert answer.text == "".join(expected)
    assert answer.ended
    assert answer.finish_reason == "length"
    check_offsets(request)


def check_offsets(request: CompletionRequest) -> None:
    """Check that the event ids name one generation and count every token."""
    answer = request.answer
    assert len(answer.generations) == 1
    counts = itertools.accumulate(len(text.split()) for text in answer.texts)
    assert list(counts) == [int(i.rpartition(":")[2]) for i in answer.ids]
