"""Use the coordination parts in a program of one's own."""

from __future__ import annotations

import time

from basilroad.coordination import (
    AlreadyClaimed,
    CallLedger,
    CallLedgerSettings,
    Claimed,
    ClaimRequest,
    Claims,
    ClaimsSettings,
    FairQueue,
    FairSettings,
    Flow,
    Lease,
    LeaseSettings,
    StoredOutcome,
    Table,
    TokenSequence,
    ClaimPoller,
    ClaimPollerSettings,
    choose_hosts,
)

PATIENCE_S = 2.0


def join_output() -> str:
    """Join the output of a generation whose endpoint died and that was resumed elsewhere.

    :return: the whole output, no token missing or twice
    """
    sequence = TokenSequence("generation-1")
    output: list[str] = []
    first = sequence.begin_attempt()
    for offset, tokens in ((0, ["Oak", " bungs"]), (2, [" are"])):
        taken = sequence.accept(first, offset, tokens)
        assert isinstance(taken, list)
        output += taken
    second = sequence.begin_attempt()
    for attempt, offset, tokens in ((first, 3, [" late"]), (second, 2, [" are", " tapered"])):
        taken = sequence.accept(attempt, offset, tokens)
        assert isinstance(taken, list)
        output += taken
    return "".join(output)


def order_work() -> list[str]:
    """Queue the work of a caller that asks for much and of two others.

    :return: the work in the order in which it is served
    """
    queue: FairQueue[str] = FairQueue(FairSettings())
    large = Flow(rank=1, workspace="workshops", caller="large")
    for number in range(3):
        queue.push(f"large-{number}", large, cost=500)
    queue.push("small", Flow(rank=1, workspace="workshops", caller="small"), cost=500)
    queue.push("urgent", Flow(rank=0, workspace="reviews", caller="master"), cost=500)
    served = []
    while (item := queue.pop()) is not None:
        served.append(item)
    return served


def place_key() -> list[str]:
    """Choose the two hosts that keep a key.

    :return: names of the hosts
    """
    hosts = [f"10.0.0.{number}" for number in range(1, 9)]
    return choose_hosts("order-17", hosts, 2)


async def lead_once(table: Table) -> int | None:
    """Become the one planner and act under a fencing number.

    :param table: table that holds the lease
    :return: the fencing number; ``None`` if another process holds the lease
    """
    lease = Lease(table, "leases/planner", "host-1#a1", LeaseSettings())
    await lease.acquire()
    return lease.fence()


async def place_order(table: Table, ledger: CallLedger, key: str) -> StoredOutcome | None:
    """Place an order that must not run twice, or get the outcome it had before.

    :param table: table that holds the claims
    :param ledger: memory of calls beside the endpoint
    :param key: the caller's idempotency key
    :return: the outcome; ``None`` if the order was not run by this
    """
    deadline = time.monotonic() + PATIENCE_S
    request = ClaimRequest("workshops", "cooper", key, "f00d", "entry-1", "agent-1", "i1", deadline)
    claims = Claims(table, ClaimsSettings())
    async with claims:
        claimed = await claims.claim(request)
        if isinstance(claimed, AlreadyClaimed):
            known = await ClaimPoller(claims, ClaimPollerSettings()).wait(claimed.claim, PATIENCE_S)
            return known.record.outcome if known else None
        if not isinstance(claimed, Claimed):
            return None
        if not ledger.begin(claimed.claim.ticket, "i1", deadline):
            return None
        outcome = StoredOutcome(201, body=b"order placed")
        ledger.finish(claimed.claim.ticket, answered=True)
        claims.record_outcome(claimed, outcome)
    return outcome


async def run(table: Table) -> None:
    """Run all the examples.

    :param table: table that holds the lease and the claims
    """
    print(join_output())
    print(order_work())
    print(place_key())
    print(await lead_once(table))
    ledger = CallLedger("i1", CallLedgerSettings())
    print(await place_order(table, ledger, "order-17"))


__all__ = ["join_output", "lead_once", "order_work", "place_key", "place_order", "run"]
