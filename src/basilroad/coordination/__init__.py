"""Coordination parts that other programs can embed."""

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
from basilroad.coordination.claimpoller import ClaimPoller, ClaimPollerSettings
from basilroad.coordination.claims import Claims
from basilroad.coordination.claimsettings import ClaimsSettings
from basilroad.coordination.copylimiter import ENDPOINTS_ALLOWED, CopyLimiter
from basilroad.coordination.failuredetector import (
    FailureDetector,
    FailureDetectorSettings,
    Health,
    HealthChange,
)
from basilroad.coordination.fairpicker import FairPicker, Pick
from basilroad.coordination.fairpolicy import FairPolicy, FairSettings, Flow
from basilroad.coordination.fairqueue import Backlog, BacklogChanges, FairQueue
from basilroad.coordination.fence import FenceGuard
from basilroad.coordination.groupcommit import GroupCommit, GroupCommitSettings
from basilroad.coordination.lease import Lease, LeaseSettings
from basilroad.coordination.leasekeeper import LeaseKeeper
from basilroad.coordination.pause import PauseDetector, RunClock
from basilroad.coordination.poison import (
    MarkBatch,
    PoisonLedger,
    PoisonMark,
    PoisonSettings,
    PoisonStatus,
)
from basilroad.coordination.rendezvous import choose_hosts, rank_hosts
from basilroad.coordination.ring import HashRing
from basilroad.coordination.sequence import Gap, TokenSequence
from basilroad.coordination.stalldetector import StallDetector, StallSettings
from basilroad.coordination.table import (
    ABSENT,
    Changes,
    Row,
    Table,
    TableError,
    TableUnavailableError,
    TableUnknownError,
    Write,
    WriteResult,
)
from basilroad.coordination.timer import Callback, Subscription, Timer

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
    "ClaimPoller",
    "ClaimPollerSettings",
    "ClaimRecord",
    "ClaimRequest",
    "ClaimState",
    "Claimed",
    "Claims",
    "ClaimsSettings",
    "CopyLimiter",
    "FailureDetector",
    "FailureDetectorSettings",
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
    "PauseDetector",
    "Pick",
    "PoisonLedger",
    "PoisonMark",
    "PoisonSettings",
    "PoisonStatus",
    "RetryBudget",
    "RetrySettings",
    "Row",
    "RunClock",
    "StallDetector",
    "StallSettings",
    "StoredHeader",
    "StoredOutcome",
    "Subscription",
    "Table",
    "TableError",
    "TableUnavailableError",
    "TableUnknownError",
    "Timer",
    "TokenBucket",
    "TokenSequence",
    "Unavailable",
    "Write",
    "WriteResult",
    "build_path",
    "choose_hosts",
    "rank_hosts",
    "read_claim",
]
