"""Conversion between requests and start messages."""

from __future__ import annotations

from basilroad.entry.generations.request import CompletionRequest
from basilroad.entry.identity import Identity
from basilroad.peers.wire import peer_pb2 as wire


def build_start_message(request: CompletionRequest, identity: Identity) -> wire.StartGeneration:
    """Build the part of a start message that is the same for all attempts.

    :param request: request of the caller
    :param identity: identity of the caller
    :return: start message without attempt and endpoint
    """
    start = wire.StartGeneration(
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
        start.seed = request.seed
    return start


def read_request(start: wire.StartGeneration) -> CompletionRequest:
    """:return: the request that a start message was built from."""
    return CompletionRequest(
        model=start.model,
        adapter=start.adapter,
        prompt=start.prompt,
        max_tokens=start.max_tokens,
        temperature=start.temperature,
        seed=start.seed if start.HasField("seed") else None,
        stop=tuple(start.stop),
        stream=True,
        include_usage=False,
        chat=start.chat,
        body_hash=start.body_hash,
        fingerprint=start.fingerprint,
    )


__all__ = ["build_start_message", "read_request"]
