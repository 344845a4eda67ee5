"""Check which calls a contract declares idempotent."""

from __future__ import annotations

import pytest

from basilroad.world.contract import CallRule, Contract

CONTRACT = Contract(
    name="order-app",
    calls=(
        CallRule(method="GET", path="/stock/**", idempotent=True),
        CallRule(path="/stock/*", idempotent=False),
        CallRule(method="GET", path="/orders/*", idempotent=True),
        CallRule(method="PUT", path="/a.b", idempotent=True),
    ),
)


@pytest.mark.parametrize(
    ("method", "path", "idempotent"),
    [
        ("GET", "/stock/oak/wet", True),
        ("GET", "/stock/oak?fresh=1", True),
        ("POST", "/stock/oak", False),
        ("GET", "/orders/7", True),
        ("GET", "/orders/7/cancel", False),
        ("POST", "/orders", False),
        ("get", "/stock/oak", False),
        ("PUT", "/a.b", True),
        ("PUT", "/axb", False),
        ("GET", "/stock/../orders", False),
        ("GET", "/stock/%2e%2e/orders", False),
        ("GET", "/stock//oak", False),
        ("GET", "/stock/oak;x=1", False),
    ],
)
def test_call_is_idempotent_only_by_a_matching_rule(
    method: str, path: str, idempotent: bool
) -> None:
    assert CONTRACT.is_idempotent(method, path) is idempotent


def test_call_without_rule_is_not_idempotent() -> None:
    assert not Contract(name="x").is_idempotent("GET", "/")
