"""Finds what the requests have in common that endpoints crashed on."""

from __future__ import annotations

import math
import time
from collections import Counter, OrderedDict
from collections.abc import Callable, Collection, Iterable, Iterator

import attrs

CRASHES_TO_REFUSE = 3
"""Crashes after which what their requests have in common is refused: endpoints also crash for
other reasons, and two of those may well meet in one request."""

SAME_OUTAGE_S = 0.5
"""Crashes within this time of each other count once, unless the later request was sent after the
earlier crash: a data centre that fails takes several endpoints at one moment."""

TRANSIT_VARIATION_S = 0.05
"""Error of the order of events that peers report, by the transit time of their messages."""

SOUND_S = 60.0
"""Time for which a part that passed is not held responsible for crashes; parts that are shared
pass more often."""


@attrs.frozen
class CrashSettings:
    """Settings of the ledger.

    :param retain_s: seconds for which a crash counts
    :param records_limit: maximum records kept; the oldest one that shows no refusal is evicted
        first
    :param sound_limit: maximum keys known to be sound; the one that passed longest ago is evicted
        first
    """

    retain_s: float = 600.0
    records_limit: int = 512
    sound_limit: int = 16_384


@attrs.frozen
class CrashRecord:
    """A request that an endpoint ran when it crashed.

    :param crash: identifier of the crash, the same at every peer
    :param content: key of the request's content
    :param parts: keys of the parts that it shares with other requests
    :param began: whether the endpoint had begun to answer it
    :param ran_s: seconds for which it had run there
    :param age_s: seconds since the crash
    """

    crash: str
    content: str
    parts: frozenset[str]
    began: bool = False
    ran_s: float = 0.0
    age_s: float = 0.0

    @property
    def keys(self) -> frozenset[str]:
        """:return: keys of the content and the parts."""
        return self.parts | {self.content}


@attrs.frozen
class RefusedKeys:
    """Requests that have all of these keys are refused.

    :param keys: the keys
    :param crashes: number of crashes that count
    :param explained: number of crashes, also those close to others that don't count
    :param refused_until: monotonic seconds
    """

    keys: frozenset[str]
    crashes: int
    explained: int
    refused_until: float

    @property
    def sort_key(self) -> tuple[int, int, int, list[str]]:
        """:return: puts those first that explain the most crashes; the most specific of them."""
        return -self.crashes, -self.explained, -len(self.keys), sorted(self.keys)


@attrs.define
class _Record:
    crash: str
    content: str
    parts: frozenset[str]
    began: bool
    started_at: float
    occurred_at: float


@attrs.frozen
class _Suspect:
    """Keys that a request had at a crash, without those that are known to be sound."""

    crash: str
    keys: frozenset[str]
    started_at: float
    occurred_at: float


