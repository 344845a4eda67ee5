"""Check the responses to valid and invalid requests, with real processes."""

from __future__ import annotations

import asyncio
import http.client
import socket
from typing import TYPE_CHECKING, Any

import msgspec
import psutil
import pytest

from basilroad.standin.tokens import expect_tokens
from support.callers import StreamedAnswer, stream_completion

if TYPE_CHECKING:
    from collections.abc import Iterator

    from support.background import Background
    from support.fleet import Fleet, Process

MODEL = "spec-llm"
GOOD = {"model": MODEL, "prompt": "check the taper", "max_tokens": 5, "temperature": 0}
ORDERS = "/v1/services/order-app"
MEBIBYTE = 1024 * 1024
TOKEN_INTERVAL_S, FAST_INTERVAL_S = 0.005, 0.0005
"""Seconds between two tokens of the shared engine, as it starts and as fast as it can."""


def _post(
    entry: Process, path: str, body: bytes, headers: dict[str, str] | None = None
) -> tuple[int, Any]:
    connection = http.client.HTTPConnection(entry.address, timeout=10)
    try:
        connection.request("POST", path, body, headers or {})
        response = connection.getresponse()
        return response.status, msgspec.json.decode(response.read())
    finally:
        connection.close()


def _expect(count: int) -> str:
    return "".join(expect_tokens(MODEL, "", "1", "check the taper", None, count))


@pytest.mark.parametrize(
    ("body", "status", "code"),
    [
        pytest.param(b"{", 400, "bad_request", id="malformed"),
        pytest.param(b"\xff\xfe", 400, "bad_request", id="not text"),
        pytest.param(b"[]", 400, "bad_request", id="no object"),
        pytest.param(b'{"prompt": "x"}', 400, "bad_request", id="no model"),
        pytest.param(b'{"model": 7, "prompt": "x"}', 400, "bad_request", id="wrong type"),
        pytest.param(
            b'{"model": "spec-llm", "prompt": "x", "max_tokens": "9"}',
            400,
            "bad_request",
            id="text for a number",
        ),
        pytest.param(
            b'{"model": "spec-llm", "prompt": "x", "max_tokens": -1}',
            400,
            "bad_request",
            id="negative",
        ),
        pytest.param(
            b'{"model": "spec-llm", "prompt": "x", "temperature": 1e999}',
            400,
            "bad_request",
            id="infinite",
        ),
        pytest.param(b'{"model": "nobody", "prompt": "x"}', 404, "unknown_model", id="unknown"),
        pytest.param(
            msgspec.json.encode({**GOOD, "prompt": "w " * 40_000}),
            400,
            "prompt_too_long",
            id="long prompt",
        ),
        pytest.param(b" " * (10 * MEBIBYTE), 413, "body_too_large", id="10 MB"),
    ],
)
def test_bad_body_is_refused_without_affecting_other_requests(
    entry: Process, background: Background, body: bytes, status: int, code: str
) -> None:
    neighbour = StreamedAnswer()
    ask = stream_completion(
        entry.url, "check the taper", model=MODEL, max_tokens=100, answer=neighbour, temperature=0
    )
    running = background.spawn(ask)
    background.run(neighbour.wait_tokens(5))

    answered, refusal = _post(entry, "/v1/completions", body)

    assert (answered, refusal["error"]["code"]) == (status, code)
    assert refusal["error"]["effect"] == "not_run"
    assert refusal["error"]["message"]
    assert running.result().text == _expect(100)


@pytest.mark.parametrize(
    ("header", "value"),
    [("X-Rank", "no-such-rank"), ("Idempotency-Key", "k" * 1000), ("X-Workspace", "w" * 1000)],
)
def test_bad_header_is_refused(entry: Process, header: str, value: str) -> None:
    body = msgspec.json.encode(GOOD)
    status, refusal = _post(entry, "/v1/completions", body, {header: value})
    assert (status, refusal["error"]["code"]) == (400, "bad_request")


