"""Exchange of crashes, and of parts that passed, between gateways."""

from __future__ import annotations

import logging
import math
import random
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import TYPE_CHECKING, Annotated

import attrs
import msgspec

from basilroad.coordination.crashledger import CrashLedger, CrashRecord, CrashSettings

if TYPE_CHECKING:
    from basilroad.peers.address import Address

MAX_KEY_CHARS = 64
"""Longest key of a content or part; those of these fleets have 16 characters at most."""

MAX_CRASH_CHARS = 256
"""Longest identifier of a crash, which has the id of an endpoint in it."""

MAX_PARTS = 16
"""Maximum parts of a request that are considered; prompts of these fleets have three or four."""

MAX_REPORTS = 8
"""Reports per datagram; with three parts each they take two thirds of its size."""

MAX_MESSAGE_BYTES = 1400
"""Size beyond which a message is sent in two, below the usual MTU."""

MAX_PASSED = 32
"""Passed keys per datagram."""

REPEAT_INTERVAL_S = 1.0
"""Interval at which known crashes are repeated: datagrams get lost, and gateways restart."""

REPEAT_FANOUT = 2
"""Peers per repetition: a restarted gateway receives what is refused about twice a second."""

COLLECT_S = 0.1
"""Time after a crash for which further ones are collected before they are sent; a broken connection
is checked for as long."""

MAX_CRASHES_ANNOUNCED = 2
"""Crashes within that time that are sent to all gateways at once. More of them are the failure of
a data centre, unless they show what is refused: each gateway has many, and they would hold up the
reports of load."""

RECENT_S = 10.0
"""Time for which each crash is repeated, many times that of a lost datagram's repetition."""

MAX_REFUSED_REPEATED = 8
"""Sets of refused keys that are repeated for as long as they are refused, the newest ones."""

RECORDS_PER_REFUSAL = 6
"""Newest records of each of these, twice the number that it takes to refuse something."""

MAX_REFUSED_RECORDS = MAX_REFUSED_REPEATED * RECORDS_PER_REFUSAL
"""Records that show what is refused, at most."""

_LOGGER = logging.getLogger(__name__)

Key = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_KEY_CHARS)]
"""Key of a content or a part."""

AgeMs = Annotated[int, msgspec.Meta(ge=0, le=2**40)]
"""Age in milliseconds."""


class CrashReport(msgspec.Struct, array_like=True):
    """A request that an endpoint ran when it crashed.

    :param crash: identifier of the crash
    :param age_ms: milliseconds since then
    :param content: key of the request's content
    :param parts: keys of its parts
    :param began: whether the endpoint had begun to answer it
    :param ran_ms: milliseconds for which it had run there
    """

    crash: Annotated[str, msgspec.Meta(max_length=MAX_CRASH_CHARS)]
    age_ms: AgeMs
    content: Key
    parts: Annotated[list[Key], msgspec.Meta(max_length=MAX_PARTS)]
    began: bool
    ran_ms: AgeMs


class Crashes(msgspec.Struct, array_like=True, tag="crashes"):
    """Crashes and keys that passed.

    :param host: name of the sender
    :param reports: the crashes
    :param passed: milliseconds since a request with a key passed
    :param reply: whether it is for one gateway only, which informs the others
    """

    host: str
    reports: Annotated[list[CrashReport], msgspec.Meta(max_length=MAX_REPORTS)]
    passed: Annotated[dict[Key, AgeMs], msgspec.Meta(max_length=MAX_PASSED)]
    reply: bool = False


