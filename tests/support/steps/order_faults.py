"""Steps that place orders while processes, links and the store fail."""

from __future__ import annotations

from concurrent.futures import Future

import msgspec
from pytest_bdd import given, parsers, then, when

from support.callers import OrderAnswer, place_order
from support.fleet import Process
from support.proxy import FaultProxy
from support.settingslog import wait_setting
from support.steps.context import SERVICE, ScenarioContext
from support.steps.fleets import get_proxy

CLAIM_WRITE_DELAY_S = 0.3
"""Duration of a write to the store, long enough to stop its writer meanwhile."""

WAIT_LIMIT_S = 2.0
IDEMPOTENT_CALLS = [{"method": "POST", "path": "/stock", "idempotent": True}]


@given("stock lookups are idempotent and hedged")
def set_contract(context: ScenarioContext) -> None:
    contract = {"patience_s": WAIT_LIMIT_S, "calls": IDEMPOTENT_CALLS, "hedge_after_s": 0.3}
    revision = context.fleet.put_setting(f"services/{SERVICE}", contract)
    for process in (*context.fleet.entries, *(e.agent for e in context.fleet.endpoints)):
        wait_setting(process, f"services/{SERVICE}", revision)


@when(parsers.parse("order {order} is sent at entry {entry:d}"))
def send(context: ScenarioContext, order: str, entry: int) -> None:
    record_response(context, order, spawn_order(context, order, entry))


@when(parsers.parse("order {order} is sent at entry {entry:d} in the background"))
def send_background(context: ScenarioContext, order: str, entry: int) -> None:
    for endpoint in context.fleet.endpoints:
        get_proxy(endpoint.backend).watch(b"x-order")
    context.order = spawn_order(context, order, entry)


@when(
    parsers.re(
        r"order (?P<order>\w+) is sent at entry (?P<entry>\d), "
        r"which is (?P<what>paused|killed) while its claim is written"
    )
)
def send_and_stop(context: ScenarioContext, order: str, entry: str, what: str) -> None:
    process = context.fleet.entries[int(entry)]
    slow_store(context, CLAIM_WRITE_DELAY_S)
    get_store_proxy(context).watch(b"claims/")
    context.order = spawn_order(context, order, int(entry))
    context.background.run(get_store_proxy(context).wait_matched())
    process.freeze() if what == "paused" else process.kill()
    slow_store(context, 0.0)


@when("the claim is written while the links to the agents freeze")
def freeze_links_at_claim(context: ScenarioContext) -> None:
    slow_store(context, CLAIM_WRITE_DELAY_S)
    get_store_proxy(context).watch(b"claims/")
    context.order = spawn_order(context, "1", 0)
    context.background.run(get_store_proxy(context).wait_matched())
    for endpoint in context.fleet.endpoints:
        get_proxy(endpoint.agent).freeze()
    slow_store(context, 0.0)


@when("the links to the agents thaw")
def thaw_links(context: ScenarioContext) -> None:
    for endpoint in context.fleet.endpoints:
        get_proxy(endpoint.agent).thaw()


@when("the link to the busy agent is cut")
def cut_link(context: ScenarioContext) -> None:
    assert context.target is not None
    get_proxy(context.target.agent).cut()


@when("the link to the busy agent heals")
def heal_link(context: ScenarioContext) -> None:
    assert context.target is not None
    get_proxy(context.target.agent).heal()


@when(parsers.parse("entry {entry:d} wakes"))
def wake_entry(context: ScenarioContext, entry: int) -> None:
    context.fleet.entries[entry].wake()


@when(parsers.parse("entry {entry:d} is asked to stop"))
def stop_entry(context: ScenarioContext, entry: int) -> None:
    context.fleet.entries[entry].stop()
    context.fleet.entries[entry].wait_not_ready()


@when("the agent of the busy service is killed")
def kill_agent(context: ScenarioContext) -> None:
    assert context.target is not None
    context.target.agent.kill()


@when("the killed agent starts again")
def restart_agent(context: ScenarioContext) -> None:
    assert context.target is not None
    context.target.agent.restart()


