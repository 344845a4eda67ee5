"""Age of cached state."""

from __future__ import annotations

from basilroad.gateway.freshness import Freshness


def test_unconfirmed_state_has_no_age() -> None:
    freshness = Freshness(lambda: 5.0)
    assert freshness.age_s() is None
    assert not freshness.is_within(100)


def test_an_older_confirmation_changes_nothing() -> None:
    now = 10.0
    freshness = Freshness(lambda: now)
    freshness.confirm(9.0)
    freshness.confirm(3.0)
    assert freshness.age_s() == 1.0
    assert freshness.is_within(1.0)
    now = 12.0
    assert not freshness.is_within(1.0)


# a store that was restored made all gateways unready at once, though each of them read it
def test_a_source_that_responds_keeps_state_that_was_confirmed_once() -> None:
    now = 100.0
    freshness = Freshness(lambda: now)
    freshness.record_response(now)
    assert not freshness.has_responded_within(1.0), "nothing was ever confirmed"
    freshness.confirm(now)
    now += 5.0
    assert not freshness.has_responded_within(1.0)
    freshness.record_response(now)
    assert freshness.has_responded_within(1.0)
    assert not freshness.is_within(1.0), "a response alone confirms nothing"
