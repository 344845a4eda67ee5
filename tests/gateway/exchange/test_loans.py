"""Retry budget lent between gateways; no network.

Pattern: at 68 gateways each has two retries in ten seconds. A stream that is lost twice in a row is
broken off while the other gateways use none of theirs.
"""

from __future__ import annotations

import random

import pytest

from basilroad.coordination.budget import RetryBudget, RetrySettings
from basilroad.gateway.calls.attempttracker import AttemptTracker
from basilroad.gateway.calls.handler import CallHandler
from basilroad.gateway.exchange.loans import Loan, LoanRequest, RetryLoans
from basilroad.peers.address import Address
from basilroad.standin.appserver import WireFault
from builders import RecordingResponder, build_call, build_stream_route

SLACK = 150.0
WINDOW_S = 10.0
ROUTE = build_stream_route(prefix="/s/", timeout_s=9.0)


class Fleet:
    """Gateways that share the slack of one service.

    :param hosts: number of gateways
    """

    def __init__(self, hosts: int) -> None:
        self.now = 100.0
        settings = RetrySettings(ratio=0.0, minimum_per_s=SLACK / WINDOW_S, window_s=WINDOW_S)
        self.budgets = [
            RetryBudget(settings, lambda: self.now, lambda: 1 / hosts) for _ in range(hosts)
        ]
        addresses = [Address("10.0.0.1", 9000 + number) for number in range(hosts)]
        self.loans = [
            RetryLoans(
                f"g{number}",
                lambda _, n=number: self.budgets[n],  # type: ignore[misc]
                lambda n=number: [a for a in addresses if a.port != 9000 + n],  # type: ignore[misc]
                lambda message, peer, n=number: self.deliver(message, n, peer.port - 9000),  # type: ignore[misc]
                random.Random(number),
                lambda: self.now,
            )
            for number in range(hosts)
        ]

    def deliver(self, message: LoanRequest | Loan, sender: int, receiver: int) -> None:
        if isinstance(message, Loan):
            self.loans[receiver].take_loan(message)
        else:
            self.loans[receiver].take_request(message, Address("10.0.0.1", 9000 + sender))

    def use_all(self, hosts: int) -> int:
        """:return: retries that some gateways take until none is left to them."""
        taken = 0
        for _ in range(100):
            for number in range(hosts):
                self.loans[number].request_if_low("s")
                taken += self.budgets[number].take()
            self.now += 0.06
        return taken

    @property
    def available(self) -> float:
        return sum(budget.available() for budget in self.budgets)


def test_a_gateway_in_trouble_uses_the_retries_of_others() -> None:
    assert Fleet(68).use_all(1) > 10


@pytest.mark.parametrize("hosts", [4, 68])
def test_all_gateways_together_stay_within_the_slack(hosts: int) -> None:
    fleet = Fleet(hosts)
    taken = fleet.use_all(hosts)
    # 6 s of the window were replenished meanwhile
    assert taken <= SLACK * (1 + 6.0 / WINDOW_S)


def test_a_loan_leaves_the_sum_unchanged() -> None:
    fleet = Fleet(10)
    fleet.budgets[0].take()
    while fleet.budgets[0].available() >= 2:
        fleet.budgets[0].take()
    before = fleet.available
    fleet.loans[0].request_if_low("s")
    assert fleet.available == pytest.approx(before)
    assert fleet.budgets[0].available() > 2


def test_a_repeated_loan_counts_once() -> None:
    fleet = Fleet(4)
    loan = Loan("g1", 5, 1, "s", 2)
    before = fleet.budgets[0].available()
    for _ in range(3):
        fleet.loans[0].take_loan(loan)
    assert fleet.budgets[0].available() == pytest.approx(before + 2)
    fleet.loans[0].take_loan(Loan("g1", 5, 2, "s", 1))
    assert fleet.budgets[0].available() == pytest.approx(before + 3)


def test_a_gateway_without_spare_retries_lends_nothing() -> None:
    fleet = Fleet(68)
    fleet.budgets[1].take()
    before = fleet.budgets[1].available()
    fleet.loans[1].take_request(LoanRequest("s"), Address("10.0.0.1", 9000))
    assert fleet.budgets[1].available() == before


def test_an_attempt_without_a_connection_takes_no_retry() -> None:
    fleet = Fleet(10)
    tracker = AttemptTracker(build_call(ROUTE), fleet.budgets[0])
    assert tracker.try_start_attempt()
    tracker.record_unsent()
    tracker.refused += 1
    before = fleet.budgets[0].available()
    assert tracker.try_start_attempt()
    tracker.record_unsent()
    assert fleet.budgets[0].available() == pytest.approx(before)


async def test_a_stream_without_budget_waits_for_a_loan(gateway, start_server) -> None:
    first = await start_server("i-1", service="llm", events=10)
    await start_server("i-2", service="llm", events=10, data_centre="kurzeme-a")
    first.schedule_faults([WireFault.RESET])
    budget = gateway.budget_of("llm")
    while budget.take():
        pass
    peer = Address("127.0.0.1", 9)
    gateway.loans.list_peers = lambda: [peer]
    gateway.loans.send = lambda _, __: gateway.loans.take_loan(Loan("other", 1, 1, "llm", 2))
    responder = RecordingResponder()
    await CallHandler(gateway).handle(build_call(ROUTE), responder)
    assert responder.numbers == list(range(1, 11))
