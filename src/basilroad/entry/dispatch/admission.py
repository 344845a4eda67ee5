"""Admission control for new requests."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from basilroad.coordination.fairpolicy import Flow
from basilroad.errors import ErrorKind, refuse

if TYPE_CHECKING:
    from basilroad.entry.dispatch.modelqueue import ModelQueue, QueuedRequest
    from basilroad.entry.generations.flight import Flight
    from basilroad.settings.store import SettingsStore

RETRY_MIN_S = 1
"""Minimum of the retry delay sent to a refused caller."""

RETRY_MAX_S = 60
"""Maximum of the retry delay sent to a refused caller."""


class Admission:
    """Refuses requests that exceed a limit or would miss their target in the queue.

    :param store: current settings
    """

    def __init__(self, store: SettingsStore) -> None:
        self._store = store
        self._in_flight: Counter[str] = Counter()

    def check_workspace(self, workspace: str) -> None:
        """Refuse a request beyond what a workspace may have in flight.

        :param workspace: name of the workspace
        :raises RefusedError: it has reached its limit
        """
        limit = self._store.view.workspace(workspace).max_concurrent
        if limit and self._in_flight[workspace] >= limit:
            raise refuse(ErrorKind.OVERLOADED, "the workspace has too many requests in flight")

    def open(self, workspace: str) -> None:
        """Count a request as in flight.

        :param workspace: workspace of the request
        """
        self._in_flight[workspace] += 1

    def close(self, workspace: str) -> None:
        """Count a request as ended.

        :param workspace: workspace of the request
        """
        self._in_flight[workspace] -= 1
        if not self._in_flight[workspace]:
            del self._in_flight[workspace]

    def check_wait(self, flight: Flight, model_queue: ModelQueue) -> None:
        """Refuse a request that may not be queued, or evict another one for it.

        :param flight: request that has not run
        :param model_queue: queue of its model
        :raises RefusedError: it may not be queued
        """
        flow = flight.flow
        limits = self._store.view.limits(flight.request.model)
        wait_s = model_queue.estimate_wait(flow, float(flight.remaining))
        if limits.early_refusal and wait_s > self._read_target(flow.rank):
            retry_s = _bound_retry(wait_s - self._read_target(flow.rank))
            message = "the queue is longer than the target allows"
            raise refuse(ErrorKind.TARGET_MISSED, message, retry_s)
        if len(model_queue.queue) < limits.queue_length:
            return
        victim = _find_victim(flow, model_queue, limits.queue_length)
        retry_s = _bound_retry(wait_s)
        if victim is None:
            raise refuse(ErrorKind.OVERLOADED, "the queue is full", retry_s)
        model_queue.remove(victim)
        evicted = refuse(
            ErrorKind.OVERLOADED, "evicted from a full queue by another request", retry_s
        )
        victim.placed.set_exception(evicted)

    def _read_target(self, order: int) -> float:
        rank = self._store.view.rank_by_order(order)
        return rank.first_token_target_s or rank.max_wait_s or math.inf


def _bound_retry(wait_s: float) -> int:
    return min(RETRY_MAX_S, max(RETRY_MIN_S, math.ceil(wait_s)))


def _find_victim(flow: Flow, model_queue: ModelQueue, length: int) -> QueuedRequest | None:
    rank = _find_eviction_rank(flow.rank, model_queue, length)
    if rank is None:
        return None
    queue = model_queue.queue
    longest = queue.longest(rank)
    if longest is None:
        return None
    if rank == flow.rank and queue.count_flow(longest) <= queue.count_flow(flow) + 1:
        return None
    victim = queue.last(longest)
    if victim is None or victim.has_started or victim.placed.done():
        return None
    return victim


def _find_eviction_rank(rank: int, model_queue: ModelQueue, length: int) -> int | None:
    """Find the rank to evict from in a full queue; each rank keeps its guaranteed share."""
    queue = model_queue.queue
    over = {r: queue.count(r) - queue.policy.floor_of(r) * length for r in queue.ranks()}
    lower = [r for r, excess in over.items() if r > rank and excess > 0]
    if lower:
        return max(lower)
    if over.get(rank, -1.0) < 0:
        higher = [r for r, excess in over.items() if r < rank and excess > 0]
        if higher:
            return max(higher, key=lambda r: over[r])
    return rank


__all__ = ["RETRY_MAX_S", "RETRY_MIN_S", "Admission"]
