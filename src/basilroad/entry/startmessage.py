"""What an agent is ordered to generate, from a request and back."""

from __future__ import annotations

from basilroad.entry.identity import Identity
from basilroad.entry.request import CompletionRequest
from basilroad.peers.wire import peer_pb2 as wire


def write_order(request: CompletionRequest, identity: Identity) -> wire.StartGeneration:
    """Write what does not change from attempt to attempt.

    :param request: what the caller asks for
    :param identity: who asks
    :return: an order that names no attempt and no endpoint yet
    """
    order = wire.StartGeneration(
        model=request.model,
        adapter=request.adapter,
        prompt=request.prompt,
        max_tokens=request.max_tokens,
        temperature=request.temperature,
        stop=request.stop,
        chat=request.chat,
        body_hash=request.body_hash,
        fingerprint=request.fingerprint,
        rank=identity.rank,
        workspace=identity.workspace,
        caller=identity.caller,
    )
    if request.seed is not None:
        order.seed = request.seed
    return order


def read_request(order: wire.StartGeneration) -> CompletionRequest:
    """:return: what the caller of an order asked for."""
    return CompletionRequest(
        model=order.model,
        adapter=order.adapter,
        prompt=order.prompt,
        max_tokens=order.max_tokens,
        temperature=order.temperature,
        seed=order.seed if order.HasField("seed") else None,
        stop=tuple(order.stop),
        stream=True,
        include_usage=False,
        chat=order.chat,
        body_hash=order.body_hash,
        fingerprint=order.fingerprint,
    )


__all__ = ["read_request", "write_order"]
