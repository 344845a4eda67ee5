"""Check that orders run at most once, with correct effects, under random fault schedules."""

from __future__ import annotations

from collections import Counter

import pytest

from support.fleet import Fleet
from support.schedules import Schedules
from support.steps.context import SERVICE

SCHEDULES = 200
PARTS = 8


@pytest.mark.holds_once
@pytest.mark.holds_not_run
@pytest.mark.parametrize("part", range(PARTS))
async def test_no_order_runs_twice(fleet: Fleet, part: int) -> None:
    fleet.add_platform(proxied=True)
    fleet.put_setting(f"services/{SERVICE}", {"patience_s": 2.0, "timeout_s": 5.0})
    for number in range(2):
        fleet.add_service(f"orders-{number}", SERVICE, proxied=True)
    for number in range(2):
        fleet.add_entry(f"entry-{number}")
    fleet.wait_ready()
    schedules = Schedules(fleet)
    size = SCHEDULES // PARTS
    await schedules.run(range(part * size, (part + 1) * size))
    counts = await schedules.count()
    effects = Counter(effect for order in schedules.orders for effect in order.effects)
    final = Counter(order.effects[-1] for order in schedules.orders)
    print(f"part {part}: effects {dict(effects)}, final {dict(final)}")
    assert {name: runs for name, runs in counts.items() if runs > 1} == {}
    assert [
        contradiction for order in schedules.orders for contradiction in order.contradictions
    ] == []
