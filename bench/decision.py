"""Measure the cost of assigning a request, by number of endpoints and limit on agents."""

from __future__ import annotations

import asyncio
import logging
import time

from basilroad.entry.generations.flight import Flight
from basilroad.entry.generations.generation import build_generation_id
from basilroad.entry.generations.request import CompletionRequest
from basilroad.entry.identity import Identity
from basilroad.entry.links.link import AgentLink
from basilroad.entry.service import EntryService
from basilroad.peers.address import Address
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.settings.daemon import DaemonSettings, EntrySettings

MODEL = "spec-llm"
WORKSPACES = 240
ROUNDS = 600
BACKLOG = 2000
MICROSECONDS = 1_000_000
ENDPOINTS = (10, 100, 600)
AGENTS_LIMIT = 24
SLOTS = 64


def build_entry(endpoints: int, limit: int) -> EntryService:
    """Build an entry with endpoints in its local view, without connections.

    :param endpoints: number of endpoints
    :param limit: most agents that the entry uses; 0 for all
    :return: the entry
    """
    settings = DaemonSettings(
        host="entry-0",
        address="127.0.0.1",
        region="riga",
        data_centre="riga-a",
        entry=EntrySettings(listen="127.0.0.1:1", agents_limit=limit),
    )
    entry = EntryService(settings)
    for number in range(endpoints):
        address = Address(f"127.1.{number // 250}.{number % 250 + 1}", 8090)
        link = AgentLink(address, entry.options, entry)
        region = "riga" if number % 3 else "kurzeme"
        link.hello = wire.AgentHello(host=f"h{number}", region=region, data_centre=f"{region}-a")
        entry.links[address] = link
        state = wire.EndpointState(
            endpoint=f"engine-{number}",
            kind="engine",
            service=MODEL,
            version="1",
            slots=SLOTS,
            alive=True,
            running_by_rank=[0] * 8,
        )
        entry.dispatcher.on_endpoint(link.update_endpoint(state))
    return entry


def build_flight(entry: EntryService, number: int) -> Flight:
    """Build a request of one of the workspaces.

    :param entry: the entry
    :param number: number of the request
    :return: the request
    """
    request = CompletionRequest(
        model=MODEL,
        adapter="",
        prompt=f"p{number} " * 200,
        max_tokens=50,
        temperature=0.0,
        seed=None,
        stop=(),
        stream=True,
        include_usage=False,
        chat=False,
        body_hash=b"",
        fingerprint=str(number),
    )
    identity = Identity(f"w{number % WORKSPACES}", f"c{number % 7}", 1, f"k{number}", True)
    return Flight(entry, request, identity, build_generation_id(identity.key))


async def measure_assignment(entry: EntryService) -> float:
    """:return: microseconds to assign a request to an endpoint with a free slot."""
    flights = [build_flight(entry, number) for number in range(ROUNDS)]
    started = time.perf_counter()
    for flight in flights:
        await entry.dispatcher.place(flight)
    return (time.perf_counter() - started) / ROUNDS * MICROSECONDS


async def measure_credit_assignment(entry: EntryService) -> float:
    """:return: microseconds to assign a queued request by a slot credit."""
    views = [view for link in entry.links.values() for view in link.endpoints.values()]
    for view in views:
        view.unreported_work = SLOTS
    flights = [build_flight(entry, number) for number in range(BACKLOG // 2)]
    waiting = [asyncio.create_task(entry.dispatcher.place(flight)) for flight in flights]
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    started = time.perf_counter()
    for number, flight in enumerate(flights):
        view = views[number % len(views)]
        identity = flight.identity
        credit = wire.Credit(
            credit=str(number),
            endpoint=view.name,
            rank=identity.rank,
            workspace=identity.workspace,
            caller=identity.caller,
        )
        entry.dispatcher.on_credit(view.link, credit)
    elapsed = time.perf_counter() - started
    await asyncio.gather(*waiting)
    return elapsed / len(flights) * MICROSECONDS


async def measure() -> None:
    """Measure with all agents, and with a limit on their number."""
    logging.disable(logging.CRITICAL)
    first_us = 0.0
    for limit in (0, AGENTS_LIMIT):
        for endpoints in ENDPOINTS:
            entry = build_entry(endpoints, limit)
            assign_us = min([await measure_assignment(entry) for _ in range(3)])
            credit = await measure_credit_assignment(entry)
            first_us = first_us or assign_us
            print(
                f"endpoints={endpoints} limit={limit} workspaces={WORKSPACES}"
                f" place_us={assign_us:.0f} ({assign_us / first_us:.2f} of the first line)"
                f" credit_us={credit:.0f}"
            )


def run() -> None:
    """Run the measurement."""
    asyncio.run(measure())


if __name__ == "__main__":
    run()

__all__ = ["run"]
