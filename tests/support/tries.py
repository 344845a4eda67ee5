"""How the tries of callers end beside a stop."""

from __future__ import annotations

import asyncio
import socket
import time
from enum import StrEnum

from support.gatewayrig import GatewayRig, build_order


class TryEnd(StrEnum):
    """How the try of a caller ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    NO_CONNECTION = "no connection"
    CLOSED_BEFORE = "closed before it was sent"
    NO_ANSWER = "cut, no answer"


def read_end(received: bytes) -> TryEnd:
    """:return: how a try ended, by the first bytes of its answer; 408 and 503 mean "not run"."""
    if not received:
        return TryEnd.NO_ANSWER
    status = received.split(b" ", 2)[1]
    return TryEnd.REFUSED if status in (b"408", b"503") else TryEnd.ANSWERED


def exchange_once(rig: GatewayRig, request_id: str, at: float) -> TryEnd:
    """Send a request on a connection of its own.

    :param rig: the gateway
    :param request_id: id of the request
    :param at: monotonic seconds at which the connection is opened
    :return: how the try ended
    """
    front = rig.service.settings.front
    time.sleep(max(0.0, at - time.monotonic()))
    try:
        caller = socket.create_connection((front.ip, front.port), timeout=5)
    except ConnectionRefusedError:
        return TryEnd.NO_CONNECTION
    with caller:
        try:
            caller.sendall(build_order(request_id))
            return read_end(caller.recv(65536))
        except ConnectionError:
            return TryEnd.NO_ANSWER


def is_listening(ip: str, port: int) -> bool:
    """:return: whether new connections to an address are accepted."""
    try:
        socket.create_connection((ip, port), timeout=5).close()
    except ConnectionRefusedError:
        return False
    return True


async def hold_stop(rig: GatewayRig) -> asyncio.Task[object]:
    """Start a stream that outlasts a stop, so that the stop lasts until its limit.

    :param rig: the gateway
    :return: the caller's task
    """
    rig.llm.event_interval_s = 1.0
    companion = asyncio.ensure_future(
        rig.send_request("/s/1", X_Attempt_Id="companion", X_Deadline_Ms="20000")
    )
    while "companion" not in rig.llm.ran:
        await asyncio.sleep(0.01)
    return companion


__all__ = ["TryEnd", "exchange_once", "hold_stop", "is_listening", "read_end"]