@when("the agent of the first service is restarted")
def restart_first_agent(context: ScenarioContext) -> None:
    context.fleet.endpoints[0].agent.restart()


@when(parsers.parse("entry {entry:d} is restarted"))
def restart_entry(context: ScenarioContext, entry: int) -> None:
    context.fleet.entries[entry].restart()


@when("all services refuse connections")
def refuse_services(context: ScenarioContext) -> None:
    for endpoint in context.fleet.endpoints:
        get_proxy(endpoint.backend).cut()


@when("all services accept connections again")
def restart_services(context: ScenarioContext) -> None:
    for endpoint in context.fleet.endpoints:
        get_proxy(endpoint.backend).heal()


@when("the store answers after 0.5 seconds")
def slow_answers(context: ScenarioContext) -> None:
    slow_store(context, 0.5)


@when("the background order ends")
@when("the background order ends without an answer")
def end_background(context: ScenarioContext) -> None:
    assert context.order is not None
    record_response(context, "1", context.order)


@when(parsers.parse("a stock lookup is sent while the first service is stuck"))
def hedge_lookup(context: ScenarioContext) -> None:
    context.fleet.endpoints[0].backend.freeze()
    for number in range(4):
        lookup = spawn_order(context, f"lookup-{number}", 0, "stock")
        context.orders.append(context.wait(lookup, 20))
    context.fleet.endpoints[0].backend.wake()


@when(parsers.parse("order {order} is sent with the service's name percent-encoded"))
def send_encoded(context: ScenarioContext, order: str) -> None:
    record_response(
        context, order, spawn_order(context, order, 0, "orders?b=%2F", SERVICE.replace("-", "%2D"))
    )


@then("the service saw the path /orders")
def check_path(context: ScenarioContext) -> None:
    assert msgspec.json.decode(context.orders[-1].body)["path"] == "/orders"


@then("each of them is answered")
def check_answered(context: ScenarioContext) -> None:
    assert [answer.status for answer in context.orders] == [200] * len(context.orders)


@then(parsers.re(r"the last effect is (?P<effect>done|not_run|may_have_run|ran)"))
def check_last(context: ScenarioContext, effect: str) -> None:
    assert read_effect(context.orders[-1]) == effect, context.orders[-1]


@then(parsers.parse("order {order} has run once at the most"))
def check_once(context: ScenarioContext, order: str) -> None:
    assert count_runs(context, order) <= 1


def record_response(context: ScenarioContext, order: str, answer: Future[OrderAnswer]) -> None:
    """Record a response and check that its effect agrees with the number of runs."""
    response = context.wait(answer, 60)
    context.orders.append(response)
    runs = count_runs(context, order)
    allowed = {"done": {1}, "ran": {1}, "not_run": {0}, "may_have_run": {0, 1}, "none": {0, 1}}
    assert runs in allowed[read_effect(response)], (runs, response)


def read_effect(answer: OrderAnswer) -> str:
    """:return: effect that a response reports for its order, ``none`` without a response."""
    if not answer.status:
        return "none"
    return "done" if answer.status == 200 else str(answer.error["effect"])


def count_runs(context: ScenarioContext, order: str) -> int:
    """:return: number of runs of an order at the running services."""
    living = [e.backend for e in context.fleet.endpoints if e.backend.running]
    return sum(b.ask("GET", "/control/counts").get(order, 0) for b in living)


def spawn_order(
    context: ScenarioContext, order: str, entry: int, path: str = "orders", service: str = SERVICE
) -> Future[OrderAnswer]:
    call = place_order(
        context.fleet.entries[entry].url,
        service,
        path,
        body={"order": order},
        key=f"order-{order}",
        headers={"X-Order": order},
    )
    return context.background.spawn(call)


def slow_store(context: ScenarioContext, seconds: float) -> None:
    get_platform(context).ask("POST", "/control", {"slow_s": seconds})


def get_store_proxy(context: ScenarioContext) -> FaultProxy:
    return get_proxy(get_platform(context))


def get_platform(context: ScenarioContext) -> Process:
    assert context.fleet.platform is not None
    return context.fleet.platform
