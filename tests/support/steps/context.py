"""State shared by the steps of one scenario."""

from __future__ import annotations

from concurrent.futures import Future
from typing import TypeVar

import attrs

from support.background import Background
from support.callers import OrderAnswer, StreamedAnswer, attach_generation, stream_completion
from support.fleet import Endpoint, Fleet, Process
from support.timelimit import TimeLimit

MODEL = "spec-llm"
SERVICE = "order-app"
ANSWER_TIMEOUT_S = 60.0

T = TypeVar("T")


@attrs.define(eq=False)
class CompletionRequest:
    """A caller's request for a completion.

    :param caller: name of the caller
    :param count: number of tokens requested
    :param key: idempotency key, empty for none
    :param seed: sampling seed, ``None`` to send none
    :param entry: index of the entry that gets the request
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
        """:return: a prompt that is unique to this caller and count."""
        return f"review the cask of {self.caller} in {self.count} words"

    @property
    def headers(self) -> dict[str, str]:
        """:return: headers that identify the caller."""
        return {"X-Caller": self.caller}


@attrs.define(eq=False)
class ScenarioContext:
    """State of one scenario.

    :param fleet: its processes
    :param background: event loop of its callers
    :param requests: completions requested so far
    :param orders: responses to orders so far
    :param order: response to the order in the background
    :param poison_answers: responses to the poison request so far
    :param target: endpoint that the faults are injected into
    :param stopped: process that was asked to stop
    :param started: prompt tokens that the target had started when it began to drain
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

        :param request: the request
        :return: the same object, with its future set
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
        """Reattach to an interrupted stream.

        :param request: its request
        :param entry: index of the entry to attach at
        """
        self.background.run(request.answer.wait_closed())
        url = self.fleet.entries[entry].url
        request.future = self.background.spawn(
            attach_generation(url, request.answer, request.headers)
        )

    def wait_tokens(self, count: int) -> None:
        """Wait until every caller has received the given number of tokens.

        :param count: number of tokens
        """
        for request in self.requests:
            self.wait(self.background.spawn(request.answer.wait_tokens(count)))

    def wait_answers(self) -> None:
        """Wait until every stream has ended."""
        for request in self.requests:
            assert request.future is not None
            self.wait(request.future)

    def wait(self, future: Future[T], limit_s: float = ANSWER_TIMEOUT_S) -> T:
        """Wait for work in the background.

        :param future: the work, cancelled if it is late
        :param limit_s: seconds, without those in which a process waits for a processor
        :return: its result
        :raises TimeoutError: it has not ended in time
        """
        return TimeLimit(limit_s, self.fleet.list_pids).wait_done(future, "no end")

    def find_busiest(self) -> Endpoint:
        """:return: the endpoint whose engine runs the most generations, at least one."""
        living = [e for e in self.fleet.endpoints if e.backend.running]
        running = {e: e.backend.ask("GET", "/control/counters")["running"] for e in living}
        busiest = max(living, key=lambda e: running[e])
        assert running[busiest], "no engine runs a generation"
        return busiest

    def count_generated(self) -> int:
        """:return: tokens that the running engines have generated."""
        living = [e.backend for e in self.fleet.endpoints if e.backend.running]
        return sum(b.ask("GET", "/control/counters")["decoded_tokens"] for b in living)


__all__ = ["MODEL", "SERVICE", "CompletionRequest", "ScenarioContext"]
