"""Pace of the calls to the archive."""

from __future__ import annotations

import pytest

from basilroad.gateway.versions.records import BATCH_DELAY_S
from basilroad.gateway.versions.writepace import (
    BURST,
    MAX_BATCH_DELAY_S,
    WRITES_PER_S,
    WritePace,
)

NOW_S = 100.0
RESPONSE_S = 0.01


def write(pace: WritePace, now: float, response_s: float = RESPONSE_S) -> None:
    """Record a transaction and its response."""
    pace.record_write(now)
    pace.record_response(now + response_s)


@pytest.mark.parametrize("hosts", [1, 4, 410])
def test_records_are_batched_briefly_while_all_transactions_are_saved_up(hosts: int) -> None:
    pace = WritePace(lambda: hosts)
    assert pace.find_batch_delay(NOW_S) == BATCH_DELAY_S
    write(pace, NOW_S)
    assert pace.find_batch_delay(NOW_S + hosts / WRITES_PER_S) == BATCH_DELAY_S


# fault: a host with one transaction in 4 s used it for one record, 0.2 s after its request
@pytest.mark.parametrize(
    ("hosts", "delay_s"), [(4, BATCH_DELAY_S), (60, 0.6), (410, MAX_BATCH_DELAY_S)]
)
def test_records_are_batched_longer_where_a_host_has_fewer_transactions(
    hosts: int, delay_s: float
) -> None:
    pace = WritePace(lambda: hosts)
    write(pace, NOW_S)
    # until all are saved up again
    for after_s in (RESPONSE_S, 0.9 * hosts / WRITES_PER_S):
        assert pace.find_batch_delay(NOW_S + after_s) == pytest.approx(delay_s)


@pytest.mark.parametrize(
    ("response_s", "delay_s"), [(0.1, MAX_BATCH_DELAY_S), (0.3, BATCH_DELAY_S)]
)
def test_records_are_batched_briefly_while_transactions_are_slow(
    response_s: float, delay_s: float
) -> None:
    pace = WritePace(lambda: 410)
    write(pace, NOW_S, response_s)
    assert pace.find_batch_delay(NOW_S + response_s) == pytest.approx(delay_s)
    pace.record_write(NOW_S + 1.0)
    assert pace.find_batch_delay(NOW_S + 1.0 + response_s) == pytest.approx(delay_s)


def test_transactions_are_spaced_out_after_a_burst() -> None:
    pace = WritePace(lambda: 410)
    for _ in range(BURST):
        assert pace.may_write(NOW_S)
        write(pace, NOW_S)
    assert pace.next_at == pytest.approx(NOW_S + 410 / WRITES_PER_S)
