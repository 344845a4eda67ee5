"""Handles admitted calls."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from basilroad.errors import ErrorKind, RefusedError, refuse
from basilroad.gateway.calls.buffered import BufferedCall
from basilroad.gateway.metrics import name_form
from basilroad.gateway.shutdown import ShutdownError, refuse_at_shutdown
from basilroad.gateway.streams.streaming import StreamBrokenError, StreamCall

if TYPE_CHECKING:
    from basilroad.gateway.calls.call import Call, Reply, Responder
    from basilroad.gateway.gateway import Gateway


class CallHandler:
    """Runs calls using the state of a gateway.

    :param gateway: the gateway
    """

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    async def handle(self, call: Call, responder: Responder) -> Reply | None:
        """Run a call.

        :param call: the call
        :param responder: receives a streamed response
        :return: a complete response; ``None`` after a complete stream
        :raises RefusedError: there is no response
        :raises StreamBrokenError: the stream was cut off after it started
        """
        self._gateway.budget_of(call.service).record_request()
        outcome = "cancelled"
        try:
            if call.route.streams:
                await self._find_prompt(call)
                self._check_time_left(call)
            reply = await self._run(call, responder)
            outcome = "whole_stream" if reply is None else f"status_{reply.status // 100}xx"
            return reply
        except RefusedError as error:
            outcome = error.refusal.answer.effect.value
            raise
        except StreamBrokenError:
            outcome = "broken_stream"
            raise
        finally:
            self._count(call, outcome)

    async def _find_prompt(self, call: Call) -> None:
        is_resumed = call.events_received > 0
        try:
            async with self._gateway.shutdown.limit_call():
                await self._gateway.prompts.find(call.cache_key, is_repeated=is_resumed)
        except ShutdownError:
            raise refuse_at_shutdown() from None

    async def _run(self, call: Call, responder: Responder) -> Reply | None:
        self._gateway.containment.check(call)
        running: StreamCall | BufferedCall
        if call.route.streams:
            running = StreamCall(self._gateway, call, responder)
        else:
            running = BufferedCall(self._gateway, call)
        try:
            async with self._gateway.shutdown.limit_call():
                return await running.run()
        except ShutdownError:
            return running.end_at_shutdown()

    def _check_time_left(self, call: Call) -> None:
        gateway, received = self._gateway, call.events_received
        read = gateway.dispatcher.prompt_locations.find(call.cache_key) is not None
        prompt_tokens = 0 if read else call.size.prompt_tokens
        left_s = call.expires_at - time.monotonic()
        if not gateway.stream_durations.is_time_too_short(left_s, prompt_tokens, received):
            return
        if self._can_go_on(call, left_s, prompt_tokens):
            return
        need_s = gateway.stream_durations.estimate_need(prompt_tokens, received)
        raise refuse(
            ErrorKind.TIME_TOO_SHORT,
            f"too little time is left for the stream: {left_s:.1f} s of about {need_s:.1f} s"
            f" after event {received}",
        )

    def _can_go_on(self, call: Call, left_s: float, prompt_tokens: int) -> bool:
        # a caller that resumes has use of each further event, also if the stream will not end
        gateway = self._gateway
        return (
            call.events_received > 0
            and left_s >= gateway.stream_durations.estimate_next_event(prompt_tokens)
            and gateway.dispatcher.has_room(call, ())
        )

    def _count(self, call: Call, outcome: str) -> None:
        took_s = time.monotonic() - call.arrived_at
        form, metrics = name_form(call), self._gateway.metrics
        metrics.calls.labels(form, outcome).inc()
        metrics.answer_s.labels(form).observe(took_s)


__all__ = ["CallHandler"]
