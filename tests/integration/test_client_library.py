"""Check that the unmodified OpenAI client library works."""

from __future__ import annotations

from collections.abc import Iterator

import openai
import pytest

from basilroad.standin.tokens import expect_tokens
from support.fleet import Fleet

MODEL = "spec-llm"
TOKENS = 30
CHAT = "user: review this cask\nassistant:"


def expect_text(prompt: str) -> str:
    return "".join(expect_tokens(MODEL, "", "1", prompt, None, TOKENS))


@pytest.fixture
def client(fleet: Fleet) -> Iterator[openai.OpenAI]:
    fleet.add_platform()
    fleet.add_engine("engine", model=MODEL)
    entry = fleet.add_entry("entry")
    fleet.wait_ready()
    with openai.OpenAI(base_url=f"{entry.url}/v1", api_key="none", max_retries=0) as client:
        yield client


@pytest.mark.holds_answers
def test_completions(client: openai.OpenAI) -> None:
    body = {"model": MODEL, "prompt": "oak", "max_tokens": TOKENS, "temperature": 0}
    answer = client.completions.create(**body)
    assert answer.choices[0].text == expect_text("oak")
    assert answer.choices[0].finish_reason == "length"
    assert answer.usage is not None
    assert answer.usage.completion_tokens == TOKENS
    assert answer.usage.total_tokens == TOKENS + answer.usage.prompt_tokens
    chunks = list(client.completions.create(**body, stream=True))
    assert "".join(chunk.choices[0].text for chunk in chunks) == expect_text("oak")
    assert chunks[-1].choices[0].finish_reason == "length"


@pytest.mark.holds_answers
def test_chat(client: openai.OpenAI) -> None:
    messages = [{"role": "user", "content": "review this cask"}]
    body = {"model": MODEL, "messages": messages, "max_tokens": TOKENS, "temperature": 0}
    answer = client.chat.completions.create(**body)
    assert answer.choices[0].message.content == expect_text(CHAT)
    options = {"stream": True, "stream_options": {"include_usage": True}}
    chunks = list(client.chat.completions.create(**body, **options))
    text = "".join(c.delta.content or "" for chunk in chunks for c in chunk.choices)
    assert text == expect_text(CHAT)
    assert chunks[-1].usage is not None
    assert chunks[-1].usage.completion_tokens == TOKENS


def test_models(client: openai.OpenAI) -> None:
    assert [model.id for model in client.models.list()] == [MODEL]


@pytest.mark.holds_not_run
def test_errors(client: openai.OpenAI) -> None:
    with pytest.raises(openai.NotFoundError) as unknown:
        client.completions.create(model="nobody", prompt="oak")
    assert unknown.value.code == "unknown_model"
    with pytest.raises(openai.BadRequestError) as bad:
        client.completions.create(model=MODEL, prompt="oak", n=2)
    assert bad.value.code == "bad_request"
