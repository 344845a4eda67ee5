"""Run a daemon that routes round robin, ignoring region and prefix, as a baseline."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from basilroad.entry.dispatch.routing import Scorer
from basilroad.entry.dispatch.spillover import SpilloverPolicy
from basilroad.logs import Candidate
from basilroad.run import run

if TYPE_CHECKING:
    from collections.abc import Sequence

    from basilroad.entry.dispatch.dispatch import ModelQueue
    from basilroad.entry.generations.flight import Flight
    from basilroad.entry.links.link import EndpointView

_counter = itertools.count()


def score(_scorer: Scorer, _flight: Flight, views: Sequence[EndpointView]) -> list[Candidate]:
    """:return: the endpoints, beginning with the next one in rotation."""
    names = sorted(view.name for view in views)
    first = next(_counter) % len(names)
    return [Candidate(name, float(i)) for i, name in enumerate(names[first:] + names[:first])]


def keep_reachable(
    _spill: SpilloverPolicy,
    _flight: Flight,
    _queue: ModelQueue,
    free: Sequence[EndpointView],
    _views: Sequence[EndpointView],
) -> list[EndpointView]:
    """:return: all endpoints with a free slot, local or remote."""
    return list(free)


def is_wanted(*_: object) -> bool:
    """:return: True, as any endpoint may take queued requests."""
    return True


def main() -> None:
    """Replace the routing decisions and run the command line."""
    Scorer.score = score  # type: ignore[method-assign]
    SpilloverPolicy.keep_reachable = keep_reachable  # type: ignore[method-assign]
    SpilloverPolicy.is_wanted = is_wanted  # type: ignore[method-assign]
    run()


if __name__ == "__main__":
    main()
