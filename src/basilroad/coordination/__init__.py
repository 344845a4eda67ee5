"""Coordination primitives that other programs can embed."""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
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
    from basilroad.coordination.crashledger import (
        CrashLedger,
        CrashRecord,
        CrashSettings,
        RefusedKeys,
    )
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
    from basilroad.coordination.permits import PermitSource
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

_MODULES = {
    "ABSENT": "table",
    "ENDPOINTS_ALLOWED": "copylimiter",
    "AlreadyClaimed": "claim",
    "Backlog": "fairqueue",
    "BacklogChanges": "fairqueue",
    "CallLedger": "callledger",
    "CallLedgerSettings": "callledger",
    "CallState": "callledger",
    "Callback": "timer",
    "Changes": "table",
    "Claim": "claim",
    "ClaimOutcome": "claim",
    "ClaimPoller": "claimpoller",
    "ClaimPollerSettings": "claimpoller",
    "ClaimRecord": "claim",
    "ClaimRequest": "claim",
    "ClaimState": "claim",
    "Claimed": "claim",
    "Claims": "claims",
    "ClaimsSettings": "claimsettings",
    "CopyLimiter": "copylimiter",
    "CrashLedger": "crashledger",
    "CrashRecord": "crashledger",
    "CrashSettings": "crashledger",
    "FailureDetector": "failuredetector",
    "FailureDetectorSettings": "failuredetector",
    "FairPicker": "fairpicker",
    "FairPolicy": "fairpolicy",
    "FairQueue": "fairqueue",
    "FairSettings": "fairpolicy",
    "FenceGuard": "fence",
    "Flow": "fairpolicy",
    "Gap": "sequence",
    "GroupCommit": "groupcommit",
    "GroupCommitSettings": "groupcommit",
    "HashRing": "ring",
    "Health": "failuredetector",
    "HealthChange": "failuredetector",
    "KeyMismatch": "claim",
    "Lease": "lease",
    "LeaseKeeper": "leasekeeper",
    "LeaseSettings": "lease",
    "MarkBatch": "poison",
    "PauseDetector": "pause",
    "Pick": "fairpicker",
    "PermitSource": "permits",
    "PoisonLedger": "poison",
    "PoisonMark": "poison",
    "PoisonSettings": "poison",
    "PoisonStatus": "poison",
    "RefusedKeys": "crashledger",
    "RetryBudget": "budget",
    "RetrySettings": "budget",
    "Row": "table",
    "RunClock": "pause",
    "StallDetector": "stalldetector",
    "StallSettings": "stalldetector",
    "StoredHeader": "claim",
    "StoredOutcome": "claim",
    "Subscription": "timer",
    "Table": "table",
    "TableError": "table",
    "TableUnavailableError": "table",
    "TableUnknownError": "table",
    "Timer": "timer",
    "TokenBucket": "budget",
    "TokenSequence": "sequence",
    "Unavailable": "claim",
    "Write": "table",
    "WriteResult": "table",
    "build_path": "claim",
    "choose_hosts": "rendezvous",
    "rank_hosts": "rendezvous",
    "read_claim": "claim",
}
"""Module of each name; it is imported at the first use of the name, so that a program which uses
one part starts without the others."""


def __getattr__(name: str) -> object:
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    value = getattr(importlib.import_module(f"{__name__}.{module}"), name)
    globals()[name] = value
    return value


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
    "CrashLedger",
    "CrashRecord",
    "CrashSettings",
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
    "PermitSource",
    "Pick",
    "PoisonLedger",
    "PoisonMark",
    "PoisonSettings",
    "PoisonStatus",
    "RefusedKeys",
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
