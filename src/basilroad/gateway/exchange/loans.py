"""Loans of retry budget between gateways.

The retries that a service allows are divided among all gateways, so in a large fleet each has one
or two at a time while most use none. A gateway that runs low asks others, whose loan lowers their
own budget by the same amount; all together never allow more.
"""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Annotated

import attrs
import msgspec

if TYPE_CHECKING:
    from basilroad.coordination.budget import RetryBudget
    from basilroad.peers.address import Address

LOW_BUDGET = 2.0
"""Budget below which others are asked: one stream that is lost twice in a row."""

KEPT_BUDGET = 1.0
"""Budget that a lender keeps for itself."""

MAX_LOAN = 2
"""Retries per loan."""

PEERS_ASKED = 4
"""Gateways asked at a time."""

REQUEST_INTERVAL_S = 0.05
"""Minimum interval between requests for one service; a round trip between regions is as long."""

MAX_LENDERS = 1024
"""Lenders whose last loan is remembered; planned fleets have hundreds of hosts."""

_LOGGER = logging.getLogger(__name__)


class LoanRequest(msgspec.Struct, array_like=True, tag="loan request"):
    """Request for a loan.

    :param service: the service whose budget is low
    """

    service: str


class Loan(msgspec.Struct, array_like=True, tag="loan"):
    """A loan.

    :param host: name of the lender
    :param started_ms: start of the lender's process in Unix milliseconds
    :param number: number of the loan in that process; a repeated datagram counts once
    :param service: the service
    :param retries: number of retries
    """

    host: str
    started_ms: int
    number: int
    service: str
    retries: Annotated[int, msgspec.Meta(ge=1, le=MAX_LOAN)]


@attrs.define(eq=False)
class RetryLoans:
    """Asks for loans, and gives them.

    :param host: name of this gateway
    :param find_budget: returns the budget of a service
    :param list_peers: returns the addresses of the other gateways
    :param send: sends a message to a gateway
    :param generator: random number generator
    :param clock: monotonic seconds
    """

    host: str
    find_budget: Callable[[str], RetryBudget]
    list_peers: Callable[[], Sequence[Address]] = tuple
    send: Callable[[LoanRequest | Loan, Address], None] = lambda _message, _peer: None
    generator: random.Random = attrs.field(factory=random.Random)
    clock: Callable[[], float] = time.monotonic
    _started_ms: int = attrs.field(factory=lambda: time.time_ns() // 1_000_000)
    _number: int = 0
    _asked_at: dict[str, float] = attrs.field(factory=dict)
    _last_loans: dict[str, tuple[int, int]] = attrs.field(factory=dict)

    def request_if_low(self, service: str) -> None:
        """Ask some gateways for a loan if the budget of a service is low.

        :param service: the service
        """
        now = self.clock()
        if self.find_budget(service).available() >= LOW_BUDGET:
            return
        if now - self._asked_at.get(service, -REQUEST_INTERVAL_S) < REQUEST_INTERVAL_S:
            return
        self._asked_at[service] = now
        peers = self.list_peers()
        for peer in self.generator.sample(peers, min(PEERS_ASKED, len(peers))):
            self.send(LoanRequest(service), peer)

    def take_request(self, request: LoanRequest, address: Address) -> None:
        """Lend to another gateway what is not needed here.

        :param request: the request
        :param address: address of the gateway
        """
        budget = self.find_budget(request.service)
        retries = min(MAX_LOAN, int(budget.available() - KEPT_BUDGET))
        if retries < 1:
            return
        budget.lend(retries)
        self._number += 1
        loan = Loan(self.host, self._started_ms, self._number, request.service, retries)
        self.send(loan, address)

    def take_loan(self, loan: Loan) -> None:
        """Add a loan to the budget.

        :param loan: the loan
        """
        number = (loan.started_ms, loan.number)
        if loan.host == self.host or number <= self._last_loans.get(loan.host, (0, 0)):
            return
        if len(self._last_loans) >= MAX_LENDERS and loan.host not in self._last_loans:
            return
        self._last_loans[loan.host] = number
        self.find_budget(loan.service).borrow(loan.retries)
        _LOGGER.info(
            "retries lent",
            extra={"peer": loan.host, "service": loan.service, "retries": loan.retries},
        )


__all__ = ["LOW_BUDGET", "Loan", "LoanRequest", "RetryLoans"]
