"""Gateways that keep the locations of prompts, chosen by rendezvous hashing."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import TYPE_CHECKING

import attrs

from basilroad.coordination.rendezvous import choose_hosts

if TYPE_CHECKING:
    from basilroad.gateway.dispatch.selection import Locality
    from basilroad.gateway.exchange.peertable import PeerState

KEEPERS = 2
"""Gateways that keep the location of one prompt."""


@attrs.define(eq=False)
class PromptKeepers:
    """The keepers of each prompt, remembered for the prompts that this gateway reports.

    :param host: name of this gateway
    :param place: its location
    :param list_states: returns the state of the other gateways that send gossip, by name
    :param is_stopping: whether the shutdown of this gateway was requested
    """

    host: str
    place: Locality
    list_states: Callable[[], Mapping[str, PeerState]]
    is_stopping: Callable[[], bool]
    _places: dict[str, str] = attrs.field(factory=dict)
    _known: dict[bytes, list[str]] = attrs.field(factory=dict)

    def choose(self, key: bytes) -> list[str]:
        """Choose the gateways that keep a location.

        :param key: key of the prompt
        :return: their names, in two regions if possible; those that stop only if there are too few
            others
        """
        return self._choose(key, self._list_places())

    def choose_others(self, key: bytes) -> list[str]:
        """Choose the gateways that keep a location, as if this one did not.

        :param key: key of the prompt
        :return: their names
        """
        places = self._list_places()
        places.pop(self.host, None)
        return self._choose(key, places)

    def list_near(self, hosts: Iterable[str]) -> list[str]:
        """:return: those of some other gateways that are in the region of this one."""
        states, region = self.list_states(), self.place.region
        return [host for host in hosts if self._find_region(states[host].data_centre) == region]

    def find(self, key: bytes) -> list[str]:
        """Find the keepers of a prompt, and remember them.

        :param key: key of the prompt
        :return: those that :meth:`choose` returned at the last update
        """
        if key not in self._known:
            self._known[key] = self.choose(key)
        return self._known[key]

    def forget(self, key: bytes) -> None:
        """Forget the keepers of a prompt.

        :param key: key of the prompt
        """
        self._known.pop(key, None)

    def update(self) -> None:
        """Choose the remembered keepers anew after a change of the gateways."""
        before, places = self._places, self._list_places()
        self._places = places
        joined = [host for host, place in places.items() if before.get(host) != place]
        gone = {host for host, place in before.items() if places.get(host) != place}
        for key, keepers in self._known.items():
            stays = places.keys() >= set(keepers) and gone.isdisjoint(keepers)
            if len(places) < KEEPERS or not stays:
                self._known[key] = self._choose(key, places)
            elif joined:
                self._known[key] = self._choose_with(key, keepers, joined)

    def _choose_with(self, key: bytes, keepers: list[str], joined: Collection[str]) -> list[str]:
        # all others rank below the keepers, unless the region of the first one changes
        chosen = self._choose(key, {host: self._places[host] for host in [*keepers, *joined]})
        if chosen[:1] == keepers[:1] and len(chosen) == KEEPERS:
            return chosen
        return self._choose(key, self._places)

    def _choose(self, key: bytes, places: Mapping[str, str]) -> list[str]:
        name = key.hex()
        chosen = choose_hosts(name, places, 1)
        if chosen:
            region = self._find_region(places[chosen[0]])
            elsewhere = [h for h, place in places.items() if self._find_region(place) != region]
            chosen += choose_hosts(name, elsewhere or places.keys() - chosen, KEEPERS - 1)
        if len(chosen) < KEEPERS:
            states = self.list_states()
            stopping = [host for host, state in states.items() if state.stopping]
            chosen += choose_hosts(name, stopping, KEEPERS - len(chosen))
        return chosen

    def _list_places(self) -> dict[str, str]:
        states = self.list_states()
        places = {host: s.data_centre for host, s in states.items() if not s.stopping}
        if not self.is_stopping():
            places[self.host] = self.place.data_centre
        return places

    def _find_region(self, data_centre: str) -> str:
        return self.place.regions.get(data_centre, data_centre)


__all__ = ["KEEPERS", "PromptKeepers"]