def test_line_break_in_a_header_injects_no_header(entry: Process) -> None:
    body = msgspec.json.encode(GOOD)
    head = (
        b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
        b"Idempotency-Key: a\rX-Injected: yes\r\nContent-Length: %d\r\nConnection: close\r\n\r\n"
    ) % len(body)
    ip, _, port = entry.address.rpartition(":")
    with socket.create_connection((ip, int(port)), 10) as connection:
        connection.sendall(head + body)
        answer = b"".join(iter(lambda: connection.recv(65536), b""))
    assert b"\r\nX-Injected" not in answer
    assert b"\rX-Injected" not in answer
    assert answer.split(b"\r\n", 1)[0].split()[1] == b"400"


@pytest.mark.parametrize("path", ["/v1/nothing", "/v1/services/nobody/x", "/v1/generations/zz"])
def test_unknown_path_gets_404_with_a_message(entry: Process, path: str) -> None:
    connection = http.client.HTTPConnection(entry.address, timeout=10)
    connection.request("GET", path)
    response = connection.getresponse()
    assert response.status == 404
    assert msgspec.json.decode(response.read())["error"]["message"]
    connection.close()


def test_unmodified_openai_client_works(entry: Process) -> None:
    openai = pytest.importorskip("openai")
    client = openai.OpenAI(base_url=f"{entry.url}/v1", api_key="none", max_retries=0)

    whole = client.completions.create(**GOOD)
    streamed = client.completions.create(**GOOD, stream=True)
    chat = client.chat.completions.create(
        model=MODEL,
        messages=[{"role": "user", "content": "check the taper"}],
        max_tokens=5,
        temperature=0,
        stream=True,
        stream_options={"include_usage": True},
    )

    assert whole.choices[0].text == _expect(5)
    assert whole.choices[0].finish_reason == "length"
    assert whole.usage.completion_tokens == 5
    assert "".join(event.choices[0].text for event in streamed) == _expect(5)
    events = list(chat)
    prompt = "user: check the taper\nassistant:"
    text = "".join(e.choices[0].delta.content or "" for e in events if e.choices)
    assert text == "".join(expect_tokens(MODEL, "", "1", prompt, None, 5))
    assert events[-1].usage.completion_tokens == 5
    assert [model.id for model in client.models.list()] == [MODEL]
    with pytest.raises(openai.NotFoundError):
        client.completions.create(**{**GOOD, "model": "nobody"})


def test_engine_stops_when_the_caller_disconnects(
    shared: Fleet, entry: Process, background: Background
) -> None:
    answer = StreamedAnswer()
    ask = stream_completion(entry.url, "leave", model=MODEL, max_tokens=30_000, answer=answer)
    running = background.spawn(ask)
    background.run(answer.wait_tokens(5))
    running.cancel()

    engine = shared.endpoints[0].backend
    background.run(_wait_idle(engine))


async def _wait_idle(engine: Process) -> None:
    while engine.ask("GET", "/control/counters")["running"]:
        await asyncio.sleep(0.05)


@pytest.fixture
def fast_engine(shared: Fleet) -> Iterator[Process]:
    """:return: the engine of the shared fleet, which generates as fast as it can meanwhile."""
    engine = shared.endpoints[0].backend
    engine.ask("POST", "/control", {"token_interval_s": FAST_INTERVAL_S})
    yield engine
    engine.ask("POST", "/control", {"token_interval_s": TOKEN_INTERVAL_S})


# fault: an entry kept all that its callers had not read yet
def test_slow_readers_use_bounded_memory(
    fast_engine: Process, entry: Process, background: Background
) -> None:
    engine = fast_engine
    decoded = engine.ask("GET", "/control/counters")["decoded_tokens"]
    before = psutil.Process(entry.pid).memory_info().rss
    ip, _, port = entry.address.rpartition(":")
    body = msgspec.json.encode({**GOOD, "max_tokens": 4_000, "stream": True})
    head = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body)
    slow = []
    for _ in range(8):
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.connect((ip, int(port)))
        connection.sendall(head + body)
        slow.append(connection)
    background.run(_wait_decoded(engine, 8 * 4_000 + decoded))

    grown = psutil.Process(entry.pid).memory_info().rss - before
    for connection in slow:
        connection.close()
    assert grown < 16 * MEBIBYTE


async def _wait_decoded(engine: Process, tokens: int) -> None:
    while engine.ask("GET", "/control/counters")["decoded_tokens"] < tokens:
        await asyncio.sleep(0.05)
