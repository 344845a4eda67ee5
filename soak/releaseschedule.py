"""Releases of engines side by side, ends of all gateways at once, and engines that fall silent."""

from __future__ import annotations

import enum
import random

import attrs

from soak.schedule import CrashEndpoint, DrainEndpoint, Fault, KillGateway, Schedule
from soak.settings import SoakSettings

FIRST_VERSION = 1

RELEASE_GAP_S = 4.0
"""Mean seconds between the starts of two releases, shorter than some of them take."""

KILL_GAP_S = 5.0
"""Mean seconds between ends of all gateways."""

SILENCE_GAP_S = 2.0
"""Mean seconds between engines that fall silent."""

SILENCE_S = (0.5, 1.5)
"""Limits of the time for which a sound endpoint may fall silent."""


PAUSE_GAP_S = 5.0
"""Mean seconds between pauses of half of the engines."""

PAUSE_S = 1.0
"""Time for which these fall silent together."""


@attrs.frozen
class KillAllGateways(KillGateway):
    """SIGKILL to all gateways at once, whatever else happens to them."""


@attrs.frozen
class ReleaseEndpoint(DrainEndpoint):
    """An endpoint is drained and one of another software version starts. Planned work.

    :param version: number of the version
    """

    version: int


@attrs.frozen
class RestartEndpoint(CrashEndpoint):
    """An endpoint ends and starts at its address with another software version.

    :param version: number of the version
    :param keeps_name: whether it starts under the name that it had
    """

    version: int
    keeps_name: bool


@attrs.frozen
class SilenceEndpoint(Fault):
    """An endpoint sends nothing for the duration, and then continues."""


class Extent(enum.Enum):
    """Engines that a release replaces: one, a share, all others, or some by an older version."""

    ONE = "one"
    SHARE = "share"
    REST = "rest"
    BACK = "back"


class ReleaseSchedule:
    """Draws the releases of a run and the faults that matter beside them.

    :param settings: settings of the run
    """

    def __init__(self, settings: SoakSettings) -> None:
        self._settings = settings
        self._random = random.Random(f"releases {settings.seed}")
        self._kill_random = random.Random(f"kills {settings.seed}")
        self._silence_random = random.Random(f"silences {settings.seed}")
        self._pause_random = random.Random(f"pauses {settings.seed}")
        self._versions = dict.fromkeys(settings.list_engines(), FIRST_VERSION)
        self._newest = FIRST_VERSION

    def draw(self) -> list[Fault]:
        """:return: faults in order of time; there is a release and an end of all in each run."""
        if not self._settings.has_releases:
            return []
        faults = [*self._draw_releases(), *self._draw_kills(), *self._draw_silences()]
        if self._settings.has_pauses:
            faults += self._draw_pauses()
        return sorted(faults, key=lambda fault: fault.at_s)

    def _draw_releases(self) -> list[Fault]:
        faults: list[Fault] = []
        at_s = self._random.uniform(0.2, 1.0)
        while not faults or at_s < self._settings.length_s:
            faults += self._draw_release(at_s)
            at_s += self._random.expovariate(1 / RELEASE_GAP_S)
        return faults

    def _draw_release(self, at_s: float) -> list[Fault]:
        version, targets = self._choose_targets()
        gap_s, faults = self._random.uniform(0.0, 0.5), []
        for number, target in enumerate(targets):
            self._versions[target] = version
            faults.append(self._draw_replacement(at_s + number * gap_s, target, version))
        return faults

    def _choose_targets(self) -> tuple[int, list[int]]:
        """:return: number of a version and the engines that it replaces."""
        newest = [t for t, version in self._versions.items() if version == self._newest]
        others = [t for t in self._versions if t not in newest]
        older = sorted(set(self._versions.values()) - {self._newest})
        extent = self._random.choice(list(Extent))
        if extent is Extent.REST and others:
            return self._newest, others
        if extent is Extent.BACK and older and newest:
            count = self._random.randint(1, len(newest))
            return older[-1], self._random.sample(newest, count)
        self._newest += 1
        engines = list(self._versions)
        share = max(1, len(engines) // 2)
        return self._newest, self._random.sample(engines, 1 if extent is Extent.ONE else share)

    def _draw_replacement(self, at_s: float, target: int, version: int) -> Fault:
        if self._random.random() < 0.6:
            return ReleaseEndpoint(at_s, target, 0.0, version)
        down_s, keeps_name = self._random.uniform(0.05, 0.5), self._random.random() < 0.5
        return RestartEndpoint(at_s, target, down_s, version, keeps_name)

    def _draw_kills(self) -> list[Fault]:
        faults: list[Fault] = []
        at_s = self._kill_random.uniform(0.3, 0.8) * min(self._settings.length_s, KILL_GAP_S)
        while not faults or at_s < self._settings.length_s:
            faults.append(KillAllGateways(at_s, 0, self._kill_random.uniform(0.05, 0.5)))
            at_s += self._kill_random.expovariate(1 / KILL_GAP_S)
        return faults

    def _draw_silences(self) -> list[Fault]:
        generator, faults = self._silence_random, []
        at_s = generator.expovariate(1 / SILENCE_GAP_S)
        while at_s < self._settings.length_s:
            target = generator.choice(self._settings.list_engines())
            faults.append(SilenceEndpoint(at_s, target, generator.uniform(*SILENCE_S)))
            at_s += generator.expovariate(1 / SILENCE_GAP_S)
        return faults

    def _draw_pauses(self) -> list[Fault]:
        """:return: silences of half of the engines at once, one at least."""
        generator, engines = self._pause_random, self._settings.list_engines()
        faults: list[Fault] = []
        at_s = generator.uniform(0.5, PAUSE_GAP_S)
        while not faults or at_s < self._settings.length_s:
            targets = generator.sample(engines, len(engines) // 2)
            faults += [SilenceEndpoint(at_s, target, PAUSE_S) for target in targets]
            at_s += generator.expovariate(1 / PAUSE_GAP_S)
        return faults


def draw_faults(settings: SoakSettings) -> list[Fault]:
    """Draw all faults of a run.

    :param settings: settings of the run
    :return: faults in order of time
    """
    faults = [*Schedule(settings).draw(), *ReleaseSchedule(settings).draw()]
    return sorted(faults, key=lambda fault: fault.at_s)


__all__ = [
    "FIRST_VERSION",
    "KillAllGateways",
    "ReleaseEndpoint",
    "ReleaseSchedule",
    "RestartEndpoint",
    "SilenceEndpoint",
    "draw_faults",
]
