"""What responses of servers say of the server itself."""

from __future__ import annotations

import logging
import math

import pytest
from hypothesis import given, strategies as st

from basilroad.gateway.registry.notices import MAX_PAUSE_S, Notice
from basilroad.http.messages import ReplyHead
from basilroad.platform.notices import MAX_LIMIT_PER_S, MIN_LIMIT_PER_S
from basilroad.platform.protocol import PlatformProtocol

PROTOCOL = PlatformProtocol()


def read(status: int, *headers: tuple[str, str]) -> Notice:
    return PROTOCOL.read_notice(ReplyHead(status, headers), "i-1")


@pytest.mark.parametrize("status", [200, 404, 429, 500, 503])
def test_leaving_is_read_from_any_status(status) -> None:
    assert read(status, ("server-LEAVING", "1")).leaving
    assert not read(status).leaving


@pytest.mark.parametrize(("text", "expected"), [("2", 2.0), ("0.25", 0.25), (" 7. ", 7.0)])
def test_seconds_are_read_with_decimals(text, expected) -> None:
    assert read(503, ("Retry-After", text)) == Notice(pause_s=expected)


@pytest.mark.parametrize("status", [200, 429, 500, 504])
def test_seconds_count_only_in_a_503(status) -> None:
    assert read(status, ("Retry-After", "2")) == Notice()


def test_the_longest_of_several_values_counts() -> None:
    headers = [("Retry-After", text) for text in ("1", "nothing", "3", "2")]
    assert read(503, *headers).pause_s == 3.0


@pytest.mark.parametrize(
    "text",
    [
        "",
        "0",
        "0.000",
        "-1",
        "+1",
        "1e3",
        "nan",
        "inf",
        "soon",
        "1,5",
        "٣",
        "Wed, 21 Oct 2015 07:28:00 GMT",
        "9" * 5000,
    ],
)
def test_a_malformed_time_is_ignored_with_a_log_line(text, caplog) -> None:
    # fault: a malformed value ends the attempt, or loses a sound server for good
    with caplog.at_level(logging.WARNING):
        assert read(503, ("Retry-After", text)) == Notice()
    assert [record.message for record in caplog.records] == ["notice ignored"]
    assert len(caplog.records[0].value) <= 40


def test_a_long_time_is_shortened_with_a_log_line(caplog) -> None:
    # fault: an absurdly long value loses a sound server for good
    with caplog.at_level(logging.WARNING):
        assert read(503, ("Retry-After", "86400000")).pause_s == MAX_PAUSE_S
    assert [record.message for record in caplog.records] == ["pause shortened"]


@pytest.mark.parametrize("text", ["0", "", "true", "11"])
def test_another_value_than_the_defined_one_does_not_mean_leaving(text, caplog) -> None:
    with caplog.at_level(logging.WARNING):
        assert read(200, ("Server-Leaving", text)) == Notice()
    assert [record.message for record in caplog.records] == ["notice ignored"]


def test_another_server_at_the_address_says_nothing_of_the_one_that_was_asked() -> None:
    # fault: a sound server is lost by the notice of another one that uses its former address
    notice = (("Server-Leaving", "1"), ("Retry-After", "9"))
    assert read(421, *notice) == Notice()
    assert read(503, *notice, ("X-Instance-Id", "i-2")) == Notice()
    assert read(503, *notice, ("X-Instance-Id", "i-1")) == Notice(leaving=True, pause_s=9.0)


@given(
    st.integers(min_value=100, max_value=599),
    st.lists(
        st.tuples(
            st.sampled_from(["Server-Leaving", "retry-after", "X-Instance-Id", "X-Other"]),
            st.text(max_size=50) | st.floats().map(str) | st.integers().map(str),
        ),
        max_size=6,
    ),
)
def test_any_headers_give_a_notice_within_its_limits(status, headers) -> None:
    notice = read(status, *headers)
    said = [value.strip() for name, value in headers if name == "Server-Leaving"]
    assert not notice.leaving or "1" in said
    if notice.pause_s is not None:
        assert status == 503
        assert math.isfinite(notice.pause_s)
        assert 0 < notice.pause_s <= MAX_PAUSE_S


@given(st.decimals(min_value="0.001", max_value=60, places=3))
def test_any_sensible_time_is_read_as_it_is(seconds) -> None:
    assert read(503, ("Retry-After", str(seconds))).pause_s == float(seconds)


def read_limit(status: int, *headers: tuple[str, str]) -> float | None:
    return PROTOCOL.read_limit(ReplyHead(status, headers), "i-1")


@pytest.mark.parametrize("status", [200, 404, 429, 500, 503])
def test_a_limit_is_read_from_any_status(status) -> None:
    assert read_limit(status, ("server-LIMIT", " 2.5 ")) == 2.5
    assert read_limit(status) == math.inf


def test_the_lowest_of_several_limits_counts() -> None:
    assert read_limit(200, *(("Server-Limit", text) for text in ("3", "none", "1.5"))) == 1.5


@pytest.mark.parametrize(
    "text", ["", "-1", "+1", "1e3", "nan", "inf", "few", "1,5", "٣", "9" * 5000]
)
def test_a_limit_that_is_no_decimal_number_is_ignored_and_logged(text, caplog) -> None:
    with caplog.at_level(logging.WARNING):
        assert read_limit(200, ("Server-Limit", text)) == math.inf
    assert caplog.records[0].message == "notice ignored"


@pytest.mark.parametrize("text", ["0", "0.0", "0.001"])
def test_a_limit_of_nothing_leaves_requests_that_show_its_end(text) -> None:
    assert read_limit(200, ("Server-Limit", text)) == MIN_LIMIT_PER_S


def test_the_response_of_another_server_says_nothing_of_a_limit() -> None:
    assert read_limit(421, ("Server-Limit", "1")) is None
    assert read_limit(200, ("Server-Limit", "1"), ("X-Instance-Id", "i-2")) is None


@given(st.lists(st.text(max_size=40), max_size=3))
def test_any_headers_give_a_limit_within_its_bounds(values) -> None:
    per_s = read_limit(200, *(("Server-Limit", value) for value in values))
    assert per_s is not None
    assert per_s == math.inf or MIN_LIMIT_PER_S <= per_s <= MAX_LIMIT_PER_S


@given(st.decimals(min_value="0.1", max_value=10**6, places=3))
def test_any_sensible_limit_is_read_as_it_is(per_s) -> None:
    assert read_limit(200, ("Server-Limit", str(per_s))) == float(per_s)