@attrs.define(eq=False)
class CrashExchange:
    """Sends crashes to all other gateways when they are recorded, and repeats them.

    :param host: name of this gateway
    :param ledger: crashes of all gateways
    :param on_change: called after messages that changed the ledger, with new records
    :param list_peers: returns the addresses of the other gateways
    :param send: sends a message to gateways
    :param generator: random number generator
    :param clock: monotonic seconds
    """

    host: str
    ledger: CrashLedger = attrs.field(factory=lambda: CrashLedger(CrashSettings()))
    on_change: Callable[[Sequence[CrashRecord]], None] = lambda _records: None
    list_peers: Callable[[], Sequence[Address]] = tuple
    send: Callable[[Crashes, Sequence[Address]], None] = lambda _message, _peers: None
    generator: random.Random = attrs.field(factory=random.Random)
    clock: Callable[[], float] = time.monotonic
    _collected: list[tuple[CrashRecord, float]] = attrs.field(factory=list)
    _sent_at: float = -math.inf
    _repeated_at: float = -math.inf
    _rounds: int = 0

    def announce_crash(self, record: CrashRecord) -> None:
        """Report a crash to all other gateways, at once unless it follows others.

        :param record: the crash
        """
        self._collected.append((record, self.clock()))
        is_refused = self.ledger.find_refusal(record.keys) is not None
        if is_refused or self.clock() - self._sent_at >= COLLECT_S:
            self._send_collected()

    def announce_passed(self, passed: Mapping[str, float]) -> None:
        """Report to all other gateways what passed.

        :param passed: seconds since a request with a key passed
        """
        self._send([], passed, self.list_peers())

    def tick(self, now: float) -> None:
        """Send new crashes; repeat recent ones, and those that show what is refused.

        :param now: monotonic seconds
        """
        if self._collected and now - self._sent_at >= COLLECT_S:
            self._send_collected()
        if not len(self.ledger) or now - self._repeated_at < REPEAT_INTERVAL_S:
            return
        self._repeated_at = now
        self.ledger.expire()
        records = self._list_repeated()
        peers = self.list_peers()
        if not records or not peers:
            return
        # in turn, if there are more than fit in a datagram
        parts = math.ceil(len(records) / MAX_REPORTS)
        start = self._rounds % parts * MAX_REPORTS
        self._rounds += 1
        chosen = records[start : start + MAX_REPORTS]
        passed = self.ledger.list_passed({key for record in chosen for key in record.keys})
        self._send(chosen, passed, self.generator.sample(peers, min(REPEAT_FANOUT, len(peers))))

    def take(self, message: Crashes, address: Address) -> None:
        """Apply a message of another gateway, and reply which of its parts passed here.

        :param message: the message
        :param address: address of the gateway
        """
        if message.host == self.host:
            return
        ages = message.passed.items()
        cleared = [key for key, age in ages if self.ledger.record_passed(key, age / 1000)]
        new = self.ledger.merge(unpack_report(report) for report in message.reports)
        if message.reply and cleared:
            self.announce_passed(self.ledger.list_passed(cleared))
        parts = {key for record in new for key in record.parts}
        known = self.ledger.list_passed(parts.difference(message.passed))
        if known:
            reply = Crashes(self.host, [], _pack_ages(known), reply=True)
            self.send(reply, [address])
        if new or cleared:
            self.on_change(new)

    def list_refused(self) -> list[CrashRecord]:
        """:return: records that show what is refused, ``MAX_REFUSED_RECORDS`` at most."""
        return self.ledger.list_refused(MAX_REFUSED_REPEATED, RECORDS_PER_REFUSAL)

    def _send_collected(self) -> None:
        self._sent_at = self.clock()
        records = [
            attrs.evolve(record, age_s=record.age_s + self._sent_at - at)
            for record, at in self._collected
        ]
        self._collected = []
        if len({record.crash for record in records}) > MAX_CRASHES_ANNOUNCED:
            # the others are repeated as all are
            records = [r for r in records if self.ledger.find_refusal(r.keys) is not None]
        if not records:
            return
        records.sort(key=lambda record: not record.began)
        self._send(records[:MAX_REPORTS], {}, self.list_peers())

    def _send(
        self, records: Sequence[CrashRecord], passed: Mapping[str, float], peers: Sequence[Address]
    ) -> None:
        message = Crashes(
            self.host, [pack_record(record) for record in records], _pack_ages(passed)
        )
        half = len(records) // 2
        if half and len(msgspec.msgpack.encode(message)) > MAX_MESSAGE_BYTES:
            self._send(records[:half], {}, peers)
            self._send(records[half:], passed, peers)
            return
        self.send(message, peers)

    def _list_repeated(self) -> list[CrashRecord]:
        recent = self.ledger.list_newest(MAX_REPORTS, RECENT_S)
        chosen = {(r.crash, r.content): r for r in (*recent, *self.list_refused())}
        return list(chosen.values())


def pack_record(record: CrashRecord) -> CrashReport:
    """:return: the report of a crash."""
    return CrashReport(
        record.crash,
        round(1000 * record.age_s),
        record.content,
        sorted(record.parts)[:MAX_PARTS],
        record.began,
        round(1000 * record.ran_s),
    )


def unpack_report(report: CrashReport, age_s: float = 0.0) -> CrashRecord:
    """Unpack the report of a crash.

    :param report: the report
    :param age_s: seconds since it was made
    :return: the crash
    """
    return CrashRecord(
        report.crash,
        report.content,
        frozenset(report.parts),
        report.began,
        report.ran_ms / 1000,
        age_s + report.age_ms / 1000,
    )


def _pack_ages(passed: Mapping[str, float]) -> dict[str, int]:
    newest: Iterable[tuple[str, float]] = sorted(passed.items(), key=lambda item: item[1])
    return {key: round(1000 * age_s) for key, age_s in [*newest][:MAX_PASSED]}


__all__ = [
    "MAX_KEY_CHARS",
    "MAX_PARTS",
    "MAX_REFUSED_RECORDS",
    "CrashExchange",
    "CrashReport",
    "Crashes",
    "pack_record",
    "unpack_report",
]
