"""Steps that start a fleet and inject faults."""

from __future__ import annotations

import time

import pytest
from pytest_bdd import given, parsers, then, when

from support.background import Background
from support.fleet import Endpoint, Fleet, Process
from support.proxy import FaultProxy
from support.steps.context import MODEL, SERVICE, ScenarioContext


@pytest.fixture
def context(fleet: Fleet, background: Background) -> ScenarioContext:
    """:return: state of a scenario that has not begun."""
    return ScenarioContext(fleet, background)


@given(parsers.re(r"a fleet of (?P<engines>\d+) engines? and (?P<entries>\d+) entr(y|ies)"))
@given(
    parsers.re(
        r"a fleet of (?P<engines>\d+) engines? and (?P<entries>\d+) entr(y|ies), "
        r"with a drain limit of (?P<limit>[\d.]+) seconds"
    )
)
def start_engines(context: ScenarioContext, engines: str, entries: str, limit: str = "30") -> None:
    context.fleet.add_platform()
    for number in range(int(engines)):
        name = f"engine-{number}"
        options = {"drain_limit_s": float(limit)}
        context.fleet.add_engine(name, model=MODEL, proxied=True, agent=options)
    start_entries(context, int(entries))


@given(parsers.re(r"a fleet of (?P<services>\d+) order services? and (?P<entries>\d+) entr(y|ies)"))
def start_services(context: ScenarioContext, services: str, entries: str) -> None:
    context.fleet.add_platform(proxied=True)
    context.fleet.put_setting(f"services/{SERVICE}", {"patience_s": 2.0, "timeout_s": 10.0})
    for number in range(int(services)):
        context.fleet.add_service(f"orders-{number}", SERVICE, proxied=True)
    start_entries(context, int(entries))


@given(parsers.parse("requests of the standard rank wait for {seconds:d} seconds at most"))
def bound_wait(context: ScenarioContext, seconds: int) -> None:
    context.fleet.put_setting("ranks/standard", {"order": 1, "max_wait_s": seconds})
    for entry in context.fleet.entries:
        entry.wait_logged("settings/ranks/standard")


# slow engines still run all answers when callers beside a load have their first tokens late
@given(parsers.parse("each engine generates a token in {milliseconds:d} ms"))
@when(parsers.parse("each engine generates a token in {milliseconds:d} ms"))
def set_token_interval(context: ScenarioContext, milliseconds: int) -> None:
    for endpoint in context.fleet.endpoints:
        if endpoint.backend.running:
            endpoint.backend.ask("POST", "/control", {"token_interval_s": milliseconds / 1000})


@given("only one agent is reachable")
def cut_others(context: ScenarioContext) -> None:
    for endpoint in context.fleet.endpoints[1:]:
        get_proxy(endpoint.agent).cut()


@when("all agents are reachable again")
def heal_others(context: ScenarioContext) -> None:
    for endpoint in context.fleet.endpoints[1:]:
        get_proxy(endpoint.agent).heal()


@when("all agents fall silent")
def silence_all(context: ScenarioContext) -> None:
    for endpoint in context.fleet.endpoints:
        get_proxy(endpoint.agent).freeze()


# longer than an entry waits for two replies, and shorter than until it counts an agent as lost
@when(parsers.parse("all agents speak again after {seconds:g} seconds"))
def end_silence(context: ScenarioContext, seconds: float) -> None:
    time.sleep(seconds)
    for endpoint in context.fleet.endpoints:
        get_proxy(endpoint.agent).thaw()


@given("an entry is started")
@when("another entry is started")
def start_entry(context: ScenarioContext) -> None:
    context.fleet.add_entry(f"entry-{len(context.fleet.entries)}")
    context.fleet.wait_ready()


@when("both entries are connected to all agents")
def wait_links(context: ScenarioContext) -> None:
    for entry in context.fleet.entries:
        for endpoint in context.fleet.endpoints:
            entry.wait_logged(f'"agent":"{endpoint.agent.name}"')


def start_entries(context: ScenarioContext, entries: int) -> None:
    for number in range(entries):
        context.fleet.add_entry(f"entry-{number}")
    context.fleet.wait_ready()


@when("the engine that runs it is killed")
@when("the busiest engine is killed")
def kill_engine(context: ScenarioContext) -> None:
    # an idle fleet has no busiest engine, so take the first
    endpoint = context.find_busiest() if context.requests else context.fleet.endpoints[0]
    set_target(context, endpoint).backend.kill()


