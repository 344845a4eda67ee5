"""What the steps of one scenario share."""

from __future__ import annotations

from concurrent.futures import Future

import attrs

from support.background import Background
from support.callers import OrderAnswer, StreamedAnswer, attach_generation, stream_completion
from support.fleet import Endpoint, Fleet, Process

MODEL = "spec-llm"
SERVICE = "order-app"
ANSWER_TIMEOUT_S = 60.0


@attrs.define(eq=False)
class CompletionRequest:
    """One caller's request for a completion.

    :param caller: name of the caller
    :param count: tokens asked for
    :param key: idempotency key, empty for none
    :param seed: seed asked for
    :param entry: number of the entry that was asked
    """

    caller: str
    count: int
    key: str = ""
    seed: int | None = None
    entry: int = 0
    model: str = MODEL
    answer: StreamedAnswer = attrs.field(factory=StreamedAnswer)
    future: Future[StreamedAnswer] | None = None

    @property
    def prompt(self) -> str:
        """:return: a prompt of this caller alone."""
        return f"review the cask of {self.caller} in {self.count} words"

    @property
    def headers(self) -> dict[str, str]:
        """:return: headers that tell who asks."""
        return {"X-Caller": self.caller}


@attrs.define(eq=False)
class ScenarioContext:
    """One scenario.

    :param fleet: its processes
    :param background: loop of its callers
    :param asks: requests so far
    :param orders: answers to orders so far
    """

    fleet: Fleet
    background: Background
    requests: list[CompletionRequest] = attrs.field(factory=list)
    orders: list[OrderAnswer] = attrs.field(factory=list)
    order: Future[OrderAnswer] | None = None
    poison_answers: list[StreamedAnswer] = attrs.field(factory=list)
    target: Endpoint | None = None
    stopped: Process | None = None
    started: int = 0

    def send_request(self, request: CompletionRequest) -> CompletionRequest:
        """Send a request.

        :param ask: the request
        :return: the same, on its way
        """
        fields = {} if request.seed is None else {"seed": request.seed}
        stream = stream_completion(
            self.fleet.entries[request.entry].url,
            request.prompt,
            model=request.model,
            max_tokens=request.count,
            key=request.key,
            headers=request.headers,
            answer=request.answer,
            temperature=0,
            **fields,
        )
        request.future = self.background.spawn(stream)
        self.requests.append(request)
        return request

    def attach(self, request: CompletionRequest, entry: int) -> None:
        """Go on with a broken stream.

        :param ask: its request
        :param entry: number of the entry to ask
        """
        self.background.run(request.answer.wait_closed())
        url = self.fleet.entries[entry].url
        request.future = self.background.spawn(
            attach_generation(url, request.answer, request.headers)
        )

    def wait_tokens(self, count: int) -> None:
        """Wait until every caller has so many tokens.

        :param count: number of tokens
        """
        for request in self.requests:
            self.background.run(request.answer.wait_tokens(count), ANSWER_TIMEOUT_S)

    def wait_answers(self) -> None:
        """Wait until every stream has ended."""
        for request in self.requests:
            assert request.future is not None
            request.future.result(ANSWER_TIMEOUT_S)

    def find_busiest(self) -> Endpoint:
        """:return: the endpoint whose engine runs the most, one at the least."""
        living = [e for e in self.fleet.endpoints if e.backend.running]
        running = {e: e.backend.ask("GET", "/control/counters")["running"] for e in living}
        busiest = max(living, key=lambda e: running[e])
        assert running[busiest], "no engine runs anything"
        return busiest

    def count_computed(self) -> int:
        """:return: tokens that the living engines have generated."""
        living = [e.backend for e in self.fleet.endpoints if e.backend.running]
        return sum(b.ask("GET", "/control/counters")["decoded_tokens"] for b in living)


__all__ = ["MODEL", "SERVICE", "CompletionRequest", "ScenarioContext"]
