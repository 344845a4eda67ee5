"""Claims of requests that must not run twice, and the outcomes of claiming."""

from __future__ import annotations

import enum
from dataclasses import dataclass

import attrs
import msgspec
import xxhash

from basilroad.coordination.decoding import decode_json
from basilroad.coordination.table import Row

CLAIMS_PREFIX = "claims/"


class ClaimState(enum.Enum):
    """Progress of a claimed request as stored in the table."""

    CLAIMED = "claimed"
    RAN = "ran"


@attrs.frozen
class ClaimRequest:
    """A request to be claimed.

    :param workspace: workspace of the caller
    :param caller: sender of the request
    :param key: the caller's idempotency key
    :param fingerprint: hash of the request's content
    :param holder: process that holds the claim
    :param agent: process that is to run the request
    :param agent_incarnation: identifies the run of that process
    :param deadline: time on the holder's clock after which the request must not be sent
    """

    workspace: str
    caller: str
    key: str
    fingerprint: str
    holder: str
    agent: str
    agent_incarnation: str
    deadline: float

    @property
    def path(self) -> str:
        """:return: path of the claim's row."""
        return build_path(self.workspace, self.caller, self.key)


@attrs.frozen
class StoredHeader:
    """One header of a stored response.

    :param name: name of the header
    :param value: its value
    """

    name: str
    value: str


@attrs.frozen
class StoredOutcome:
    """Response to a request that ran.

    :param status: HTTP status
    :param headers: headers to replay
    :param body: the complete body; base64 in the table
    :param body_kept: false if the body was too large to be stored
    """

    status: int
    headers: tuple[StoredHeader, ...] = ()
    body: bytes = b""
    body_kept: bool = True


@attrs.frozen
class ClaimRecord:
    """Value of a claim's row.

    :param state: progress of the request
    :param workspace: workspace of the caller
    :param caller: sender of the request
    :param key: the caller's idempotency key
    :param fingerprint: hash of the request's content
    :param holder: process that holds the claim
    :param agent: process that is to run the request
    :param agent_incarnation: identifies the run of that process
    :param nonce: unique identifier of this claim
    :param outcome: response to the request, once it ran
    """

    state: ClaimState
    workspace: str
    caller: str
    key: str
    fingerprint: str
    holder: str
    agent: str
    agent_incarnation: str
    nonce: str
    outcome: StoredOutcome | None = None


@attrs.frozen
class Claim:
    """A claim as stored in the table.

    :param path: path of its row
    :param revision: revision of its row
    :param record: value of its row
    """

    path: str
    revision: int
    record: ClaimRecord

    @property
    def ticket(self) -> str:
        """:return: revision and nonce, by which the agent runs the request at most once."""
        return f"{self.revision}:{self.record.nonce}"


@dataclass(frozen=True, slots=True)
class Claimed:
    """The request may be sent, once, under this claim.

    :param claim: the claim made
    """

    claim: Claim

    @property
    def nonce(self) -> str:
        """:return: nonce of the claim."""
        return self.claim.record.nonce

    @property
    def revision(self) -> int:
        """:return: revision of the claim's row."""
        return self.claim.revision


@dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """The request was already claimed; it may be running or have run.

    :param claim: the existing claim
    """

    claim: Claim


@dataclass(frozen=True, slots=True)
class KeyMismatch:
    """The key was used for a different request; this one was not run."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The table did not answer in time; the request was not run.

    :param settled: whether it is certain that no row of this claim exists or can still be written
    """

    settled: bool


ClaimOutcome = Claimed | AlreadyClaimed | KeyMismatch | Unavailable


def build_path(workspace: str, caller: str, key: str) -> str:
    """Build the path of a claim's row.

    :param workspace: workspace of the caller
    :param caller: sender of the request
    :param key: the caller's idempotency key
    :return: the path
    """
    identity = msgspec.json.encode((workspace, caller, key))
    return CLAIMS_PREFIX + xxhash.xxh128_hexdigest(identity)


def read_claim(row: Row | None) -> Claim | None:
    """Decode a claim's row.

    :param row: the row; ``None`` if there is none
    :return: the claim; ``None`` if there is no row
    :raises DecodeError: the row holds no claim
    """
    if row is None or row.value is None:
        return None
    record = decode_json(row.value, ClaimRecord)
    return Claim(row.key, row.revision, record)


__all__ = [
    "AlreadyClaimed",
    "Claim",
    "ClaimOutcome",
    "ClaimRecord",
    "ClaimRequest",
    "ClaimState",
    "Claimed",
    "KeyMismatch",
    "StoredHeader",
    "StoredOutcome",
    "Unavailable",
    "build_path",
    "read_claim",
]
