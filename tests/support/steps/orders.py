"""Steps for callers that place orders at a plain service."""

from __future__ import annotations

import asyncio
from concurrent.futures import Future

from pytest_bdd import given, parsers, then, when

from support.callers import OrderAnswer, place_order
from support.steps.context import SERVICE, ScenarioContext
from support.steps.fleets import get_proxy


@given(parsers.parse("each order takes {seconds:d} second"))
def slow_orders(context: ScenarioContext, seconds: int) -> None:
    for endpoint in context.fleet.endpoints:
        endpoint.backend.ask("POST", "/control", {"work_s": seconds})


@when(parsers.parse("order {order:d} is placed"))
@when(parsers.parse("order {order:d} is placed with the same key"))
def place(context: ScenarioContext, order: int) -> None:
    context.orders.append(spawn(context, order).result())


@when(parsers.parse("order {order:d} is placed with the same key at the other entry"))
def place_other(context: ScenarioContext, order: int) -> None:
    context.orders.append(spawn(context, order, entry=1).result())


@when(parsers.parse("order {order:d} is placed in the background"))
def place_background(context: ScenarioContext, order: int) -> None:
    for endpoint in context.fleet.endpoints:
        get_proxy(endpoint.backend).watch(b"x-order")
    context.order = spawn(context, order)


@when(
    parsers.parse(
        "order {order:d} is placed {times:d} times concurrently at both entries with the same key"
    )
)
def place_often(context: ScenarioContext, order: int, times: int) -> None:
    tries = [spawn(context, order, entry=number % 2) for number in range(times)]
    context.orders.extend(each.result() for each in tries)


@when("the service has started it")
def wait_begun(context: ScenarioContext) -> None:
    async def wait_any() -> int:
        waits = [
            asyncio.ensure_future(e.backend.proxy.wait_matched()) for e in context.fleet.endpoints
        ]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        done = [wait.done() for wait in waits]
        for wait in waits:
            wait.cancel()
        return done.index(True)

    context.target = context.fleet.endpoints[context.background.run(wait_any())]


@when("the agent of the busy service is asked to stop")
def stop_agent(context: ScenarioContext) -> None:
    assert context.target is not None
    context.stopped = context.target.agent
    context.stopped.stop()


@when("the store is cut off")
def cut_store(context: ScenarioContext) -> None:
    assert context.fleet.platform is not None
    get_proxy(context.fleet.platform).cut()


@when("the store is reachable again")
def heal_store(context: ScenarioContext) -> None:
    assert context.fleet.platform is not None
    get_proxy(context.fleet.platform).heal()


@when("the store applies the next write but does not answer")
def lose_store_answer(context: ScenarioContext) -> None:
    assert context.fleet.platform is not None
    context.fleet.platform.ask("POST", "/control", {"lose_answers": 1})


@when("the service is killed")
def kill_service(context: ScenarioContext) -> None:
    context.fleet.endpoints[0].backend.kill()


@when("the service starts again")
def restart_service(context: ScenarioContext) -> None:
    context.fleet.endpoints[0].backend.restart()


@when("the service runs the next order but does not answer")
def lose_service_answer(context: ScenarioContext) -> None:
    context.fleet.endpoints[0].backend.ask("POST", "/control", {"drop_answer_next": 1})


@when("the service runs the next order and its answer is cut")
def cut_service_answer(context: ScenarioContext) -> None:
    context.fleet.endpoints[0].backend.ask("POST", "/control", {"cut_answer_next": 1})


@then("the order is done")
def check_done(context: ScenarioContext) -> None:
    assert context.orders[-1].status == 200, context.orders[-1]


@then("the order in the background is done")
def check_background_done(context: ScenarioContext) -> None:
    assert context.order is not None
    answer = context.order.result()
    assert answer.status == 200, answer


@then("the order is refused by 503 as store_unavailable, which was not run")
def check_store_unavailable(context: ScenarioContext) -> None:
    answer = context.orders[-1]
    assert (answer.status, answer.error["code"]) == (503, "store_unavailable")
    assert answer.error["effect"] == "not_run"
    assert int(answer.headers["Retry-After"]) > 0


@then("the order is refused and was not run")
def check_not_run(context: ScenarioContext) -> None:
    answer = context.orders[-1]
    assert answer.status >= 400
    assert answer.error["effect"] == "not_run"


@then("the order is refused and may have run")
def check_may_have_run(context: ScenarioContext) -> None:
    answer = context.orders[-1]
    assert answer.status >= 400
    assert answer.error["effect"] in ("may_have_run", "ran")


@then(parsers.re(r"order (?P<order>\d+) has run (?P<times>\d+) times?"))
def check_times(context: ScenarioContext, order: str, times: str) -> None:
    assert count_runs(context, order) == int(times)


@then("no attempt was reported as not run")
def check_no_not_run(context: ScenarioContext) -> None:
    assert "not_run" not in [answer.error.get("effect") for answer in context.orders]


def count_runs(context: ScenarioContext, order: str) -> int:
    counts = [e.backend.ask("GET", "/control/counts") for e in context.fleet.endpoints]
    return int(sum(count.get(order, 0) for count in counts))


def spawn(context: ScenarioContext, order: int, entry: int = 0) -> Future[OrderAnswer]:
    call = place_order(
        context.fleet.entries[entry].url,
        SERVICE,
        "orders",
        body={"order": order},
        key=f"order-{order}",
        headers={"X-Order": str(order)},
    )
    return context.background.spawn(call)
