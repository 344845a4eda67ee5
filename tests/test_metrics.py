"""Check the metrics sent to statsd."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator

import pytest

from basilroad import metrics as module
from basilroad.errors import ErrorKind
from basilroad.http.ends import EndCause
from basilroad.metrics import LinkCause, Metrics, RecomputeCause


@pytest.fixture
def server() -> Iterator[socket.socket]:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(5)
        yield server


@pytest.fixture
def metrics(server: socket.socket) -> Metrics:
    return Metrics("{}:{}".format(*server.getsockname()), "b")


@pytest.mark.parametrize(
    ("send", "line"),
    [
        (lambda m: m.record_resume(0, 1.5), "b.resume.rank.0:1500.000000|ms"),
        (lambda m: m.record_first_token(1, 0.25), "b.first_token.rank.1:250.000000|ms"),
        (lambda m: m.record_wait(2, 2), "b.wait.rank.2:2000.000000|ms"),
        (lambda m: m.count_recomputed(RecomputeCause.RESUME, 7), "b.recomputed.resume:7|c"),
        (
            lambda m: m.count_link_bytes("riga", "kur.ze me", LinkCause.TOKENS, 99),
            "b.link.riga.kur_ze_me.tokens:99|c",
        ),
        (
            lambda m: m.count_refusal(2, ErrorKind.OVERLOADED),
            "b.refused.rank.2.overloaded:1|c",
        ),
        (lambda m: m.count_end(EndCause.CALLER_LEFT), "b.connections_ended.caller_left:1|c"),
        (lambda m: m.count_rank_tokens(0, 64), "b.tokens.rank.0:64|c"),
        (lambda m: m.count_workspace_tokens("bungs", 64), "b.tokens.workspace.bungs:64|c"),
    ],
)
def test_metric_is_sent(
    server: socket.socket, metrics: Metrics, send: Callable[[Metrics], None], line: str
) -> None:
    send(metrics)
    metrics.close()
    assert server.recv(512).decode() == line


def test_counters_are_summed(server: socket.socket, metrics: Metrics) -> None:
    for _ in range(100):
        metrics.count_rank_tokens(0, 3)
    metrics.flush()
    assert server.recv(512) == b"b.tokens.rank.0:300|c"


def test_counters_are_sent_without_flush(
    server: socket.socket, metrics: Metrics, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(module, "FLUSH_INTERVAL_S", 0)
    metrics.count_rank_tokens(0, 3)
    assert server.recv(512) == b"b.tokens.rank.0:3|c"


def test_token_intervals_are_sampled(server: socket.socket, metrics: Metrics) -> None:
    for _ in range(2000):
        metrics.record_token_interval(0, 0.01)
    metrics.count_rank_tokens(0, 1)
    metrics.close()
    lines = list(iter(lambda: server.recv(512).decode(), "b.tokens.rank.0:1|c"))
    assert set(lines) == {"b.gap.rank.0:10.000000|ms|@0.01"}
    assert len(lines) < 200


def test_names_of_workspaces_are_bounded(
    server: socket.socket, metrics: Metrics, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(module, "MAX_WORKSPACES", 2)
    for name in ("a", "b", "c", "d", "a"):
        metrics.count_workspace_tokens(name, 1)
    metrics.flush()
    assert sorted(server.recv(512).decode().splitlines()) == [
        "b.tokens.workspace.a:2|c",
        "b.tokens.workspace.b:1|c",
        "b.tokens.workspace.other:2|c",
    ]


def test_no_address_sends_nothing() -> None:
    metrics = Metrics("")
    metrics.record_resume(0, 1)
    metrics.count_rank_tokens(0, 1)
    metrics.close()


@pytest.mark.parametrize("address", ["localhost:8125", "127.0.0.1", "127.0.0.1:x"])
def test_address_is_an_ip_number(address: str) -> None:
    with pytest.raises(ValueError):
        Metrics(address)
