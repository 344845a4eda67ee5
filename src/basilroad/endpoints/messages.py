"""Messages between an engine and its clients."""

from __future__ import annotations

import attrs


@attrs.frozen
class GenerateRequest:
    """Request to generate a completion.

    :param request_id: identifier of the generation at the engine
    :param prompt: text to complete
    :param model: model that must be loaded
    :param adapter: adapter that must be loaded; empty for none
    :param version: version that must be loaded
    :param max_tokens: length of the completion in tokens, the prior ones included
    :param prior: tokens of the completion that were generated before, in order
    :param temperature: sampling temperature; 0 for greedy decoding
    :param seed: sampling seed, if the output must be repeatable
    :param stop: a token equal to one of these ends the completion
    :param priority: requests with a lower value start first
    """

    request_id: str
    prompt: str
    model: str
    adapter: str = ""
    version: str = "1"
    max_tokens: int = 16
    prior: tuple[str, ...] = ()
    temperature: float = 0.0
    seed: int | None = None
    stop: tuple[str, ...] = ()
    priority: int = 0


@attrs.frozen
class CancelRequest:
    """Request to cancel a generation.

    :param request_id: identifier of the generation
    """

    request_id: str


@attrs.frozen
class EngineToken:
    """One token of a completion.

    :param offset: index in the completion, from 0
    :param token: text of the token
    """

    offset: int
    token: str


@attrs.frozen
class EngineFinish:
    """End of a completion.

    :param finish: ``length``, ``stop`` or ``cancelled``
    :param prompt_tokens: tokens of the prompt
    :param completion_tokens: tokens of the completion, the prior ones included
    :param cached_tokens: tokens of the prompt and the prior ones found in the cache
    """

    finish: str
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


@attrs.frozen
class EngineLoad:
    """Load of an engine.

    :param running: generations in progress
    :param waiting: queued generations
    :param slots: generations that can run at once
    :param decoded_tokens: tokens generated since the start
    :param prefilled_tokens: tokens computed in prefill since the start
    :param cached_tokens: tokens found in the cache since the start
    """

    running: int
    waiting: int
    slots: int
    decoded_tokens: int
    prefilled_tokens: int
    cached_tokens: int


@attrs.frozen
class CacheEvent:
    """One change of an engine's prefix cache.

    :param sequence: sequence number; increases by one with each change
    :param added: hashes of added prefixes
    :param dropped: hashes of evicted prefixes
    """

    sequence: int
    added: tuple[int, ...] = ()
    dropped: tuple[int, ...] = ()


@attrs.frozen
class CacheEvents:
    """Published changes of an engine's prefix cache.

    :param events: the changes, oldest first; some may be missing
    """

    events: tuple[CacheEvent, ...]


@attrs.frozen
class CacheSnapshot:
    """Complete content of an engine's prefix cache.

    :param sequence: sequence number of the last change included
    :param hashes: hashes of all prefixes
    """

    sequence: int
    hashes: tuple[int, ...]


@attrs.frozen
class EngineCommand:
    """Command to load or unload a model, or to set the role.

    :param action: ``load``, ``unload`` or ``role``
    :param model: model to load
    :param adapter: adapter to load; empty for none
    :param version: version to load
    :param role: role to set
    :param fence: fencing number of the sender
    """

    action: str
    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""
    fence: int = 0


@attrs.frozen
class EngineHealth:
    """State of an engine.

    :param name: name of the endpoint
    :param state: ``empty``, ``loading`` or ``ready``
    :param model: loaded model, or the one being loaded
    :param adapter: its adapter
    :param version: its version
    :param role: role of the engine
    :param fence: highest fencing number received in a command
    """

    name: str
    state: str
    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""
    fence: int = 0


__all__ = [
    "CacheEvent",
    "CacheEvents",
    "CacheSnapshot",
    "CancelRequest",
    "EngineCommand",
    "EngineFinish",
    "EngineHealth",
    "EngineLoad",
    "EngineToken",
    "GenerateRequest",
]
