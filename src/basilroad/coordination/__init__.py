"""Coordination primitives that other programs can embed."""

from __future__ import annotations

from basilroad.coordination.budget import RetryBudget, RetrySettings, TokenBucket
from basilroad.coordination.callledger import CallLedger, CallLedgerSettings, CallState
from basilroad.coordination.claim import (
    AlreadyClaimed,
    Claim,
    Claimed,
    ClaimOutcome,
    ClaimRecord,
    ClaimRequest,
    ClaimState,
    KeyMismatch,
    StoredHeader,
    StoredOutcome,
    Unavailable,
    build_path,
    read_claim,
)
from basilroad.coordination.claims import Claims
from basilroad.coordination.claimsettings import ClaimsSettings
from basilroad.coordination.copylimiter import ENDPOINTS_ALLOWED, CopyLimiter
from basilroad.coordination.fairpicker import FairPicker, Pick
from basilroad.coordination.fairpolicy import FairPolicy, FairSettings, Flow
from basilroad.coordination.fairqueue import Backlog, BacklogChanges, FairQueue
from basilroad.coordination.fence import FenceGuard
from basilroad.coordination.groupcommit import GroupCommit, GroupCommitSettings
from basilroad.coordination.lease import Lease, LeaseSettings
from basilroad.coordination.leasekeeper import LeaseKeeper
from basilroad.coordination.pause import PauseGuard, RunClock
from basilroad.coordination.poison import (
    MarkBatch,
    PoisonLedger,
    PoisonMark,
    PoisonSettings,
    Standing,
)
from basilroad.coordination.rendezvous import choose_hosts, rank_hosts
from basilroad.coordination.ring import HashRing
from basilroad.coordination.sequence import Gap, TokenSequence
from basilroad.coordination.silence import SilenceDetector, SilenceSettings
from basilroad.coordination.suspicion import Health, HealthChange, Suspicion, SuspicionSettings
from basilroad.coordination.table import (
    ABSENT,
    Changes,
    Row,
    Table,
    TableError,
    TableUnavailableError,
    TableUnknownError,
    Write,
    Written,
)
from basilroad.coordination.timer import Callback, Subscription, Timer
from basilroad.coordination.waiter import Waiter, WaiterSettings

__all__ = [
    "ABSENT",
    "ENDPOINTS_ALLOWED",
    "AlreadyClaimed",
    "Backlog",
    "BacklogChanges",
    "CallLedger",
    "CallLedgerSettings",
    "CallState",
    "Callback",
    "Changes",
    "Claim",
    "ClaimOutcome",
    "ClaimRecord",
    "ClaimRequest",
    "ClaimState",
    "Claimed",
    "Claims",
    "ClaimsSettings",
    "CopyLimiter",
    "FairPicker",
    "FairPolicy",
    "FairQueue",
    "FairSettings",
    "FenceGuard",
    "Flow",
    "Gap",
    "GroupCommit",
    "GroupCommitSettings",
    "HashRing",
    "Health",
    "HealthChange",
    "KeyMismatch",
    "Lease",
    "LeaseKeeper",
    "LeaseSettings",
    "MarkBatch",
    "PauseGuard",
    "Pick",
    "PoisonLedger",
    "PoisonMark",
    "PoisonSettings",
    "RetryBudget",
    "RetrySettings",
    "Row",
    "RunClock",
    "SilenceDetector",
    "SilenceSettings",
    "Standing",
    "StoredHeader",
    "StoredOutcome",
    "Subscription",
    "Suspicion",
    "SuspicionSettings",
    "Table",
    "TableError",
    "TableUnavailableError",
    "TableUnknownError",
    "Timer",
    "TokenBucket",
    "TokenSequence",
    "Unavailable",
    "Waiter",
    "WaiterSettings",
    "Write",
    "Written",
    "build_path",
    "choose_hosts",
    "rank_hosts",
    "read_claim",
]