class CrashLedger:
    """Records which requests ran at endpoints that crashed, and which parts passed.

    A part that is in ``CRASHES_TO_REFUSE`` crashes is refused together with all that the requests
    of those crashes have in common and that did not pass lately. So requests that share only some
    of it still run; they show which part is sound, or narrow down what is refused. If all crashes
    were of one content, only this content is refused.

    Crashes are explained by the keys that are in most of them, and by those that passed some time
    ago only if no others explain them. An explained crash counts against
    no other key, neither of the same request nor of others that ran beside it. Of the requests
    at an endpoint that crashed, those that it had begun to answer count, the others only if there
    are none.

    Records form a set and of two marks of a sound key the later one holds, so that peers can merge
    both in any order and any number of times. They carry their age, not a time.

    :param settings: settings of the ledger
    :param clock: monotonic clock in seconds
    """

    def __init__(
        self, settings: CrashSettings, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._records: dict[tuple[str, str], _Record] = {}
        self._passed_at: OrderedDict[str, float] = OrderedDict()
        self._newest: dict[str, float] = {}
        self._crash_counts: Counter[str] = Counter()
        self._refused: tuple[RefusedKeys, ...] | None = ()

    def __len__(self) -> int:
        """:return: number of records."""
        return len(self._records)

    @property
    def refused(self) -> tuple[RefusedKeys, ...]:
        """:return: what is refused."""
        if self._refused is None:
            self._refused = tuple(self._find_refused())
        return self._refused

    def merge(self, records: Iterable[CrashRecord]) -> list[CrashRecord]:
        """Add records of this process or of a peer.

        :param records: the records, in any order
        :return: those that changed the ledger
        """
        changed = [record for record in records if self._merge_record(record)]
        if changed:
            self._index()
        if len(self._records) > self._settings.records_limit:
            self._evict()
        return changed

    def record_passed(self, key: str, age_s: float = 0.0) -> bool:
        """Record that an endpoint continued after the beginning of an answer.

        :param key: key of the content or of a part
        :param age_s: seconds since then
        :return: whether crashes no longer count against the key
        """
        passed_at = self._clock() - age_s
        known_at = self._passed_at.get(key)
        if known_at is not None and passed_at <= known_at:
            return False
        counted = self.is_suspect(key)
        self._passed_at[key] = passed_at
        self._passed_at.move_to_end(key)
        self._evict_passed()
        # a key in fewer crashes is part of no refusal
        matters = self._crash_counts[key] >= CRASHES_TO_REFUSE
        if matters and (counted or known_at is None):
            self._refused = None
        return matters and counted

    def is_named(self, key: str) -> bool:
        """:return: whether a request with this key was at an endpoint that crashed."""
        return key in self._newest

    def find_passed(self, key: str) -> float | None:
        """:return: seconds since a request with this part passed; ``None`` if it is too long."""
        passed_at = self._passed_at.get(key)
        if passed_at is None or self._clock() - passed_at > SOUND_S:
            return None
        return self._clock() - passed_at

    def list_passed(self, keys: Iterable[str]) -> dict[str, float]:
        """:return: seconds since a request passed, for those of the keys that are known to."""
        now, passed_at = self._clock(), self._passed_at
        return {key: now - passed_at[key] for key in keys if key in passed_at}

    def is_suspect(self, key: str) -> bool:
        """:return: whether a crash counts against a key."""
        newest_at = self._newest.get(key)
        return newest_at is not None and newest_at > self._excused_until(key)

    def has_crash(self, crash: str, age_s: float) -> bool:
        """:return: whether a crash of this name is known that is older."""
        limit = self._clock() - age_s
        return any(r.crash == crash and r.occurred_at < limit for r in self._records.values())

    def find_refusal(self, keys: Collection[str]) -> RefusedKeys | None:
        """Find out whether a request is refused.

        :param keys: keys of its content and its parts
        :return: the keys that are refused; ``None`` if it may run
        """
        return next((found for found in self.refused if found.keys.issubset(keys)), None)

    def list_newest(self, limit: int, max_age_s: float) -> list[CrashRecord]:
        """:return: the newest records up to an age, the newest one first."""
        now = self._clock()
        found = [r for r in self._records.values() if now - r.occurred_at <= max_age_s]
        found.sort(key=lambda record: -record.occurred_at)
        return [self._pack(record) for record in found[:limit]]

    def list_refused(self, limit: int, per_refusal: int) -> list[CrashRecord]:
        """List records that show what is refused.

        :param limit: maximum number of refused sets of keys, of which the newest are listed
        :param per_refusal: maximum number of records for each
        :return: the newest records of each
        """
        newest = self.list_newest(len(self._records), self._settings.retain_s)
        chosen: dict[tuple[str, str], CrashRecord] = {}
        for refused in sorted(self.refused, key=lambda r: -r.refused_until)[:limit]:
            found = [record for record in newest if refused.keys <= record.keys]
            chosen.update({(r.crash, r.content): r for r in found[:per_refusal]})
        return list(chosen.values())

    def expire(self) -> None:
        """Evict the expired records; to be called periodically."""
        limit = self._clock() - self._settings.retain_s
        expired = [name for name, r in self._records.items() if r.occurred_at <= limit]
        for name in expired:
            del self._records[name]
        if expired:
            self._index()

    def _merge_record(self, record: CrashRecord) -> bool:
        if record.age_s >= self._settings.retain_s:
            return False
        name, occurred_at = (record.crash, record.content), self._clock() - record.age_s
        known = self._records.get(name)
        if known is None:
            self._records[name] = _Record(
                record.crash,
                record.content,
                record.parts,
                record.began,
                occurred_at - record.ran_s,
                occurred_at,
            )
            return True
        # a peer may know that one of the parts is sound
        parts, began = known.parts & record.parts, known.began or record.began
        known.started_at = max(known.started_at, occurred_at - record.ran_s)
        known.occurred_at = min(known.occurred_at, occurred_at)
        if (parts, began) == (known.parts, known.began):
            return False
        known.parts, known.began = parts, began
        return True

    def _evict(self) -> None:
        shown = [refused.keys for refused in self.refused]

        def sort_key(record: _Record) -> tuple[bool, float, str, str]:
            keys = record.parts | {record.content}
            is_shown = any(refused <= keys for refused in shown)
            return is_shown, record.occurred_at, record.crash, record.content

        surplus = len(self._records) - self._settings.records_limit
        for record in sorted(self._records.values(), key=sort_key)[:surplus]:
            del self._records[record.crash, record.content]
        self._index()

    def _index(self) -> None:
        self._newest = {}
        self._crash_counts = Counter()
        for record in self._records.values():
            keys = record.parts | {record.content}
            self._crash_counts.update(keys)
            for key in keys:
                newest_at = self._newest.get(key, record.occurred_at)
                self._newest[key] = max(newest_at, record.occurred_at)
        self._refused = None if self._records else ()

    def _excused_until(self, key: str) -> float:
        return self._passed_at.get(key, -math.inf) + SOUND_S

    def _evict_passed(self) -> None:
        while len(self._passed_at) > self._settings.sound_limit:
            oldest = next(iter(self._passed_at))
            if len(self._newest) < self._settings.sound_limit and oldest in self._newest:
                # without its pass, the crashes of the key would count again
                self._passed_at.move_to_end(oldest)
            else:
                del self._passed_at[oldest]

    def _list_suspects(self, *, begun: bool) -> list[_Suspect]:
        """List suspects.

        :param begun: whether to list those that count in the first place, or the contents of the
            others: the response head of a deadly request may be lost with its connection
        :return: the suspects
        """
        began = {record.crash for record in self._records.values() if record.began}
        suspects = []
        for record in self._records.values():
            if begun is (record.crash in began and not record.began):
                continue
            keys = record.parts | {record.content} if begun else {record.content}
            keys = frozenset(k for k in keys if record.occurred_at > self._excused_until(k))
            suspects.append(_Suspect(record.crash, keys, record.started_at, record.occurred_at))
        return suspects

    def _find_refused(self) -> Iterator[RefusedKeys]:
        explained: set[str] = set()
        for begun in (True, False):
            suspects = self._list_suspects(begun=begun)
            while True:
                suspects = [s for s in suspects if s.crash not in explained]
                best = self._find_best(suspects)
                if best is None:
                    break
                yield best
                explained |= {s.crash for s in suspects if best.keys <= s.keys}

    def _find_best(self, suspects: list[_Suspect]) -> RefusedKeys | None:
        frequent = _list_frequent(suspects)
        # two deadly parts with one sound part beside them look like one deadly part with two
        # sound ones; so what never passed comes first
        new = [found for key, found in frequent.items() if key not in self._passed_at]
        return self._choose(new) or self._choose(frequent.values())

    def _choose(self, groups: Iterable[list[_Suspect]]) -> RefusedKeys | None:
        found = [self._intersect(suspects) for suspects in groups]
        found = [refused for refused in found if refused.crashes >= CRASHES_TO_REFUSE]
        return min(found, key=lambda refused: refused.sort_key, default=None)

    def _intersect(self, suspects: list[_Suspect]) -> RefusedKeys:
        common = frozenset.intersection(*(suspect.keys for suspect in suspects))
        outages = _list_outages(suspects)
        counted_from = outages[-CRASHES_TO_REFUSE:][0]
        explained = len({suspect.crash for suspect in suspects})
        refused_until = counted_from + self._settings.retain_s
        return RefusedKeys(common, len(outages), explained, refused_until)

    def _pack(self, record: _Record) -> CrashRecord:
        age_s = self._clock() - record.occurred_at
        ran_s = max(0.0, record.occurred_at - record.started_at)
        return CrashRecord(record.crash, record.content, record.parts, record.began, ran_s, age_s)


def _list_frequent(suspects: Iterable[_Suspect]) -> dict[str, list[_Suspect]]:
    by_key: dict[str, list[_Suspect]] = {}
    for suspect in suspects:
        for key in suspect.keys:
            by_key.setdefault(key, []).append(suspect)
    return {key: found for key, found in by_key.items() if len(found) >= CRASHES_TO_REFUSE}


def _list_outages(suspects: Iterable[_Suspect]) -> list[float]:
    outages: list[float] = []
    seen: set[str] = set()
    for suspect in sorted(suspects, key=lambda s: (s.occurred_at, s.started_at)):
        if suspect.crash in seen:
            # a peer noticed it later
            continue
        seen.add(suspect.crash)
        at, last_at = suspect.occurred_at, outages[-1] if outages else -math.inf
        sent_later = suspect.started_at > last_at - TRANSIT_VARIATION_S
        if at - last_at >= SAME_OUTAGE_S or sent_later:
            outages.append(at)
    return outages


__all__ = [
    "CRASHES_TO_REFUSE",
    "SAME_OUTAGE_S",
    "SOUND_S",
    "CrashLedger",
    "CrashRecord",
    "CrashSettings",
    "RefusedKeys",
]
