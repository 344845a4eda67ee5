"""Run a daemon that ignores requests not yet in an endpoint's load report, as a baseline."""

from __future__ import annotations

from typing import TYPE_CHECKING

from basilroad.entry.links.link import AgentLink, EndpointView
from basilroad.run import run

if TYPE_CHECKING:
    from basilroad.peers.wire import peer_pb2 as wire

_original_update = AgentLink.update_endpoint


def update_endpoint(link: AgentLink, state: wire.EndpointState) -> EndpointView:
    """:return: the view, as if the state included all requests that were sent."""
    view = _original_update(link, state)
    view.sent = state.seen
    return view


def main() -> None:
    """Replace the update and run the command line."""
    AgentLink.update_endpoint = update_endpoint  # type: ignore[method-assign]
    run()


if __name__ == "__main__":
    main()
