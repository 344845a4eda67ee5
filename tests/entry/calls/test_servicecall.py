"""Calls to plain services as they are read from their callers."""

from __future__ import annotations

from types import SimpleNamespace

from multidict import CIMultiDict
from yarl import URL

from basilroad.entry.calls.servicecall import read_call
from basilroad.peers.wire import peer_pb2 as wire
from basilroad.settings.view import SettingsView


# fault: a call with a request header in Latin-1 failed with an internal error after it was claimed,
# as its message to the agent could not be built
def test_a_request_header_in_latin_1_is_sent_to_the_agent() -> None:
    http = SimpleNamespace(
        method="GET",
        rel_url=URL("/v1/services/s/x"),
        match_info={"service": "s", "path": "x"},
        headers=CIMultiDict({"X-Place": b"Caf\xe9".decode(errors="surrogateescape")}),
    )
    call = read_call(http, b"", SettingsView())
    headers = [wire.Header(name=name, value=value) for name, value in call.headers]
    assert [(h.name, h.value) for h in headers] == [("X-Place", "Café")]
