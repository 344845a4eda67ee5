"""Messages between an engine and who drives it."""

from __future__ import annotations

import attrs


@attrs.frozen
class GenerateRequest:
    """Asks an engine to continue a text.

    :param request_id: names the order at the engine
    :param prompt: text to continue
    :param model: model that must be loaded
    :param adapter: adapter that must be loaded; empty for none
    :param version: version that must be loaded
    :param max_tokens: length of the whole answer in tokens, the prior ones included
    :param prior: tokens of the answer that stand already, in order
    :param temperature: 0 for the likeliest token each time
    :param seed: seed of the sampling, if it is to be repeatable
    :param stop: a token equal to one of these ends the answer
    :param priority: lower starts first
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
    """Asks an engine to end a generation.

    :param request_id: names the generation's order
    """

    request_id: str


@attrs.frozen
class EngineToken:
    """One token of an answer.

    :param offset: place in the answer, counted from its first token
    :param token: text of the token
    """

    offset: int
    token: str


@attrs.frozen
class EngineFinish:
    """End of an answer.

    :param finish: ``length``, ``stop`` or ``cancelled``
    :param prompt_tokens: tokens of the prompt
    :param completion_tokens: tokens of the whole answer, the prior ones included
    :param cached_tokens: tokens of the prompt and the prior ones that the cache held
    """

    finish: str
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


@attrs.frozen
class EngineLoad:
    """What an engine has to do.

    :param running: generations that run
    :param waiting: generations that wait for a slot
    :param slots: generations that can run at once
    :param decoded_tokens: tokens generated since the start
    :param prefilled_tokens: tokens computed in prefill since the start
    :param cached_tokens: tokens taken from the cache since the start
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

    :param sequence: number of the change; one more than that of the change before
    :param added: hashes of prefixes that were added
    :param dropped: hashes of prefixes that were dropped
    """

    sequence: int
    added: tuple[int, ...] = ()
    dropped: tuple[int, ...] = ()


@attrs.frozen
class CacheEvents:
    """Changes of an engine's prefix cache that were published.

    :param events: the changes, oldest first; some may be missing
    """

    events: tuple[CacheEvent, ...]


@attrs.frozen
class CacheSnapshot:
    """Whole content of an engine's prefix cache.

    :param sequence: number of the last change that is in it
    :param hashes: hashes of all prefixes
    """

    sequence: int
    hashes: tuple[int, ...]


@attrs.frozen
class EngineCommand:
    """Orders an engine to load a model, to unload it or to take a role.

    :param action: ``load``, ``unload`` or ``role``
    :param model: model to load
    :param adapter: adapter to load; empty for none
    :param version: version to load
    :param role: role to take
    :param fence: fencing number of who orders
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
    :param model: model that is loaded or being loaded
    :param adapter: its adapter
    :param version: its version
    :param role: role of the engine
    :param fence: highest fencing number it was ordered with
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