@when("the engine that runs it turns deaf")
def stop_engine_responses(context: ScenarioContext) -> None:
    set_target(context, context.find_busiest()).backend.ask("POST", "/control", {"deaf": True})


@when("the engine that runs it is paused")
def pause_engine(context: ScenarioContext) -> None:
    set_target(context, context.find_busiest()).backend.freeze()


@when("the paused engine wakes")
def wake_engine(context: ScenarioContext) -> None:
    get_target(context).backend.wake()


@when("the agent that runs it is killed")
def kill_agent(context: ScenarioContext) -> None:
    set_target(context, context.find_busiest()).agent.kill()


@when("the agent that runs it is paused")
def pause_agent(context: ScenarioContext) -> None:
    set_target(context, context.find_busiest()).agent.freeze()


@when("the paused agent wakes")
def wake_agent(context: ScenarioContext) -> None:
    get_target(context).agent.wake()


@when("the engine and its agent are killed")
def kill_both(context: ScenarioContext) -> None:
    kill_engine(context)
    get_target(context).agent.kill()


@when("the platform is killed")
def kill_platform(context: ScenarioContext) -> None:
    assert context.fleet.platform is not None
    context.fleet.platform.kill()


@when("the entry is killed")
def kill_entry(context: ScenarioContext) -> None:
    context.fleet.entries[0].kill()


@when("the engine and the entry are killed")
def kill_engine_and_entry(context: ScenarioContext) -> None:
    kill_engine(context)
    kill_entry(context)


@when("the agent and the entry are killed")
def kill_agent_and_entry(context: ScenarioContext) -> None:
    kill_agent(context)
    kill_entry(context)


@when("the entry's link to its agent is cut")
def cut_agent(context: ScenarioContext) -> None:
    get_proxy(set_target(context, context.find_busiest()).agent).cut()


@when("the entry's link is healed")
def heal_agent(context: ScenarioContext) -> None:
    get_proxy(get_target(context).agent).heal()


@when("the entry's link to its agent freezes")
def freeze_agent(context: ScenarioContext) -> None:
    get_proxy(set_target(context, context.find_busiest()).agent).freeze()


@when("the entry's link thaws")
def thaw_agent(context: ScenarioContext) -> None:
    get_proxy(get_target(context).agent).thaw()


@when("the agent's link to its engine is cut")
def cut_engine(context: ScenarioContext) -> None:
    get_proxy(set_target(context, context.find_busiest()).backend).cut()


@when("the agent's link to its engine freezes")
def freeze_engine(context: ScenarioContext) -> None:
    get_proxy(set_target(context, context.find_busiest()).backend).freeze()


@when("the busiest agent is asked to stop")
def stop_agent(context: ScenarioContext) -> None:
    context.stopped = set_target(context, context.find_busiest()).agent
    context.stopped.stop()


@when("the entry is asked to stop")
def stop_entry(context: ScenarioContext) -> None:
    context.stopped = context.fleet.entries[0]
    context.stopped.stop()


@when("it has logged that it is draining")
def wait_drain(context: ScenarioContext) -> None:
    get_stopped(context).wait_logged('"what":"drain"')
    context.started = count_started(get_target(context))


@then("the stopped agent started nothing after that")
def check_not_started(context: ScenarioContext) -> None:
    assert count_started(get_target(context)) == context.started


@then("the stopped process has ended with status 0")
def check_ended(context: ScenarioContext) -> None:
    assert get_stopped(context).wait_ended() == 0, get_stopped(context).read_tail()


@then("the entry is no longer ready")
def check_not_ready(context: ScenarioContext) -> None:
    get_stopped(context).wait_not_ready()


def set_target(context: ScenarioContext, endpoint: Endpoint) -> Endpoint:
    context.target = endpoint
    return endpoint


def get_target(context: ScenarioContext) -> Endpoint:
    assert context.target is not None
    return context.target


def get_stopped(context: ScenarioContext) -> Process:
    assert context.stopped is not None
    return context.stopped


def get_proxy(process: Process) -> FaultProxy:
    assert process.proxy is not None
    return process.proxy


def count_started(endpoint: Endpoint) -> int:
    counters = endpoint.backend.ask("GET", "/control/counters")
    return int(counters["prefilled_tokens"] + counters["cached_tokens"])
