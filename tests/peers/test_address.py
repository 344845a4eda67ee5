"""Addresses hold only what a process can connect to."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from basilroad.peers.address import Address, parse_address, parse_remote_address

UNUSABLE = [
    "",
    ":80",
    "10.0.0.1",
    "10.0.0.1:",
    "10.0.0.1:0",
    "10.0.0.1:-1",
    "10.0.0.1:+80",
    "10.0.0.1:8_0",
    "10.0.0.1: 80",
    "10.0.0.1:٨٠",
    "10.0.0.1:65536",
    "10.0.0.1:" + "9" * 5000,
    "10.0.0:80",
    "10.0.0.256:80",
    "010.0.0.1:80",
    "10.0.0.1/8:80",
    " 10.0.0.1:80",
    "server.example:80",
    "a" * 300 + ".example:80",
    "a..b:80",
    "é.example:80",
    "10.0.0.1\0:80",
    "[10.0.0.1:80",
]


# an address that is accepted here is connected to where only socket errors are expected
@pytest.mark.parametrize("text", UNUSABLE)
def test_text_that_is_no_ip_number_and_port_is_rejected(text: str) -> None:
    with pytest.raises(ValueError):
        parse_address(text)


@pytest.mark.parametrize("text", ["0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80", "[::]:80"])
def test_an_address_that_no_host_has_is_rejected(text: str) -> None:
    parse_address(text)
    with pytest.raises(ValueError):
        parse_remote_address(text)


@pytest.mark.parametrize("text", ["10.0.0.1:80", "127.0.0.1:65535", "[fd00::1]:80"])
def test_an_address_is_formatted_as_it_is_parsed(text: str) -> None:
    assert str(parse_remote_address(text)) == text


@given(st.text(max_size=30))
def test_any_text_is_an_address_that_can_be_parsed_again_or_rejected(text: str) -> None:
    try:
        address = parse_address(text)
    except ValueError:
        return
    assert parse_address(str(address)) == address


@pytest.mark.parametrize(("ip", "port"), [("host", 80), ("10.0.0.1", 0), ("10.0.0.1", 65536)])
def test_an_address_can_not_be_built_from_other_values(ip: str, port: int) -> None:
    with pytest.raises(ValueError):
        Address(ip, port)
